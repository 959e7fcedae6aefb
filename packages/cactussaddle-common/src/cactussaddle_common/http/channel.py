"""A client connection that carries one exchange at a time."""

from __future__ import annotations

import enum
import errno
import os
import socket

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_common.http.response import MAX_BODY_BYTES
from cactussaddle_common.http.response import BadResponseError
from cactussaddle_common.http.response import ResponseReader
from cactussaddle_common.http.sendbuffer import SendBuffer

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.bounds import BodyAllowance
    from cactussaddle_common.http.message import Response
    from cactussaddle_common.tasks import TaskStarter

READ_BYTES = 65_536
# Bodies from this size on are not copied behind their headers.
LARGE_BODY_BYTES = 64 * 1024
# The kernel's keepalive probes detect an unreachable peer after about three seconds, also while a
# connection waits for a response that may take long.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKED_TIMEOUT_MS = 3000
# Margin for a request in flight, which must arrive before the peer closes the idle connection.
IDLE_MARGIN_S = 0.5
# Assumed idle timeout of a peer that sends none; the peer may close the connection after a longer
# time.
DEFAULT_PEER_IDLE_S = 8.0


class ExchangeFailure(enum.StrEnum):
    """The reasons why an exchange can end without a response."""

    NOT_CONNECTED = "not connected"
    NEVER_SENT = "never sent"
    RESET = "reset"
    CLOSED = "closed"
    INVALID_RESPONSE = "no response"
    CANCELLED = "cancelled"


class ExchangeResult(NamedTuple):
    """The result of an exchange: a response, or the reason for its failure with details.

    `reused` is set if the connection had carried an earlier exchange, and `idle_s` is how long the
    connection had been idle before this one.
    """

    response: Response | None
    failure: ExchangeFailure | None
    detail: str
    reused: bool
    idle_s: float


class Exchange:
    """A request with its callbacks.

    `encode` returns the bytes of the request, and is called when it is sent, as a request may wait for a
    connection. `body` is sent behind it; exchanges with large bodies may share one. `left` is called when
    the request is sent and `ended` with the result. The body of a response is limited to
    `max_body_bytes`. The connection of a `single` exchange is closed after it. The response to a
    `bodiless` exchange, such as one to HEAD, ends with its headers.

    `accept` returns whether a response belongs to this request, or None if it does not identify its
    request. Responses to other requests are dropped, as are unidentified ones on a connection whose peer has
    identified a response before; with `identifies` off, an accepted response does not show that the peer
    identifies responses. One that `is_foreign`, of a kind that never answers this request, is dropped and shows
    nothing.
    """

    __slots__ = (
        "accept",
        "bodiless",
        "body",
        "encode",
        "ended",
        "identifies",
        "is_foreign",
        "left",
        "max_body_bytes",
        "single",
    )

    def __init__(
        self,
        *,
        encode: Callable[[], bytes],
        left: Callable[[], None],
        accept: Callable[[Response], bool | None],
        ended: Callable[[ExchangeResult], None],
        max_body_bytes: int = MAX_BODY_BYTES,
        single: bool = False,
        identifies: bool = True,
        is_foreign: Callable[[Response], bool] | None = None,
        bodiless: bool = False,
        body: bytes = b"",
    ) -> None:
        self.encode = encode
        self.body = body
        self.identifies = identifies
        self.is_foreign = is_foreign
        self.bodiless = bodiless
        self.single = single
        self.max_body_bytes = max_body_bytes
        self.left = left
        self.accept = accept
        self.ended = ended


class Address(NamedTuple):
    """A remote address, and the local address to connect from (empty: any)."""

    host: str
    port: int
    local_host: str = ""


class Channel:
    """A connection; `run` opens it and is the only task that reads from it until it is closed.

    `on_connected` is called with the time that connecting took, `on_idle` whenever the channel can
    carry another exchange, and `on_closed` when it is closed.
    """

    def __init__(
        self,
        *,
        address: Address,
        nursery: TaskStarter,
        connect_timeout_s: float,
        on_connected: Callable[[Channel, float], None],
        on_idle: Callable[[Channel], None],
        on_closed: Callable[[Channel], None],
        allowance: BodyAllowance | None = None,
    ) -> None:
        self.address = address
        self.open = False
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.linger_until: float | None = None
        # Whether the peer has ended the idle connection before its time.
        self.dropped = False
        self._nursery = nursery
        self._connect_timeout_s = connect_timeout_s
        self._on_connected = on_connected
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._ended = False
        self._not_reusable = False
        self._peer_identifies_responses = False
        self._response_count = 0
        self._idle_s = 0.0
        self._scope = trio.CancelScope()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        _set_socket_options(self._sock)
        self._send_buffer = SendBuffer(sock=self._sock, nursery=nursery, failed=self._write_failed)
        self._reader = ResponseReader(allowance=allowance)

    @property
    def ended(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self._ended

    @property
    def idle_until(self) -> float:
        """When the peer may close the idle connection, by its keep-alive header or by default."""
        timeout_s = self._reader.peer_idle_s
        return self.idle_since + (
            DEFAULT_PEER_IDLE_S if timeout_s is None else timeout_s - IDLE_MARGIN_S
        )

    def has_unread_data(self) -> bool:
        """Return whether the idle connection has received data, or its end, that is not read yet."""
        if not self.open:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def start(self, exchange: Exchange) -> None:
        """Start an exchange; the request is sent as soon as the connection is open."""
        assert self.exchange is None
        self.exchange = exchange
        self.linger_until = None
        self._reader.max_body_bytes = exchange.max_body_bytes
        self._reader.bodiless = exchange.bodiless
        if self.open:
            self._idle_s = trio.current_time() - self.idle_since
            self._send(exchange)

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange by closing the connection; one still connecting is kept for others."""
        if self.exchange is not exchange:
            return
        if self.open or self._ended:
            self._close_with(ExchangeFailure.CANCELLED, "")
        else:
            self._fail_exchange(ExchangeFailure.CANCELLED, "")

    def close(self) -> None:
        """Close the connection and cancel its exchange, if any."""
        self._close_with(ExchangeFailure.CANCELLED, "")

    async def run(self) -> None:
        """Open the connection and read from it until it is closed; an unexpected error closes it."""
        try:
            await self._connect_and_read()
        except Exception as exc:
            self._close_with(ExchangeFailure.INVALID_RESPONSE, f"unexpected error: {exc!r}")

    async def _connect_and_read(self) -> None:
        with self._scope:
            started = trio.current_time()
            error = await self._connect()
            if error:
                self._close_with(ExchangeFailure.NOT_CONNECTED, error)
                return
            self.open = True
            self.idle_since = trio.current_time()
            self._on_connected(self, self.idle_since - started)
            if self.exchange is not None:
                self._send(self.exchange)
            elif not self._ended:
                self._on_idle(self)
            while not self._ended:
                await self._read_available()

    async def _connect(self) -> str:
        """Connect; return the reason for a failure, or an empty string."""
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

    async def _read_available(self) -> None:
        try:
            await trio.lowlevel.wait_readable(self._sock)
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except trio.ClosedResourceError:
            self._close_with(ExchangeFailure.CANCELLED, "")
            return
        except OSError as exc:
            self.dropped = self.exchange is None
            self._close_with(ExchangeFailure.RESET, str(exc))
            return
        self._handle_data(data)

    def _handle_data(self, data: bytes) -> None:
        if self.exchange is None:
            self.dropped = not data and trio.current_time() < self.idle_until
            self._close_with(ExchangeFailure.CLOSED, "" if not data else "received data while idle")
            return
        try:
            if data:
                self._reader.feed(data)
            elif not self._reader.end():
                self._close_with(ExchangeFailure.CLOSED, "closed before the response was complete")
                return
        except BadResponseError as exc:
            self._close_with(ExchangeFailure.INVALID_RESPONSE, str(exc))
            return
        responses = self._reader.responses
        if responses:
            self._reader.responses = []
            self._handle_responses(responses)
        elif not data:
            self._close_with(ExchangeFailure.CLOSED, "closed before the response was complete")

    def _handle_responses(self, responses: list[Response]) -> None:
        exchange = self.exchange
        assert exchange is not None
        for index, response in enumerate(responses):
            if not self._is_expected(exchange, response):
                self._not_reusable = True
                continue
            has_more = index + 1 < len(responses) or self._reader.started
            is_unread = has_more or self._send_buffer.pending > 0
            if is_unread or exchange.single or not self._reader.keep_alive:
                self._not_reusable = True
            self.exchange = None
            self._response_count += 1
            reused = self._response_count > 1
            if self._not_reusable:
                self._close_socket()
            else:
                self.idle_since = trio.current_time()
                self._on_idle(self)
            exchange.ended(ExchangeResult(response, None, "", reused, self._idle_s))
            return
        if not self._reader.keep_alive:
            self._close_with(ExchangeFailure.CLOSED, "closed after a response to another request")

    def _is_expected(self, exchange: Exchange, response: Response) -> bool:
        if exchange.is_foreign is not None and exchange.is_foreign(response):
            return False
        is_match = exchange.accept(response)
        if is_match is None:
            return not self._peer_identifies_responses
        if exchange.identifies:
            self._peer_identifies_responses = True
        return is_match

    def _send(self, exchange: Exchange) -> None:
        try:
            data = exchange.encode()
        except Exception as exc:
            self._close_with(ExchangeFailure.NEVER_SENT, f"unexpected error: {exc!r}")
            return
        exchange.left()
        if self._ended:
            return
        if len(exchange.body) < LARGE_BODY_BYTES:
            self._send_buffer.write(data + exchange.body)
            return
        self._send_buffer.write(data)
        if not self._ended:
            self._send_buffer.write(exchange.body)

    def _write_failed(self, exc: OSError) -> None:
        self._close_with(ExchangeFailure.RESET, str(exc))

    def _fail_exchange(self, failure: ExchangeFailure, detail: str) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            reused = self._response_count > 0
            exchange.ended(ExchangeResult(None, failure, detail, reused, self._idle_s))

    def _close_with(self, failure: ExchangeFailure, detail: str) -> None:
        self._close_socket()
        self._fail_exchange(failure, detail)

    def _close_socket(self) -> None:
        if self._ended:
            return
        self._ended = True
        self.open = False
        self._send_buffer.discard()
        self._reader.close()
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()
        self._scope.cancel()
        self._on_closed(self)


def _set_socket_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
