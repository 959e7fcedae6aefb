"""Weighted distribution of a route's requests among its targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactussaddle_core.routing.model import Route


class WeightedRoundRobin:
    """Smooth weighted round robin per route: the shares hold even over a few requests."""

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request."""
        if len(route.targets) == 1:
            return route.targets[0].service
        kept = self._credits.get(route.name, {})
        credits = {
            target.service: kept.get(target.service, 0.0) + target.weight
            for target in route.targets
        }
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= sum(target.weight for target in route.targets)
        self._credits[route.name] = credits
        return chosen
