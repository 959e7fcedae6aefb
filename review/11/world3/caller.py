"""Callers: each sends requests on a kept connection to its node, one after another."""

from __future__ import annotations

import asyncio
import itertools

from typing import TYPE_CHECKING
from typing import NamedTuple

from world3.http import GONE
from world3.http import encode_request
from world3.http import read_response

if TYPE_CHECKING:
    import random

    from world3.node import Node

NO_ANSWER = 0


class Seen(NamedTuple):
    """A request as its caller saw it; status 0 if the connection ended without an answer."""

    request: str
    node: str
    sent_at: float
    answered_at: float
    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """A caller of one node; `deadline_s` is how long it waits for an answer."""

    def __init__(
        self, *, number: int, node: Node, host: str, deadline_s: float, rng: random.Random
    ) -> None:
        self.seen: list[Seen] = []
        self._node = node
        self._host = host
        self._deadline_s = deadline_s
        self._rng = rng
        self._ids = (f"{number:04x}{count:08x}" for count in itertools.count())
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, target: str, pause_s: float) -> None:
        """Send requests until cancelled, with pauses between them."""
        while True:
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))
            await self.ask("GET", target)

    async def ask(self, method: str, target: str, body: bytes = b"") -> Seen:
        """Send one request and return what came of it."""
        request = next(self._ids)
        sent_at = asyncio.get_running_loop().time()
        status, headers, answer = NO_ANSWER, {}, b""
        try:
            async with asyncio.timeout(self._deadline_s + 1.0):
                status, headers, answer = await self._exchange(method, target, request, body)
        except (TimeoutError, *GONE):
            self._close()
        if headers.get("connection", "").lower() == "close":
            self._close()
        now = asyncio.get_running_loop().time()
        seen = Seen(request, self._node.name, sent_at, now, status, headers, answer)
        self.seen.append(seen)
        return seen

    async def _exchange(
        self, method: str, target: str, request: str, body: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._node.host, self._node.port)
        reader, writer = self._streams
        headers = {
            "Host": self._host,
            "Request-Id": request,
            "Deadline-Ms": str(int(self._deadline_s * 1000.0)),
        }
        writer.write(encode_request(method, target, headers, body))
        return await read_response(reader)

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None
