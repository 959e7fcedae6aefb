"""The operator's configurations: each version adds a route of its own, which a later one drops."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from tests.soak.callers import HOST

if TYPE_CHECKING:
    import random

    from tests.soak.kv import Store

SHARD_SETS = (tuple(f"a{n}" for n in range(5)), tuple(f"b{n}" for n in range(7)))
PLAIN = "orders"
LEAST, TOP = 0.6, 4
# How long an added route stays; the first version after that drops it.
SHORTEST_LIFE_S, LONGEST_LIFE_S = 1.0, 8.0
COMMON = {
    "host": HOST,
    "type": "safe",
    "timeout_ms": 1500,
    "slo_ms": 300,
    "priority": 1,
    "max_attempts": 2,
    "allowed_regions": [],
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class AddedRoute:
    """A route that `version` added; `dropped_by` is the version that dropped it, 0 before that.

    Times are those of the store's acknowledgements.
    """

    def __init__(self, *, version: int, added_at: float, life_s: float) -> None:
        self.version = version
        self.path = f"/v{version}/x"
        self.added_at = added_at
        self.until = added_at + life_s
        self.dropped_by = 0
        self.dropped_at = math.inf

    def drop(self, version: int, at: float) -> None:
        self.dropped_by = version
        self.dropped_at = at


class Configs:
    """What the operator has written so far; `added` holds the routes of all versions."""

    def __init__(self, *, store: Store, rng: random.Random) -> None:
        self.version = 0
        self.shards = SHARD_SETS[0]
        self.added: list[AddedRoute] = []
        self._store = store
        self._rng = rng

    def write_next(self, now: float) -> None:
        """Write the next version: its own route comes in, those whose time is over go."""
        self.version += 1 + self._rng.randrange(3)
        for route in self.added:
            if route.until <= now and not route.dropped_by:
                route.drop(self.version, now)
        life_s = self._rng.uniform(SHORTEST_LIFE_S, LONGEST_LIFE_S)
        self.added.append(AddedRoute(version=self.version, added_at=now, life_s=life_s))
        self._store.put("op/config", msgspec.json.encode(self._config()))

    def _config(self) -> dict[str, Any]:
        gather = {"gather": self.shards, "top_k": TOP, "least": LEAST}
        routes: list[dict[str, Any]] = [
            {**COMMON, "name": "g", "prefix": "/g/", **gather},
            {**COMMON, "name": "p", "prefix": "/p/", "service": PLAIN},
            {**COMMON, "name": "o", "prefix": "/o/", "service": PLAIN, "type": "unsafe"},
            {**COMMON, "name": "w", "prefix": "/w/", "service": PLAIN, "timeout_ms": 10_000},
        ]
        for route in self.added:
            if not route.dropped_by:
                service = SHARD_SETS[0][route.version % len(SHARD_SETS[0])]
                own = {"name": f"v{route.version}", "prefix": f"/v{route.version}/"}
                routes.append({**COMMON, **own, "service": service})
        names = [*SHARD_SETS[0], *SHARD_SETS[1], PLAIN]
        services = [{"name": name, "health_path": "/healthz", "max_conns": 40} for name in names]
        return {"version": self.version, "routes": routes, "services": services, "limits": LIMITS}
