"""A stand-in of a leaf in the platform's protocol: it signs what it answers and tells the ledger."""

from __future__ import annotations

import hashlib

from typing import TYPE_CHECKING

import msgspec
import trio

from tests.standins.http11 import Connection
from tests.standins.http11 import Request
from tests.standins.http11 import Response
from tests.standins.http11 import Server

if TYPE_CHECKING:
    import random

    from collections.abc import Callable

    from tests.soak.kv import Store
    from tests.soak.ledger import Ledger

HEARTBEAT_S = 0.6
LAPSE_S = 3.0 * HEARTBEAT_S
RECORDS = 6
QUEUE = 8
# Statuses of a leaf that fails after it has run a request; without `Not-Executed` none denies the run.
ERRORS = (500, 503, 429, 408, 421)
# Requests that say how long they take, in milliseconds, at the end of their path.
TIMED = "/w/"
# A request that ends each leaf that runs it.
KILLER = "/p/killer"


class LeafServer:
    """One leaf: slots, a queue, work times, and the ways in which it fails.

    `fault` is "" or one of slow, shed, errors, hang, mute (runs, answers nothing), garble, extra.
    `on_killer` is called when it begins to run the request `KILLER`. `notices` are headers added to its
    answers; with `pause_s` it turns all requests away for so long.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        domain: str,
        address: tuple[str, int],
        work_s: float,
        store: Store,
        ledger: Ledger,
        rng: random.Random,
        version: str = "v1",
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.address = address
        self.work_s = work_s
        self.version = version
        self.fault = ""
        self.draining = False
        self.registered = True
        self.born_ms = 1
        self.server = Server(handler=self.handle)
        self.notices: tuple[tuple[str, str], ...] = ()
        self.pause_s = 0.0
        self.on_killer: Callable[[LeafServer, str], None] = _ignore
        self._store = store
        self._ledger = ledger
        self._rng = rng
        self.arrivals: list[float] = []
        self.requests: list[tuple[float, str]] = []
        self._slots = trio.CapacityLimiter(4)
        self._sequence = 0
        self._told = b""

    async def beat(self) -> None:
        """Keep the entry in the store until cancelled; it lapses while the leaf is silent."""
        missed_s = 0.0
        while True:
            if self.registered and self._store.mode != "down":
                self._write()
                missed_s = 0.0
            elif not self.registered:
                missed_s += HEARTBEAT_S
                if missed_s > LAPSE_S:
                    self._store.delete(f"servers/{self.name}")
                    self._told = b""
            await trio.sleep(HEARTBEAT_S)

    def drain(self) -> None:
        """Report that the leaf leaves."""
        self.draining = True
        self._write()

    def restart(self) -> None:
        """Begin anew under the same id."""
        self.born_ms += 1
        self._sequence = 0
        self.draining = False
        self.fault = ""
        self.server.cut_all()

    def _write(self) -> None:
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.domain,
            "version": self.version,
            "max_concurrency": 4,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "born": self.born_ms,
        }
        told = msgspec.json.encode(entry)
        if told != self._told:
            self._told = told
            self._sequence += 1
            full = msgspec.json.encode({**entry, "sequence": self._sequence})
            self._store.put(f"servers/{self.name}", full)

    async def handle(self, conn: Connection, req: Request) -> Response | None:
        request = req.headers.get("request-id", "")
        if req.path == "/healthz":
            return Response(503 if self.draining else 200, b"", (("Instance-Id", self.name),))
        if req.headers.get("target-instance") not in (None, self.name):
            return Response(421, b"", (("Instance-Id", "other"),))
        self._ledger.arrived(request, self, conn.peer)
        self.arrivals.append(trio.current_time())
        self.requests.append((trio.current_time(), request))
        if self.fault == "hang":
            conn.silence()
        if self.pause_s:
            refused = (
                ("Not-Executed", "1"),
                ("Request-Id", request),
                ("Retry-After", f"{self.pause_s}"),
            )
            return Response(503, b"", refused)
        shed = self.fault == "shed" and self._rng.random() < 0.6
        if shed or self._slots.statistics().tasks_waiting >= QUEUE:
            return Response(503, b"", (("Not-Executed", "1"), ("Request-Id", request)))
        async with self._slots:
            self._ledger.ran(request, self, req)
            if req.path == KILLER:
                self.on_killer(self, request)
                return None
            factor = 8.0 if self.fault == "slow" else 1.0
            await trio.sleep(factor * self._work_s(req))
        return await self._answer(conn, req, request)

    def _work_s(self, req: Request) -> float:
        if req.path.startswith(TIMED):
            return float(req.path.removeprefix(TIMED)) / 1000.0
        return self.work_s * self._rng.lognormvariate(0.0, 0.3)

    async def _answer(self, conn: Connection, req: Request, request: str) -> Response | None:
        unlucky = self._rng.random() < 0.4
        if self.fault == "errors" and unlucky:
            signed = (("Server-Stamp", self._sign(request, b"")),)
            echoed = (("Request-Id", request),) if self._rng.random() < 0.5 else ()
            return Response(self._rng.choice(ERRORS), b"broken", (*signed, *echoed))
        if self.fault == "mute" and unlucky:
            conn.cut()
            return None
        body = b"".join(self._rng.randbytes(16) for _ in range(RECORDS)) + b"rest"
        stamp = self._sign(request, body)
        self._ledger.answered(request, self, stamp, body)
        known = (("Server-Stamp", stamp), ("Request-Id", request), ("Server-Load", "1,0,4"))
        headers = (*known, *self.notices)
        response = Response(200, body, headers)
        if self.fault == "garble" and unlucky:
            await conn.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nabc")
            conn.cut()
            return None
        if self.fault == "extra" and unlucky:
            await conn.send(response)
            other = b"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nServer-Stamp: x\r\nContent-Length: 2\r\n\r\nno"
            await conn.stream.send_all(other)
            return None
        return response

    def _sign(self, request: str, body: bytes) -> str:
        data = f"{request}/{self.name}/{self.born_ms}/".encode() + body
        return hashlib.sha256(data).hexdigest()[:24]


def _ignore(leaf: LeafServer, request: str) -> None:
    pass
