"""A stand-in of a leaf: it registers itself, runs requests in its slots and signs its answers."""

from __future__ import annotations

import asyncio
import itertools
import time

from typing import TYPE_CHECKING
from typing import NamedTuple

from world3.http import Connection
from world3.http import Request
from world3.http import Response
from world3.http import Server

if TYPE_CHECKING:
    import random

    from world3.store import Store

HEARTBEAT_S = 1.2
RECORD_BYTES = 16
RECORDS = 5
NOT_EXECUTED = ("Not-Executed", "1")


class Arrival(NamedTuple):
    """A request that reached a leaf; times are of the event loop's clock."""

    at: float
    request: str
    service: str
    version: str
    leaf: str


class LeafSettings(NamedTuple):
    """What a leaf is: `work_s` is the median time of a request, `spread` that of its logarithm."""

    service: str
    zone: str
    version: str = "v1"
    slots: int = 4
    queue: int = 16
    work_s: float = 0.2
    spread: float = 0.3


class Leaf:
    """One leaf.

    `hangs` is the share of its requests that run into its 504 at the deadline, `errors` that of those
    that it answers with 500 after their work. With `pause_s` it turns the next request of each machine
    away and wants nothing from that machine for so long; `pauses` holds when it has said so. With
    `limit_per_s` all its answers name that as the requests a second that it takes; `told` holds when it
    first said so to each machine.
    """

    def __init__(
        self, *, settings: LeafSettings, store: Store, rng: random.Random, number: int
    ) -> None:
        self.settings = settings
        self.name = f"i-{settings.service}-{settings.zone}-{settings.version}-{number}"
        self.server = Server(handler=self._handle)
        self.hangs = 0.0
        self.errors = 0.0
        self.pause_s = 0.0
        self.pauses: dict[str, float] = {}
        self.limit_per_s: float | None = None
        self.told: dict[str, float] = {}
        self.arrivals: list[Arrival] = []
        self.runs: list[Arrival] = []
        self.senders: dict[str, str] = {}
        self.ended: list[tuple[str, int]] = []
        self.draining = False
        self._store = store
        self._rng = rng
        self._slots = asyncio.Semaphore(settings.slots)
        self._running = 0
        self._waiting = 0
        self._stamps = itertools.count(1)
        self._sequence = itertools.count(1)
        self._born_ms = int(time.time() * 1000.0)
        self._address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port and register."""
        port = await self.server.listen(host, 0)
        self._address = f"{host}:{port}"
        self.beat()

    def beat(self) -> None:
        """Write the entry in the store."""
        settings = self.settings
        entry = {
            "service": settings.service,
            "address": self._address,
            "zone": settings.zone,
            "version": settings.version,
            "max_concurrency": settings.slots,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "born": self._born_ms,
            "sequence": next(self._sequence),
        }
        self._store.put(f"servers/{self.name}", entry)

    def lapse(self) -> None:
        """Lose the entry, as after three heartbeat intervals of silence."""
        self._store.delete(f"servers/{self.name}")

    def stop(self) -> None:
        """End at once, as the old version does when a roll-out is complete."""
        self.server.stop()
        self._store.delete(f"servers/{self.name}")

    async def _handle(self, conn: Connection, req: Request) -> Response | None:
        if req.target == "/healthz":
            status = 503 if self.draining else 200
            return Response(status, b"", (("Instance-Id", self.name), self._load()))
        if req.headers.get("target-instance") not in (None, self.name):
            return Response(421, b"", (("Instance-Id", self.name),))
        request = req.headers["request-id"]
        now = asyncio.get_running_loop().time()
        settings = self.settings
        seen = Arrival(now, request, settings.service, settings.version, self.name)
        self.arrivals.append(seen)
        self.senders[request] = conn.peer
        echo = ("Request-Id", request)
        if self.pause_s and conn.peer not in self.pauses:
            self.pauses[conn.peer] = now
            pause = ("Retry-After", f"{self.pause_s:g}")
            return Response(503, b"", (NOT_EXECUTED, echo, pause, self._load()))
        if self._waiting >= settings.queue:
            return Response(503, b"", (NOT_EXECUTED, echo, self._load()))
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.runs.append(seen)
            return await self._run(req, request, now)
        finally:
            self._running -= 1
            self._slots.release()

    async def _run(self, req: Request, request: str, began: float) -> Response:
        limit_s = float(req.headers["deadline-ms"]) / 1000.0
        work_s = self.settings.work_s * self._rng.lognormvariate(0.0, self.settings.spread)
        if self._rng.random() < self.hangs:
            work_s = limit_s
        left_s = began + limit_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(work_s, left_s)))
        status = 200 if work_s < left_s else 504
        if status == 200 and self._rng.random() < self.errors:
            status = 500
        self.ended.append((request, status))
        body = self._rng.randbytes(RECORD_BYTES * RECORDS) if status == 200 else b""
        stamp = f"{request}.{self.name}.{next(self._stamps)}"
        known = (("Server-Stamp", stamp), ("Request-Id", request), self._load())
        return Response(status, body, known + self._limit(request))

    def _limit(self, request: str) -> tuple[tuple[str, str], ...]:
        if self.limit_per_s is None:
            return ()
        self.told.setdefault(self.senders[request], asyncio.get_running_loop().time())
        return (("Server-Limit", f"{self.limit_per_s:g}"),)

    def _load(self) -> tuple[str, str]:
        return ("Server-Load", f"{self._running},{self._waiting},{self.settings.slots}")
