"""A stand-in of a leaf: it registers in the store, runs requests in slots, and keeps a record."""

from __future__ import annotations

import asyncio
import json
import time

from typing import TYPE_CHECKING
from typing import NamedTuple

from common.http import Reply
from common.http import Request
from common.http import Server
from common.http import ServerConnection

if TYPE_CHECKING:
    import random

    from common.store import Store


class Arrival(NamedTuple):
    """A request that reached a leaf, in seconds of the monotonic clock; `ran` if it began to run."""

    at: float
    request: str
    service: str
    leaf: str
    node: str
    ran: bool


class Leaf:
    """One leaf. While `shed_share` is above 0, it rejects that share of the requests."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        store: Store,
        arrivals: list[Arrival],
        rng: random.Random,
        work_s: float = 0.01,
        slots: int = 4,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.state = "ready"
        self.cold_until = 0.0
        self.shed_share = 0.0
        self.born_ms = int(time.time() * 1000.0)
        self.server = Server(self._handle)
        self._store = store
        self._arrivals = arrivals
        self._rng = rng
        self._work_s = work_s
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._sequence = 0
        self._stamps = 0

    async def start(self) -> None:
        """Listen and register."""
        await self.server.listen(*self.address)
        self.register()

    def register(self) -> None:
        """Write the entry to the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self._slots,
            "state": self.state,
            "cold_left_ms": round(1000.0 * self._cold_left_s()),
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        self._store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def _cold_left_s(self) -> float:
        return max(0.0, self.cold_until - time.monotonic())

    def _load(self) -> str:
        return f"{self._running},{self._waiting},{self._slots}"

    async def _handle(self, connection: ServerConnection, request: Request) -> Reply | None:
        if request.path == "/healthz":
            headers = {"Instance-Id": self.name, "Server-Load": self._load()}
            if self._cold_left_s() > 0.0:
                headers["Cold-Ms"] = str(round(1000.0 * self._cold_left_s()))
            return Reply(200 if self.state == "ready" else 503, headers, b"")
        name = request.headers.get("request-id", "")
        echo = {"Request-Id": name, "Server-Load": self._load()}
        if request.headers.get("target-instance") not in (None, self.name):
            return Reply(421, echo, b"")
        sheds = self._rng.random() < self.shed_share or self._waiting >= 24
        self._arrivals.append(
            Arrival(time.monotonic(), name, self.service, self.name, connection.peer, not sheds)
        )
        if sheds:
            return Reply(503, {**echo, "Not-Executed": "1"}, b"")
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
            self._free.release()
        self._stamps += 1
        stamp = f"{self.name}.{self.born_ms:x}.{self._stamps:x}"
        body = b"".join(self._rng.randbytes(16) for _ in range(6))
        return Reply(200, {**echo, "Server-Stamp": stamp, "Server-Load": self._load()}, body)
