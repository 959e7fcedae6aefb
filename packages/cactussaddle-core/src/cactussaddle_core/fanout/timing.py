"""Call timings: work time per route, excluding the round trip, and round-trip times per leaf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.query.latency import LatencySketch

if TYPE_CHECKING:
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Route

# Until a route has enough samples, its median is assumed to be this fraction of its objective.
INITIAL_MEDIAN_FRACTION = 0.15
MIN_SAMPLES = 8
OVERDUE_QUANTILE = 0.92
# Bounds of the high quantile relative to the median, since a few samples may all be slow or fast.
MIN_OVERDUE_FACTOR = 1.4
MAX_OVERDUE_FACTOR = 2.0
# Bounds of a leaf's speed relative to the median when deciding whether its calls are overdue.
MIN_SPEED_FACTOR = 0.7
MAX_SPEED_FACTOR = 1.5
# A call without a connection is overdue after this factor times this quantile of the waits.
CONNECT_QUANTILE = 0.9
CONNECT_FACTOR = 1.5
INITIAL_CONNECT_S = 0.03
MIN_CONNECT_S = 0.012
# Weight of the newest answer in the mean size of answers.
ANSWER_BYTES_WEIGHT = 0.05
SAME_DOMAIN_RTT_S = 0.0005
OTHER_DOMAIN_RTT_S = 0.02


class RouteTimings:
    """Call times by route, and the minimum round-trip time to each failure domain.

    A call's work time is its latency without the round trip. Its ratio is the work time relative
    to the median of the route and the speed of the leaf.
    """

    def __init__(self, *, own_domain: str) -> None:
        self.own_domain = own_domain
        self._work_times = _Sketches()
        # The medians of `_work_times` by route, until the next sample.
        self._medians: dict[str, float] = {}
        self._ratios = _Sketches()
        self._totals = _Sketches()
        self._leaf_times = _Sketches()
        self._connect_waits = LatencySketch()
        self._rtts: dict[str, float] = {}
        self._answer_bytes: dict[str, float] = {}

    def record_latency(
        self,
        route: Route,
        leaf: Leaf,
        latency_s: float,
        now: float,
        *,
        pace: float = 1.0,
        expected_pace: float = 1.0,
    ) -> float:
        """Record a call's latency; return its work time relative to the median of the route.

        `pace` is that of the leaf's host while it worked; times are recorded as at the usual pace.
        `expected_pace` was expected before the answer told it.
        """
        usual_s = self.median_s(route)
        work_time_s = max(0.0, latency_s - self.rtt_s(leaf))
        self._work_times.of(route).add(work_time_s / pace)
        self._medians.pop(route.name, None)
        expected = _speed_factor(leaf.slowness(now) * expected_pace)
        self._ratios.of(route).add(work_time_s / usual_s / expected)
        return work_time_s / pace / usual_s

    def ratio(self, route: Route, leaf: Leaf, latency_s: float) -> float:
        """Return a call's work time relative to the median of the route."""
        return max(0.0, latency_s - self.rtt_s(leaf)) / self.median_s(route)

    def record_answer_bytes(self, route: Route, count: int) -> None:
        """Record the size of a leaf's answer."""
        before = self._answer_bytes.get(route.name, float(count))
        self._answer_bytes[route.name] = before + ANSWER_BYTES_WEIGHT * (count - before)

    def answer_bytes(self, route: Route) -> float:
        """Return the mean size of a leaf's answer on a route; 0 until there is one."""
        return self._answer_bytes.get(route.name, 0.0)

    def record_leaf_time(self, route: Route, leaf: Leaf, leaf_s: float) -> None:
        """Record a call's latency without the time for which its answer lay unread on this node."""
        self._leaf_times.of(route).add(max(0.0, leaf_s - self.rtt_s(leaf)))

    def median_leaf_s(self, route: Route) -> float:
        """Return the median time that a leaf takes for a call, without this node's own delay."""
        return self._leaf_times.of(route).quantile(0.5, INITIAL_MEDIAN_FRACTION * route.objective_s)

    def record_total(self, route: Route, leaf: Leaf, total_s: float) -> None:
        """Record a call's latency including its wait for a connection."""
        self._totals.of(route).add(max(0.0, total_s - self.rtt_s(leaf)))

    def median_total_s(self, route: Route) -> float:
        """Return the median time of a call with its wait for a connection, without the round trip."""
        return self._totals.of(route).quantile(0.5, INITIAL_MEDIAN_FRACTION * route.objective_s)

    def median_s(self, route: Route) -> float:
        """Return the median work time of a call, without the round trip."""
        median_s = self._medians.get(route.name)
        if median_s is not None:
            return median_s
        sketch = self._work_times.of(route)
        if sketch.total < MIN_SAMPLES:
            return INITIAL_MEDIAN_FRACTION * route.objective_s
        median_s = sketch.quantile(0.5, INITIAL_MEDIAN_FRACTION * route.objective_s)
        self._medians[route.name] = median_s
        return median_s

    def overdue_s(self, route: Route, leaf: Leaf, now: float) -> float:
        """Return how long after it was sent a call to a leaf becomes overdue."""
        high = self._ratios.of(route).quantile(OVERDUE_QUANTILE, MAX_OVERDUE_FACTOR)
        factor = min(max(high, MIN_OVERDUE_FACTOR), MAX_OVERDUE_FACTOR)
        factor *= _speed_factor(leaf.slowness(now) * leaf.pace(now))
        return self.rtt_s(leaf) + factor * self.median_s(route)

    def record_connect_wait(self, waited_s: float) -> None:
        """Record how long a call waited for its connection."""
        self._connect_waits.add(waited_s)

    def connect_overdue_s(self, leaf: Leaf) -> float:
        """Return how long a call may wait for a connection before it is overdue."""
        wait_s = self._connect_waits.quantile(CONNECT_QUANTILE, INITIAL_CONNECT_S)
        return 2.0 * self.rtt_s(leaf) + max(MIN_CONNECT_S, CONNECT_FACTOR * wait_s)

    def connected(self, leaf: Leaf, took_s: float) -> None:
        """Record how long a connection took to open, as a bound on the round-trip time."""
        leaf.connect_s = took_s if leaf.connect_s is None else min(leaf.connect_s, took_s)
        domain = leaf.entry.domain
        self._rtts[domain] = min(self._rtts.get(domain, took_s), took_s)

    def rtt_s(self, leaf: Leaf) -> float:
        """Return the round-trip time to a leaf, measured or assumed from its failure domain."""
        if leaf.connect_s is not None:
            return leaf.connect_s
        domain_rtt_s = self._rtts.get(leaf.entry.domain)
        if domain_rtt_s is not None:
            return domain_rtt_s
        is_same = leaf.entry.domain == self.own_domain
        return SAME_DOMAIN_RTT_S if is_same else OTHER_DOMAIN_RTT_S

    def max_rtt_s(self) -> float:
        """Return the longest known round-trip time to a failure domain."""
        return max(self._rtts.values(), default=OTHER_DOMAIN_RTT_S)


class _Sketches:
    """Latency sketches keyed by route name."""

    def __init__(self) -> None:
        self._by_route: dict[str, LatencySketch] = {}

    def of(self, route: Route) -> LatencySketch:
        """Return the sketch of a route, created on first use."""
        sketch = self._by_route.get(route.name)
        if sketch is None:
            sketch = self._by_route[route.name] = LatencySketch()
        return sketch


def _speed_factor(slowness: float) -> float:
    return min(max(slowness, MIN_SPEED_FACTOR), MAX_SPEED_FACTOR)
