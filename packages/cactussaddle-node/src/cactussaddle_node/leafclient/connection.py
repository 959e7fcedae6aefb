"""An HTTP/1.1 connection to a leaf, with one exchange at a time."""

from __future__ import annotations

import contextlib
import socket

from typing import TYPE_CHECKING
from typing import NamedTuple

import h11
import trio

from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_node.leafclient.model import IdleEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from trio.abc import Stream

    Header = tuple[bytes, bytes]

RECEIVE_BYTES = 65536
MAX_BODY_BYTES = 16 * 1024 * 1024

CONNECTION_ERRORS = (
    OSError,
    EOFError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
)


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: list[Header]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with that name."""
        return next((value for key, value in self.headers if key == name), None)


class LeafConnection:
    """An HTTP/1.1 client connection.

    For the current exchange, `sent` tells whether the complete request has been sent, and
    `received` whether any byte of the response has arrived. A failed exchange raises one of
    `CONNECTION_ERRORS`. After that, or while an exchange is incomplete, `reusable` is False.
    """

    def __init__(self, *, stream: Stream) -> None:
        self._stream = stream
        self.opened_at = trio.current_time()
        self._http = h11.Connection(h11.CLIENT)
        self._request_count = 0
        self._response_count = 0
        self._broken = False
        self._call_id: bytes | None = None
        self._head: h11.Response | None = None
        self._chunks: list[bytes] = []
        self.received = False
        self.sent = False

    @property
    def reusable(self) -> bool:
        """Whether all previous exchanges are complete and another may start."""
        return not self._broken and self._request_count == self._response_count

    def is_quiet(self) -> bool:
        """Return whether neither data nor an end of stream is waiting to be read."""
        if isinstance(self._stream, trio.SocketStream):
            return not self._stream.socket.is_readable()
        return True

    def idle_end(self) -> IdleEnd | None:
        """Return how an idle connection has ended, if it has; unsolicited data counts as closed."""
        if self.is_quiet():
            return None
        if isinstance(self._stream, trio.SocketStream):
            error = self._stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            return IdleEnd.RESET if error else IdleEnd.CLOSED
        return IdleEnd.CLOSED

    async def wait_readable(self) -> None:
        """Wait until data or an end of stream arrives, or the connection is closed locally."""
        if not isinstance(self._stream, trio.SocketStream):
            await trio.sleep_forever()
        with contextlib.suppress(trio.ClosedResourceError):
            await trio.lowlevel.wait_readable(self._stream.socket)

    async def exchange(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes = b""
    ) -> Response:
        """Send one request and return its complete response."""
        await self.send_request(method, target, headers, body)
        return await self.read_response()

    async def send_request(
        self,
        method: bytes,
        target: bytes,
        headers: list[Header],
        body: bytes,
        call_id: bytes | None = None,
    ) -> None:
        """Send one request; `read_response` returns its response.

        A response with an `X-Call-Id` other than `call_id` raises `h11.RemoteProtocolError`.
        """
        require(self.reusable, Promise.OWN_ANSWER, "request on an incomplete connection")
        self._request_count += 1
        self._call_id = call_id
        self._head = None
        self._chunks = []
        self.received = False
        self.sent = False
        await self._stream.send_all(self._encode(method, target, headers, body))
        self.sent = True

    async def read_response(self) -> Response:
        """Return the complete response; may be called again after a cancellation."""
        response = await self._read_events()
        if response.header(b"x-call-id") not in (None, self._call_id):
            raise h11.RemoteProtocolError("response has the X-Call-Id of another call")
        self._response_count += 1
        self._finish_cycle()
        return response

    async def aclose(self) -> None:
        """Close immediately, without waiting for the peer."""
        self._broken = True
        await trio.aclose_forcefully(self._stream)

    def _encode(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> bytes:
        parts = [self._http.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _read_events(self) -> Response:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._add_chunk(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                headers = list(self._head.headers)
                return Response(self._head.status_code, headers, b"".join(self._chunks))
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed before the response was complete")

    def _add_chunk(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        if sum(map(len, self._chunks)) > MAX_BODY_BYTES:
            raise h11.RemoteProtocolError("response body exceeds the size limit")

    async def _receive(self) -> None:
        data = await self._stream.receive_some(RECEIVE_BYTES)
        self.received = self.received or bool(data)
        self._http.receive_data(bytes(data))

    def _finish_cycle(self) -> None:
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE) or self._http.trailing_data[0]:
            self._broken = True
            return
        self._http.start_next_cycle()


def tcp_connector(address: str, local_host: str) -> Callable[[], Awaitable[Stream]]:
    """Return a function that opens a TCP stream to `address`, bound to `local_host`."""
    host, _, port = address.rpartition(":")

    async def connect() -> Stream:
        return await trio.open_tcp_stream(host, int(port), local_address=local_host)

    return connect
