"""A root's knowledge of the leaves: snapshots held, latency, calls in flight, owners."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.query.latency import LatencySketch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.calls import SnapshotInfo


FIRST_LATENCY_S = 0.010
LATENCY_WEIGHT = 0.1
AVOID_FIRST_S = 0.25
AVOID_MAX_S = 4.0
HEDGE_QUANTILE = 0.97
HEDGE_MIN_S = 0.004
HEDGE_MEDIANS = 3.0
HEDGE_DEFAULT_S = 0.030


class ShardMap(NamedTuple):
    """The shards of a service in a snapshot that one leaf holds, of `of` in all."""

    of: int
    shards: frozenset[int]


class LeafView:
    """A root's knowledge of one leaf."""

    def __init__(self, *, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.snapshots: dict[int, ShardMap] = {}
        self.incarnation = ""
        self.limit = 1
        self.in_flight = 0
        self.latency_s = FIRST_LATENCY_S
        self.avoid_until = 0.0
        self.avoid_s = AVOID_FIRST_S

    def score(self) -> float:
        """Return the expected wait in seconds; lower is better."""
        return self.latency_s * (1.0 + self.in_flight / max(1, self.limit))


# Outcomes that make this node avoid the leaf for its next calls.
_AVOID = frozenset(
    {
        CallOutcome.SHED,
        CallOutcome.FAILED,
        CallOutcome.REFUSED,
        CallOutcome.RESET,
        CallOutcome.QUEUE_FULL,
        CallOutcome.NOT_OWNER,
        CallOutcome.LINK_DOWN,
    }
)


class FleetView:
    """A root's knowledge of all leaves."""

    def __init__(self) -> None:
        self.leaves: dict[str, LeafView] = {}
        self.by_service: dict[str, list[LeafView]] = {}
        self.sketches: dict[str, LatencySketch] = {}
        self.generation = 0
        self.outcomes: Counter[CallOutcome] = Counter()

    def apply_leaves(self, leaves: Iterable[tuple[str, str]]) -> None:
        """Keep exactly the given leaves, as (name, service); known ones keep their state."""
        old = self.leaves
        self.leaves = {}
        self.by_service = {}
        for name, service in leaves:
            view = old.get(name)
            if view is None or view.service != service:
                view = LeafView(name=name, service=service)
            self.leaves[name] = view
            self.by_service.setdefault(service, []).append(view)
        self.generation += 1

    def set_snapshots(self, leaf: str, incarnation: str, infos: Iterable[SnapshotInfo]) -> None:
        """Record which snapshots a leaf holds."""
        view = self.leaves.get(leaf)
        if view is None:
            return
        fresh = {info.snapshot: ShardMap(info.of, frozenset(info.shards)) for info in infos}
        view.incarnation = incarnation
        if fresh != view.snapshots:
            view.snapshots = fresh
            self.generation += 1

    def sent(self, leaf: str) -> None:
        """Record that a call was sent."""
        view = self.leaves.get(leaf)
        if view is not None:
            view.in_flight += 1

    def ended(
        self, leaf: str, route: str, outcome: CallOutcome, elapsed_s: float, now: float
    ) -> None:
        """Record the end of a call that took `elapsed_s` as measured at the root."""
        view = self.leaves.get(leaf)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        self.outcomes[outcome] += 1
        if outcome is CallOutcome.OK:
            view.latency_s += LATENCY_WEIGHT * (elapsed_s - view.latency_s)
            view.avoid_s = AVOID_FIRST_S
            view.avoid_until = 0.0
            self.sketch(route).add(elapsed_s)
        elif outcome in _AVOID:
            view.avoid_until = now + view.avoid_s
            view.avoid_s = min(AVOID_MAX_S, 2.0 * view.avoid_s)

    def sketch(self, route: str) -> LatencySketch:
        """Return the latency sketch of the route's leaf calls, created on first use."""
        found = self.sketches.get(route)
        if found is None:
            found = self.sketches[route] = LatencySketch()
        return found

    def hedge_delay_s(self, route: str) -> float:
        """Return after how long a leaf call of the route is hedged.

        With few samples, all of them may be slow, so the median bounds the high quantile.
        """
        sketch = self.sketch(route)
        high = sketch.quantile(HEDGE_QUANTILE, HEDGE_DEFAULT_S)
        median = sketch.quantile(0.5, HEDGE_DEFAULT_S)
        return max(HEDGE_MIN_S, min(high, HEDGE_MEDIANS * median))
