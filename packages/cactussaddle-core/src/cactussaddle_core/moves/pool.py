"""Pooling of the nodes' snapshots of one move and the tests over them."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.moves.evidence import Counts
from cactussaddle_core.moves.evidence import pool_sketches
from cactussaddle_core.moves.evidence import slow_limit_s
from cactussaddle_core.moves.verdict import Decayed
from cactussaddle_core.moves.verdict import OldRate
from cactussaddle_core.moves.verdict import Step
from cactussaddle_core.moves.verdict import VersionTest
from cactussaddle_core.moves.versions import USUAL_PACE
from cactussaddle_core.moves.versions import evidence_cap

if TYPE_CHECKING:
    from cactussaddle_core.moves.evidence import RouteEvidence
    from cactussaddle_core.moves.versions import Pace

FIRST_SNAPSHOT_CALLS = 20
SIGNIFICANT_ROUTE = 0.05
EXCUSED_PART = 0.5
RATE_S = 30.0
RATE_KNOWN_S = 10.0


class RoutePool:
    """One route's pooled calls under one move."""

    def __init__(self) -> None:
        self.test = VersionTest()
        self.steps: list[Step] = []
        self.old_pooled = OldRate()
        self.old_by_node: dict[str, OldRate] = {}
        self.sketches: dict[str, tuple[int, ...]] = {}
        self.new_calls = 0.0
        self.all_calls = 0
        self.recent = Decayed(tau_s=RATE_S)

    def take(
        self, node: str, before: RouteEvidence | None, after: RouteEvidence, now: float
    ) -> None:
        """Take in what a node's snapshot adds to its last one.

        A long history heard of for the first time counts as evidence, but is not tested: there is
        nothing to compare it by at its own time.
        """
        old = after.old.minus(before.old) if before is not None else after.old
        by_node = self.old_by_node.setdefault(node, OldRate())
        by_node.add(old, now)
        self.old_pooled.add(old, now)
        self.sketches[node] = after.sketch
        self.all_calls += old.calls
        if before is not None:
            self.recent.add(old.calls, now)
        known = {entry.leaf: entry.counts for entry in before.new} if before is not None else {}
        for entry in after.new:
            counts = entry.counts.minus(known.get(entry.leaf, Counts()))
            self.new_calls += counts.calls - EXCUSED_PART * counts.excused
            self.all_calls += counts.calls
            if before is not None:
                self.recent.add(counts.calls, now)
            if before is not None or entry.counts.calls <= FIRST_SNAPSHOT_CALLS:
                self._step(node, entry.leaf, counts, now)

    def run(self, now: float) -> list[Step]:
        """Test the steps taken in since the last run; return them."""
        steps = self.steps
        self.steps = []
        if steps:
            self.test.add(steps, now)
        return steps

    def limit_s(self) -> float:
        """Return the pooled latency limit, for nodes that have seen too little themselves."""
        return slow_limit_s(pool_sketches(list(self.sketches.values()))) if self.sketches else 0.0

    def _step(self, node: str, leaf: str, counts: Counts, now: float) -> None:
        if not counts.calls and not counts.cold_calls:
            return
        own = self.old_by_node[node]
        failing = self.old_pooled.failing(now)
        slow = self.old_pooled.slow_share(now)
        if own.calls.get(now) >= 1.0:
            failing = max(failing, own.failing(now) if _events(own, now) else 0.0)
            slow = max(slow, own.slow_share(now) if own.slow.get(now) >= 1.0 else 0.0)
        self.steps.append(Step(node, leaf, counts, failing, slow))


class MovePool:
    """All routes' pooled calls under one version move."""

    def __init__(self, *, pace: Pace = USUAL_PACE) -> None:
        self.pace = pace
        self.routes: dict[str, RoutePool] = {}
        self.overall = VersionTest()
        self.cap = pace.canary_share
        self.held_share = 1.0
        self.since: float | None = None
        self.calls_per_s: float | None = None

    def route(self, name: str) -> RoutePool:
        """Return the pool of a route."""
        return self.routes.setdefault(name, RoutePool())

    def run(self, now: float) -> str:
        """Test what came in; return why the version is bad, empty while it is not known to be."""
        self._measure_rate(now)
        steps = [step for route in self.routes.values() for step in route.run(now)]
        if steps:
            self.overall.add(steps, now)
        if not self.suspicious():
            self.cap = self._evidence_cap()
            self.held_share = 1.0
        for name, route in sorted(self.routes.items()):
            badness = route.test.badness(now)
            if badness:
                return f"{badness} on {name}"
        return self.overall.badness(now)

    def suspicious(self) -> bool:
        """Return whether the share is better not raised for now."""
        tests = [route.test for route in self.routes.values()]
        return any(test.suspicious() for test in [*tests, self.overall])

    def hold(self, share: float) -> None:
        """Let the share grow no further than it is while there is suspicion.

        It is not lowered, since what fails only under load would then show no more.
        """
        if self.suspicious():
            self.held_share = min(self.held_share, max(share, self.pace.canary_share))

    def new_calls(self) -> float:
        """Return how many calls the new version has had on all nodes, excused ones in part."""
        return sum(route.new_calls for route in self.routes.values())

    def _measure_rate(self, now: float) -> None:
        if self.since is None:
            self.since = now
        if now - self.since < RATE_KNOWN_S:
            return
        seen_s = RATE_S * (1.0 - math.exp(-(now - self.since) / RATE_S))
        recent = sum(route.recent.get(now) for route in self.routes.values())
        self.calls_per_s = recent / seen_s

    def _evidence_cap(self) -> float:
        total = sum(route.all_calls for route in self.routes.values())
        counted = [
            route.new_calls
            for route in self.routes.values()
            if route.all_calls >= SIGNIFICANT_ROUTE * total
        ]
        return evidence_cap(self.new_calls(), min(counted, default=0), self.pace)


def _events(rate: OldRate, now: float) -> bool:
    return rate.failures.get(now) >= 1.0
