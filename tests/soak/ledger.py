"""What leaves and callers saw, and the promises that must hold between the two."""

from __future__ import annotations

import time

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import trio

from cactussaddle_core.fanout.records import top_records
from tests.soak.closures import Closures

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.soak.leaf import LeafServer
    from tests.standins.http11 import Request

NOT_RUN_STATUSES = (429, 503, 408, 421)


class Part(NamedTuple):
    """A leaf's answer as it signed it."""

    request: str
    service: str
    body: bytes


class Seen(NamedTuple):
    """An answer as its caller saw it; times are of the soak's clock."""

    request: str
    kind: str
    node: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    answered_at: float


class Ledger:
    """Collects, and lists what broke a promise in `broken`.

    `in_touch` tells of the node at an address whether bounds in seconds hold for it at a time.
    """

    def __init__(
        self,
        *,
        shard_sets: list[frozenset[str]],
        least: float,
        top: int,
        in_touch: Callable[[str, float], bool],
    ) -> None:
        self.closures = Closures(breach=self.breach, in_touch=in_touch)
        self.broken: list[str] = []
        self.results: Counter[str] = Counter()
        self.last_served_at = 0.0
        self.versions_judged = 0
        self.arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.requests: list[float] = []
        self._shard_sets = shard_sets
        self._least = least
        self._top = top
        self._parts: dict[str, Part] = {}
        self._runs: Counter[str] = Counter()
        self._once: set[str] = set()
        self._refused: set[str] = set()

    def breach(self, text: str) -> None:
        self.broken.append(f"{time.time():.3f} {text}")

    # What leaves see.

    def arrived(self, request: str, leaf: LeafServer, sender: str) -> None:
        now = trio.current_time()
        self.arrivals[leaf.service].append((now, request))
        self.closures.arrived(request, leaf, sender, now)

    def has_arrived(self, request: str) -> bool:
        """Return whether a request has arrived at a leaf."""
        return any(name == request for calls in self.arrivals.values() for _, name in calls)

    def ran(self, request: str, leaf: LeafServer, req: Request) -> None:
        self._runs[request] += 1
        if request in self._once and self._runs[request] > 1:
            self.breach(f"request {request} ran {self._runs[request]} times")
        if request in self._refused:
            self.breach(f"request {request} ran after it was refused")

    def answered(self, request: str, leaf: LeafServer, stamp: str, body: bytes) -> None:
        self._parts[stamp] = Part(request, leaf.service, body)

    # What callers see.

    def begins(self, request: str, kind: str) -> None:
        self.requests.append(trio.current_time())
        if kind == "once":
            self._once.add(request)

    def saw(self, seen: Seen) -> None:
        """Check one answer."""
        self.results[f"{seen.kind} {seen.status}"] += 1
        if seen.status in NOT_RUN_STATUSES:
            self._refused.add(seen.request)
            if self._runs[seen.request]:
                self.breach(f"request {seen.request} was refused with {seen.status} and had run")
        if seen.status == 200:
            if seen.kind != "probe":
                self.last_served_at = seen.answered_at
            if seen.kind == "gather":
                self._check_gather(seen)
            else:
                self._check_single(seen)

    def _check_single(self, seen: Seen) -> None:
        part = self._parts.get(seen.headers.get("server-stamp", ""))
        if part is None or part.request != seen.request or part.body != seen.body:
            self.breach(f"request {seen.request} got what no leaf answered to it")

    def _check_gather(self, seen: Seen) -> None:
        stamps = [text.strip() for text in seen.headers.get("part-stamps", "").split(",")]
        parts = [self._parts.get(stamp) for stamp in stamps]
        known = [part for part in parts if part is not None and part.request == seen.request]
        services = {part.service for part in known}
        if len(known) != len(stamps) or len(services) != len(stamps):
            self.breach(f"request {seen.request} counts parts that are none of its own")
            return
        missing = int(seen.headers.get("missing-parts", "0"))
        sets = [shards for shards in self._shard_sets if services <= shards]
        if not any(len(shards) == len(services) + missing for shards in sets):
            self.breach(f"request {seen.request} tells a coverage that no configuration has")
        if len(services) < self._least * (len(services) + missing) - 1e-9:
            self.breach(f"request {seen.request} succeeded with {len(services)} parts")
        if seen.body != top_records((part.body for part in known), self._top):
            self.breach(f"request {seen.request} has not the greatest records of its parts")

    def check_budget(self, ratio: float, allowance: float, window_s: float) -> None:
        """Check the calls beyond the first of each request in every window, by service."""
        for service, arrivals in self.arrivals.items():
            seen: set[str] = set()
            extras = []
            for at, request in arrivals:
                if request in seen:
                    extras.append(at)
                seen.add(request)
            for start in extras:
                spent = sum(1 for at in extras if start <= at < start + window_s)
                asked = sum(1 for at in self.requests if start <= at < start + window_s)
                if spent > ratio * asked + allowance:
                    self.breach(f"{service}: {spent} extra calls for {asked} requests in a window")
                    return

    def summary(self) -> dict[str, Any]:
        return {**dict(sorted(self.results.items())), "versions judged": self.versions_judged}
