"""A leaf inside the test process: an h11 server on loopback with scripted responses."""

from __future__ import annotations

import functools

from typing import NamedTuple

import h11
import trio

HEALTH = b'{"leaf":"a","status":"ready","incarnation":"i1","version":"v1","snapshots":[[7,2,[0]]]}'


class ReceivedRequest(NamedTuple):
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    conn_id: int


class FakeLeaf:
    """Responds to each request with the raw bytes that `answer(leaf, received, stream)` returns.

    When it returns None, the connection is closed.
    """

    def __init__(self, *, answer):
        self._answer = answer
        self.requests: list[ReceivedRequest] = []
        self.accepted = 0
        self.open = 0
        self.max_open = 0
        self.cancelled: dict[str, trio.Event] = {}
        self.address = ""

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            listen = functools.partial(trio.serve_tcp, self.serve_connection, 0, host="127.0.0.1")
            listeners = await nursery.start(listen)
            port = listeners[0].socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            task_status.started(nursery.cancel_scope)

    async def serve_connection(self, stream):
        self.accepted += 1
        conn_id = self.accepted
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(http, stream, conn_id):
                http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            self.open -= 1

    async def _serve_one(self, http, stream, conn_id):
        head: h11.Request | None = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        assert head is not None
        headers = {key.decode(): value.decode() for key, value in head.headers}
        received = ReceivedRequest(
            head.method.decode(), head.target.decode(), headers, body, conn_id
        )
        self.requests.append(received)
        raw = await self._answer(self, received, stream)
        if raw is None:
            return False
        response = h11.Response(status_code=200, headers=[("content-length", "0")])
        http.send(response)
        http.send(h11.EndOfMessage())
        await stream.send_all(raw)
        return True


def response(status: int, body: bytes = b"{}", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} x", f"content-length: {len(body)}"]
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def echo(leaf, received, stream):
    """Respond to each call with its own body and id."""
    return response(200, received.body, x_call_id=received.headers.get("x-call-id", ""))
