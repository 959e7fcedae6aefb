"""A small HTTP/1.1 server and client for stand-ins, on asyncio."""

from __future__ import annotations

import asyncio

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Reply(NamedTuple):
    """A response to send or as received; header names of received ones are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


Handler = Callable[["ServerConnection", Request], Awaitable[Reply | None]]


class ServerConnection(asyncio.Protocol):
    """One accepted connection; it serves a request at a time.

    A handler that returns None sends nothing, and the connection stays silent from then on.
    Its work is cancelled when the peer closes the connection.
    """

    def __init__(self, handler: Handler, connections: set[ServerConnection]) -> None:
        self._handler = handler
        self._connections = connections
        self._buffer = b""
        self._task: asyncio.Task[None] | None = None
        self._silent = False
        self.transport: asyncio.Transport | None = None
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.peer = transport.get_extra_info("peername")[0]
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request being served."""
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Collect a request and serve it."""
        self._buffer += data
        self._serve_next()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def _serve_next(self) -> None:
        if self._task is not None or self._silent:
            return
        head, found, rest = self._buffer.partition(b"\r\n\r\n")
        if not found:
            return
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = dict(_header(line) for line in lines[1:])
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        self._buffer = rest[length:]
        request = Request(method, path, headers, rest[:length])
        self._task = asyncio.get_running_loop().create_task(self._serve(request))

    async def _serve(self, request: Request) -> None:
        reply = await self._handler(self, request)
        self._task = None
        if reply is None:
            self._silent = True
            return
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_reply(reply))
        self._serve_next()


class Server:
    """A listening server whose connections can be reset."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.connections: set[ServerConnection] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._handler, self.connections), host, port, backlog=512
        )

    def close(self) -> None:
        """Stop accepting and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()


class ClientConnection:
    """A client's connection, which carries one request at a time."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.closing = False
        self.idle_since = 0.0

    @property
    def usable(self) -> bool:
        """Whether the peer has not closed the connection, as far as this side has seen."""
        return self._reader is not None and not self._reader.at_eof()

    async def ask(self, method: str, path: str, headers: dict[str, str], body: bytes) -> Reply:
        """Send a request and return the answer; raises `OSError` or `EOFError` without one."""
        if self._writer is None:
            connecting = asyncio.open_connection(*self._address)
            self._reader, self._writer = await asyncio.wait_for(connecting, 1.0)
        assert self._reader is not None
        lines = [f"{method} {path} HTTP/1.1", *(f"{key}: {headers[key]}" for key in headers)]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await self._reader.readuntil(b"\r\n\r\n")
        received = head.decode("latin-1").split("\r\n")
        status = int(received[0].split(" ")[1])
        fields = dict(_header(line) for line in received[1:] if line)
        content = await self._reader.readexactly(int(fields.get("content-length", "0")))
        self.closing = fields.get("connection", "").lower() == "close"
        return Reply(status, fields, content)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


def encode_reply(reply: Reply) -> bytes:
    """Encode a response, with its length."""
    lines = [f"HTTP/1.1 {reply.status} X"]
    lines += [f"{key}: {value}" for key, value in reply.headers.items()]
    lines.append(f"Content-Length: {len(reply.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + reply.body


def _header(line: str) -> tuple[str, str]:
    key, _, value = line.partition(":")
    return key.strip().lower(), value.strip()
