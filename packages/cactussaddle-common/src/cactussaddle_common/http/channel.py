"""One connection to a server, for one exchange at a time."""

from __future__ import annotations

import enum
import errno
import os
import socket

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_common.http.outbox import Outbox
from cactussaddle_common.http.response import MAX_BODY_BYTES
from cactussaddle_common.http.response import BadResponseError
from cactussaddle_common.http.response import ResponseReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.bounds import BodyAllowance
    from cactussaddle_common.http.message import Response

READ_BYTES = 65_536
# A peer that can't be reached is found out by the kernel's probes after about three seconds, also
# on a connection that waits for an answer that may take long.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2
UNACKED_TIMEOUT_MS = 3000
# A request on its way must arrive before the peer closes the idle connection.
IDLE_MARGIN_S = 0.5
# A peer that doesn't say how long it keeps an idle connection may drop it after longer.
UNSTATED_IDLE_S = 8.0


class Loss(enum.StrEnum):
    """Why an exchange ended without its response."""

    NOT_CONNECTED = "not connected"
    NEVER_SENT = "never sent"
    RESET = "reset"
    CLOSED = "closed"
    NONSENSE = "no response"
    CANCELLED = "cancelled"


class ExchangeEnd(NamedTuple):
    """How an exchange ended: with a response, or by a loss and a few words on it.

    `reused` says that the connection had served before, `idle_s` how long it had then been idle.
    """

    response: Response | None
    loss: Loss | None
    detail: str
    reused: bool
    idle_s: float


class Exchange:
    """One request and what is to be told of it.

    `accept` looks at a response and says whether it is the one asked for, None where the response
    doesn't tell; others on the connection are dropped, as are those that don't tell on a connection
    where one has. `left` hears that the request is on its way, `ended` of its end. A response may have
    at most `max_body_bytes` of body.
    """

    __slots__ = ("accept", "data", "ended", "left", "max_body_bytes")

    def __init__(
        self,
        *,
        data: bytes,
        left: Callable[[], None],
        accept: Callable[[Response], bool | None],
        ended: Callable[[ExchangeEnd], None],
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.data = data
        self.max_body_bytes = max_body_bytes
        self.left = left
        self.accept = accept
        self.ended = ended


class Address(NamedTuple):
    """Where to connect to, and the local address to connect from (empty: any)."""

    host: str
    port: int
    local_host: str = ""


class Channel:
    """A connection; `run` opens it, reads until it ends, and is the only task that reads.

    `idle` hears of each response after which the channel can be used again, `closed` of its end.
    """

    def __init__(
        self,
        *,
        address: Address,
        nursery: trio.Nursery,
        connect_timeout_s: float,
        connected: Callable[[Channel, float], None],
        idle: Callable[[Channel], None],
        closed: Callable[[Channel], None],
        allowance: BodyAllowance | None = None,
    ) -> None:
        self.address = address
        self.open = False
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.linger_until: float | None = None
        self._nursery = nursery
        self._connect_timeout_s = connect_timeout_s
        self._connected = connected
        self._idle = idle
        self._closed = closed
        self._ended = False
        self._tainted = False
        self._tells = False
        self._served = 0
        self._idle_before_s = 0.0
        self._scope = trio.CancelScope()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        _watch_peer(self._sock)
        self._outbox = Outbox(sock=self._sock, nursery=nursery, failed=self._write_failed)
        self._reader = ResponseReader(allowance=allowance)

    @property
    def ended(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self._ended

    @property
    def idle_until(self) -> float:
        """Until when the peer keeps the idle connection by its own word, or is taken to."""
        keeps_s = self._reader.keeps_idle_s
        return self.idle_since + (UNSTATED_IDLE_S if keeps_s is None else keeps_s - IDLE_MARGIN_S)

    def start(self, exchange: Exchange) -> None:
        """Begin an exchange, at once or as soon as the connection is open."""
        assert self.exchange is None
        self.exchange = exchange
        self.linger_until = None
        self._reader.max_body_bytes = exchange.max_body_bytes
        if self.open:
            self._idle_before_s = trio.current_time() - self.idle_since
            self._send(exchange)

    def cancel(self, exchange: Exchange) -> None:
        """End an exchange by closing the connection; one not open yet is kept for others."""
        if self.exchange is not exchange:
            return
        if self.open or self._ended:
            self._end(Loss.CANCELLED, "")
        else:
            self._lose(Loss.CANCELLED, "")

    def close(self) -> None:
        """Close the connection, whatever it is doing."""
        self._end(Loss.CANCELLED, "")

    async def run(self) -> None:
        """Open the connection and serve it until it ends; an unexpected error ends it."""
        try:
            await self._serve()
        except Exception as exc:
            self._end(Loss.NONSENSE, f"unexpected error: {exc!r}")

    async def _serve(self) -> None:
        with self._scope:
            started = trio.current_time()
            failure = await self._connect()
            if failure:
                self._end(Loss.NOT_CONNECTED, failure)
                return
            self.open = True
            self.idle_since = trio.current_time()
            self._connected(self, self.idle_since - started)
            if self.exchange is not None:
                self._send(self.exchange)
            elif not self._ended:
                self._idle(self)
            while not self._ended:
                await self._read_some()

    async def _connect(self) -> str:
        """Connect; return why it failed, empty when it did not."""
        try:
            if self.address.local_host:
                self._sock.bind((self.address.local_host, 0))
            code = self._sock.connect_ex((self.address.host, self.address.port))
            if code not in (0, errno.EINPROGRESS):
                return os.strerror(code)
            with trio.move_on_after(self._connect_timeout_s) as scope:
                await trio.lowlevel.wait_writable(self._sock)
            if scope.cancelled_caught:
                return "no answer"
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            return os.strerror(code) if code else ""
        except trio.ClosedResourceError:
            return "closed"
        except OSError as exc:
            return str(exc)

    async def _read_some(self) -> None:
        try:
            await trio.lowlevel.wait_readable(self._sock)
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except trio.ClosedResourceError:
            self._end(Loss.CANCELLED, "")
            return
        except OSError as exc:
            self._end(Loss.RESET, str(exc))
            return
        self._take(data)

    def _take(self, data: bytes) -> None:
        if self.exchange is None:
            self._end(Loss.CLOSED, "" if not data else "bytes while idle")
            return
        try:
            if data:
                self._reader.feed(data)
            elif not self._reader.end():
                self._end(Loss.CLOSED, "before the answer")
                return
        except BadResponseError as exc:
            self._end(Loss.NONSENSE, str(exc))
            return
        responses = self._reader.responses
        if responses:
            self._reader.responses = []
            self._take_responses(responses)
        elif not data:
            self._end(Loss.CLOSED, "before the answer")

    def _take_responses(self, responses: list[Response]) -> None:
        exchange = self.exchange
        assert exchange is not None
        for index, response in enumerate(responses):
            if not self._accepts(exchange, response):
                self._tainted = True
                continue
            rest = index + 1 < len(responses) or self._reader.started
            if rest or self._outbox.pending or not self._reader.keep_alive:
                self._tainted = True
            self.exchange = None
            self._served += 1
            reused = self._served > 1
            if self._tainted:
                self._shut()
            else:
                self.idle_since = trio.current_time()
                self._idle(self)
            exchange.ended(ExchangeEnd(response, None, "", reused, self._idle_before_s))
            return
        if not self._reader.keep_alive:
            self._end(Loss.CLOSED, "after an answer to another request")

    def _accepts(self, exchange: Exchange, response: Response) -> bool:
        is_answer = exchange.accept(response)
        if is_answer is None:
            return not self._tells
        self._tells = True
        return is_answer

    def _send(self, exchange: Exchange) -> None:
        exchange.left()
        if not self._ended:
            self._outbox.write(exchange.data)

    def _write_failed(self, exc: OSError) -> None:
        self._end(Loss.RESET, str(exc))

    def _lose(self, loss: Loss, detail: str) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            reused = self._served > 0
            exchange.ended(ExchangeEnd(None, loss, detail, reused, self._idle_before_s))

    def _end(self, loss: Loss, detail: str) -> None:
        self._shut()
        self._lose(loss, detail)

    def _shut(self) -> None:
        if self._ended:
            return
        self._ended = True
        self.open = False
        self._outbox.discard()
        self._reader.forget()
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()
        self._scope.cancel()
        self._closed(self)


def _watch_peer(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
