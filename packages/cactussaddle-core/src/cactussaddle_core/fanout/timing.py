"""How long calls usually take: per route beyond the round trip, and round trips by leaf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.query.latency import LatencySketch

if TYPE_CHECKING:
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Route

# Until a route has samples its usual time is taken to be this part of its objective.
FIRST_USUAL_PART = 0.15
FIRST_SAMPLES = 8
OVERDUE_QUANTILE = 0.92
# Few samples may all be slow or fast, so the usual time bounds the high quantile.
OVERDUE_LEAST = 1.4
OVERDUE_MOST = 2.0
# A leaf is taken to be at most this much faster or slower than usual when its calls fall overdue.
LEAST_SPEED_FACTOR = 0.7
MOST_SPEED_FACTOR = 1.5
# A call may wait for its connection for this many times the usual wait before it is overdue.
CONNECT_QUANTILE = 0.9
CONNECT_FACTOR = 1.5
FIRST_CONNECT_S = 0.03
LEAST_CONNECT_S = 0.012
SAME_DOMAIN_TRIP_S = 0.0005
OTHER_DOMAIN_TRIP_S = 0.02


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
        self._trips: dict[str, float] = {}

    def took(self, route: Route, leaf: Leaf, latency_s: float, now: float) -> float:
        """Take in a call's time; return how many times the usual time of the leaf's work it is."""
        work_s = max(0.0, latency_s - self.trip_s(leaf))
        ratio = work_s / self.usual_s(route)
        self._works.of(route).add(work_s)
        self._ratios.of(route).add(ratio / _speed_factor(leaf, now))
        return ratio

    def passed(self, route: Route, leaf: Leaf, total_s: float) -> None:
        """Take in a call's time with its wait for a connection."""
        self._totals.of(route).add(max(0.0, total_s - self.trip_s(leaf)))

    def usual_total_s(self, route: Route) -> float:
        """Return the median time of a call beyond the round trip, its wait for a connection too."""
        return self._totals.of(route).quantile(0.5, FIRST_USUAL_PART * route.objective_s)

    def usual_s(self, route: Route) -> float:
        """Return the median time of a call beyond the round trip."""
        sketch = self._works.of(route)
        if sketch.total < FIRST_SAMPLES:
            return FIRST_USUAL_PART * route.objective_s
        return sketch.quantile(0.5, FIRST_USUAL_PART * route.objective_s)

    def overdue_s(self, route: Route, leaf: Leaf, now: float) -> float:
        """Return after how long a call at a leaf is overdue."""
        high = self._ratios.of(route).quantile(OVERDUE_QUANTILE, OVERDUE_MOST)
        factor = min(max(high, OVERDUE_LEAST), OVERDUE_MOST) * _speed_factor(leaf, now)
        return self.trip_s(leaf) + factor * self.usual_s(route)

    def waited(self, waited_s: float) -> None:
        """Take in how long a call waited for its connection."""
        self._waits.add(waited_s)

    def connect_by_s(self, leaf: Leaf) -> float:
        """Return after how long a call that has no connection yet is overdue."""
        usual_s = self._waits.quantile(CONNECT_QUANTILE, FIRST_CONNECT_S)
        return 2.0 * self.trip_s(leaf) + max(LEAST_CONNECT_S, CONNECT_FACTOR * usual_s)

    def connected(self, leaf: Leaf, took_s: float) -> None:
        """Take in how long a connection took to open."""
        leaf.connect_s = took_s if leaf.connect_s is None else min(leaf.connect_s, took_s)
        domain = leaf.entry.domain
        self._trips[domain] = min(self._trips.get(domain, took_s), took_s)

    def trip_s(self, leaf: Leaf) -> float:
        """Return the round trip to a leaf."""
        if leaf.connect_s is not None:
            return leaf.connect_s
        known = self._trips.get(leaf.entry.domain)
        if known is not None:
            return known
        same = leaf.entry.domain == self.own_domain
        return SAME_DOMAIN_TRIP_S if same else OTHER_DOMAIN_TRIP_S

    def worst_trip_s(self) -> float:
        """Return the longest of the round trips to the failure domains."""
        return max(self._trips.values(), default=OTHER_DOMAIN_TRIP_S)


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
    return min(max(leaf.slowness(now), LEAST_SPEED_FACTOR), MOST_SPEED_FACTOR)
