"""Small TCP servers on the loopback interface for tests; a function handles each connection."""

from __future__ import annotations

from contextlib import asynccontextmanager

import trio

from cactussaddle_common.http.channel import Address


@asynccontextmanager
async def served(handler):
    """Run a server that calls `handler(stream)` for each connection; yields its address."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handler, listeners)
        host, port = listeners[0].socket.getsockname()
        yield Address(host, port)
        nursery.cancel_scope.cancel()


async def read_request(stream) -> bytes:
    """Read one request without a body; empty if the connection is closed before its end."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        piece = await stream.receive_some()
        if not piece:
            return b""
        data += piece
    return data


def reply(body: bytes = b"ok", headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (headers, len(body), body)
