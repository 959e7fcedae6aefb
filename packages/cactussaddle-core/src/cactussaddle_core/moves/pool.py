"""Pools the nodes' snapshots of one move and runs the statistical tests over them."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.moves.evidence import Counts
from cactussaddle_core.moves.evidence import slow_limit_s
from cactussaddle_core.moves.evidence import sum_sketches
from cactussaddle_core.moves.verdict import DecayingCount
from cactussaddle_core.moves.verdict import OldRate
from cactussaddle_core.moves.verdict import Step
from cactussaddle_core.moves.verdict import VersionTest
from cactussaddle_core.moves.versions import TYPICAL_PACE
from cactussaddle_core.moves.versions import evidence_cap

if TYPE_CHECKING:
    from cactussaddle_core.moves.evidence import RouteEvidence
    from cactussaddle_core.moves.versions import Pace

MAX_FIRST_SNAPSHOT_CALLS = 20
SIGNIFICANT_ROUTE_SHARE = 0.05
EXCUSED_WEIGHT = 0.5
RATE_TAU_S = 30.0
MIN_RATE_TIME_S = 10.0


class RoutePool:
    """The pooled calls of one route under one move."""

    def __init__(self) -> None:
        self.test = VersionTest()
        self.steps: list[Step] = []
        self.old_pooled = OldRate()
        self.old_by_node: dict[str, OldRate] = {}
        self.sketches: dict[str, tuple[int, ...]] = {}
        self.new_calls = 0.0
        self.all_calls = 0
        self.recent = DecayingCount(tau_s=RATE_TAU_S)

    def add_snapshot(
        self, node: str, before: RouteEvidence | None, after: RouteEvidence, now: float
    ) -> None:
        """Add the increase of a node's snapshot over its previous one.

        A first snapshot with more than `MAX_FIRST_SNAPSHOT_CALLS` calls of a leaf counts as
        evidence but is not tested, since the old version's rates at the time of those calls are
        unknown.
        """
        old = after.old.minus(before.old) if before is not None else after.old
        node_rate = self.old_by_node.setdefault(node, OldRate())
        node_rate.add(old, now)
        self.old_pooled.add(old, now)
        self.sketches[node] = after.sketch
        self.all_calls += old.calls
        if before is not None:
            self.recent.add(old.calls, now)
        known = {entry.leaf: entry.counts for entry in before.new} if before is not None else {}
        for entry in after.new:
            counts = entry.counts.minus(known.get(entry.leaf, Counts()))
            self.new_calls += counts.calls - EXCUSED_WEIGHT * counts.excused
            self.all_calls += counts.calls
            if before is not None:
                self.recent.add(counts.calls, now)
            if before is not None or entry.counts.calls <= MAX_FIRST_SNAPSHOT_CALLS:
                self._add_step(node, entry.leaf, counts, now)

    def run_tests(self, now: float) -> list[Step]:
        """Test the steps added since the last run and return them."""
        steps = self.steps
        self.steps = []
        if steps:
            self.test.add(steps, now)
        return steps

    def limit_s(self) -> float:
        """Return the pooled latency limit, for nodes with too few samples of their node_rate."""
        return slow_limit_s(sum_sketches(list(self.sketches.values()))) if self.sketches else 0.0

    def _add_step(self, node: str, leaf: str, counts: Counts, now: float) -> None:
        if not counts.calls and not counts.cold_calls:
            return
        node_rate = self.old_by_node[node]
        failing = self.old_pooled.failing(now)
        slow = self.old_pooled.slow_share(now)
        if node_rate.calls.get(now) >= 1.0:
            failing = max(failing, node_rate.failing(now) if _has_failures(node_rate, now) else 0.0)
            slow = max(slow, node_rate.slow_share(now) if node_rate.slow.get(now) >= 1.0 else 0.0)
        self.steps.append(Step(node, leaf, counts, failing, slow))


class MovePool:
    """The pooled calls of all routes under one version move."""

    def __init__(self, *, pace: Pace = TYPICAL_PACE) -> None:
        self.pace = pace
        self.routes: dict[str, RoutePool] = {}
        self.overall = VersionTest()
        self.cap = pace.canary_share
        self.held_share = 1.0
        self.since: float | None = None
        self.calls_per_s: float | None = None

    def route(self, name: str) -> RoutePool:
        """Return the pool of a route, creating it if needed."""
        return self.routes.setdefault(name, RoutePool())

    def run_tests(self, now: float) -> str:
        """Test the new steps; return why the version is bad, empty if it is not known to be."""
        self._measure_rate(now)
        steps = [step for route in self.routes.values() for step in route.run_tests(now)]
        if steps:
            self.overall.add(steps, now)
        if not self.suspicious():
            self.cap = self._evidence_cap()
            self.held_share = 1.0
        for name, route in sorted(self.routes.items()):
            bad_reason = route.test.bad_reason(now)
            if bad_reason:
                return f"{bad_reason} on {name}"
        return self.overall.bad_reason(now)

    def suspicious(self) -> bool:
        """Return whether the share must not be raised for now."""
        tests = [route.test for route in self.routes.values()]
        return any(test.suspicious() for test in [*tests, self.overall])

    def hold(self, share: float) -> None:
        """Keep the share from growing while the version is suspicious.

        The share is not lowered either, since a fault that shows only under load would then
        disappear from the evidence.
        """
        if self.suspicious():
            self.held_share = min(self.held_share, max(share, self.pace.canary_share))

    def new_calls(self) -> float:
        """Return the new version's calls on all nodes; excused calls count in part."""
        return sum(route.new_calls for route in self.routes.values())

    def _measure_rate(self, now: float) -> None:
        if self.since is None:
            self.since = now
        if now - self.since < MIN_RATE_TIME_S:
            return
        window_s = RATE_TAU_S * (1.0 - math.exp(-(now - self.since) / RATE_TAU_S))
        recent = sum(route.recent.get(now) for route in self.routes.values())
        self.calls_per_s = recent / window_s

    def _evidence_cap(self) -> float:
        total = sum(route.all_calls for route in self.routes.values())
        route_calls = [
            route.new_calls
            for route in self.routes.values()
            if route.all_calls >= SIGNIFICANT_ROUTE_SHARE * total
        ]
        return evidence_cap(self.new_calls(), min(route_calls, default=0), self.pace)


def _has_failures(rate: OldRate, now: float) -> bool:
    return rate.failures.get(now) >= 1.0
