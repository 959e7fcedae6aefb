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
OVERDUE_QUANTILE = 0.95
# Few samples may all be slow or fast, so the usual time bounds the high quantile.
OVERDUE_LEAST = 1.6
OVERDUE_MOST = 3.0
SAME_DOMAIN_TRIP_S = 0.0005
OTHER_DOMAIN_TRIP_S = 0.02


class RouteTimings:
    """Latency sketches by route, and the least round trip to each failure domain."""

    def __init__(self, *, own_domain: str) -> None:
        self.own_domain = own_domain
        self._sketches: dict[str, LatencySketch] = {}
        self._trips: dict[str, float] = {}

    def took(self, route: Route, leaf: Leaf, latency_s: float) -> float:
        """Take in a call's time; return how many times the usual time of the leaf's work it is."""
        work_s = max(0.0, latency_s - self.trip_s(leaf))
        ratio = work_s / self.usual_s(route)
        self._sketch(route).add(work_s)
        return ratio

    def usual_s(self, route: Route) -> float:
        """Return the median time of a call beyond the round trip."""
        sketch = self._sketch(route)
        if sketch.total < FIRST_SAMPLES:
            return FIRST_USUAL_PART * route.objective_s
        return sketch.quantile(0.5, FIRST_USUAL_PART * route.objective_s)

    def overdue_s(self, route: Route, leaf: Leaf) -> float:
        """Return after how long a call at a leaf is overdue."""
        usual_s = self.usual_s(route)
        high_s = self._sketch(route).quantile(OVERDUE_QUANTILE, OVERDUE_MOST * usual_s)
        work_s = min(max(high_s, OVERDUE_LEAST * usual_s), OVERDUE_MOST * usual_s)
        return self.trip_s(leaf) + work_s

    def expected_s(self, route: Route, leaf: Leaf, now: float) -> float:
        """Return how long a call at a leaf is likely to take, its queue left aside."""
        return self.trip_s(leaf) + self.usual_s(route) * leaf.slowness(now)

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

    def _sketch(self, route: Route) -> LatencySketch:
        sketch = self._sketches.get(route.name)
        if sketch is None:
            sketch = self._sketches[route.name] = LatencySketch()
        return sketch
