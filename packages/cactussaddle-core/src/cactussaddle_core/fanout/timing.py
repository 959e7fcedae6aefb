"""How long calls usually take: per route beyond the round trip, and round trips by leaf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.query.latency import LatencySketch

if TYPE_CHECKING:
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Route

# Until a route has samples its usual time is taken to be this part of its objective.
INITIAL_MEDIAN_FRACTION = 0.15
MIN_SAMPLES = 8
OVERDUE_QUANTILE = 0.92
# Few samples may all be slow or fast, so the usual time bounds the high quantile.
MIN_OVERDUE_FACTOR = 1.4
MAX_OVERDUE_FACTOR = 2.0
# A leaf is taken to be at most this much faster or slower than usual when its calls fall overdue.
MIN_SPEED_FACTOR = 0.7
MAX_SPEED_FACTOR = 1.5
# A call may wait for its connection for this many times the usual wait before it is overdue.
CONNECT_QUANTILE = 0.9
CONNECT_FACTOR = 1.5
INITIAL_CONNECT_S = 0.03
MIN_CONNECT_S = 0.012
SAME_DOMAIN_RTT_S = 0.0005
OTHER_DOMAIN_RTT_S = 0.02


class RouteTimings:
    """How long calls take by route, and the least round trip to each failure domain.

    A call's work is its time beyond the round trip; its ratio is that against the usual time of
    the route and of the leaf.
    """

    def __init__(self, *, own_domain: str) -> None:
        self.own_domain = own_domain
        self._works = _Sketches()
        self._ratios = _Sketches()
        self._totals = _Sketches()
        self._waits = LatencySketch()
        self._rtts: dict[str, float] = {}

    def record_latency(self, route: Route, leaf: Leaf, latency_s: float, now: float) -> float:
        """Take in a call's time; return how many times the usual time of the leaf's work it is."""
        work_s = max(0.0, latency_s - self.rtt_s(leaf))
        ratio = work_s / self.median_s(route)
        self._works.of(route).add(work_s)
        self._ratios.of(route).add(ratio / _speed_factor(leaf, now))
        return ratio

    def record_total(self, route: Route, leaf: Leaf, total_s: float) -> None:
        """Take in a call's time with its wait for a connection."""
        self._totals.of(route).add(max(0.0, total_s - self.rtt_s(leaf)))

    def median_total_s(self, route: Route) -> float:
        """Return the median time of a call beyond the round trip, its wait for a connection too."""
        return self._totals.of(route).quantile(0.5, INITIAL_MEDIAN_FRACTION * route.objective_s)

    def median_s(self, route: Route) -> float:
        """Return the median time of a call beyond the round trip."""
        sketch = self._works.of(route)
        if sketch.total < MIN_SAMPLES:
            return INITIAL_MEDIAN_FRACTION * route.objective_s
        return sketch.quantile(0.5, INITIAL_MEDIAN_FRACTION * route.objective_s)

    def overdue_s(self, route: Route, leaf: Leaf, now: float) -> float:
        """Return after how long a call at a leaf is overdue."""
        high = self._ratios.of(route).quantile(OVERDUE_QUANTILE, MAX_OVERDUE_FACTOR)
        factor = min(max(high, MIN_OVERDUE_FACTOR), MAX_OVERDUE_FACTOR) * _speed_factor(leaf, now)
        return self.rtt_s(leaf) + factor * self.median_s(route)

    def record_connect_wait(self, waited_s: float) -> None:
        """Take in how long a call waited for its connection."""
        self._waits.add(waited_s)

    def connect_overdue_s(self, leaf: Leaf) -> float:
        """Return after how long a call that has no connection yet is overdue."""
        median_s = self._waits.quantile(CONNECT_QUANTILE, INITIAL_CONNECT_S)
        return 2.0 * self.rtt_s(leaf) + max(MIN_CONNECT_S, CONNECT_FACTOR * median_s)

    def connected(self, leaf: Leaf, took_s: float) -> None:
        """Take in how long a connection took to open."""
        leaf.connect_s = took_s if leaf.connect_s is None else min(leaf.connect_s, took_s)
        domain = leaf.entry.domain
        self._rtts[domain] = min(self._rtts.get(domain, took_s), took_s)

    def rtt_s(self, leaf: Leaf) -> float:
        """Return the round trip to a leaf."""
        if leaf.connect_s is not None:
            return leaf.connect_s
        known = self._rtts.get(leaf.entry.domain)
        if known is not None:
            return known
        same = leaf.entry.domain == self.own_domain
        return SAME_DOMAIN_RTT_S if same else OTHER_DOMAIN_RTT_S

    def max_rtt_s(self) -> float:
        """Return the longest of the round trips to the failure domains."""
        return max(self._rtts.values(), default=OTHER_DOMAIN_RTT_S)


class _Sketches:
    """A sketch for each route by name."""

    def __init__(self) -> None:
        self._by_route: dict[str, LatencySketch] = {}

    def of(self, route: Route) -> LatencySketch:
        """Return the sketch of a route, made on first use."""
        sketch = self._by_route.get(route.name)
        if sketch is None:
            sketch = self._by_route[route.name] = LatencySketch()
        return sketch


def _speed_factor(leaf: Leaf, now: float) -> float:
    return min(max(leaf.slowness(now), MIN_SPEED_FACTOR), MAX_SPEED_FACTOR)
