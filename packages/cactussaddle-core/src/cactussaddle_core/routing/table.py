"""Versions of the routing table, and the holder of the current one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.routing.model import DEFAULT_CALLER_LIMITS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.access.keys import KeyBook
    from cactussaddle_core.routing.model import CallerLimits
    from cactussaddle_core.routing.model import Route
    from cactussaddle_core.routing.model import ServiceSpec


class RoutingTable:
    """An immutable version of the routing table; the longest matching prefix wins.

    `keys` is None where the configuration names no teams, so that requests need no keys.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSpec],
        limits: CallerLimits = DEFAULT_CALLER_LIMITS,
        keys: KeyBook | None = None,
    ) -> None:
        self.version = version
        self.routes = {route.name: route for route in routes}
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.keys = keys
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes.values():
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        # The lengths of a host's prefixes, longest first: no path costs more look-ups than there are.
        self._lengths = {
            host: sorted({len(one) for one in by_prefix if one.endswith("/")}, reverse=True)
            for host, by_prefix in self._by_host.items()
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request; prefixes begin and end with a slash."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        for length in self._lengths[host]:
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None

    def services_in_use(self) -> frozenset[str]:
        """Return the services that are referenced by any route."""
        names = {target.service for route in self.routes.values() for target in route.targets}
        names.update(shard for route in self.routes.values() for shard in route.shards)
        return frozenset(names)


class CurrentTable:
    """The routing table in force on this node; its version never decreases."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = None

    def offer(self, table: RoutingTable) -> bool:
        """Put a newer table in force; ignore one that is older or the same."""
        previous = self.table
        if previous is not None and table.version <= previous.version:
            return False
        self.table = table
        require(
            previous is None or self.table.version > previous.version,
            Promise.NO_REVERT,
            f"routing table reverted to version {table.version}",
        )
        return True
