"""Routes, services and caller limits that make up one version of the routing table."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from cactussaddle_core.access.credential import Sealed

# Regions whose leaves may be used; None for any.
Regions: TypeAlias = "frozenset[str] | None"


class Target(NamedTuple):
    """A service that receives a share of a route's requests; weights need not sum to 1."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for a host and path prefix are served.

    A route has either `shards`, all of which are queried, or `targets`, one of which is chosen.
    `max_leaves` is the maximum number of leaves of each service that may run one request. A merged
    answer holds the `top` best records and needs answers from at least the share `least` of the
    shards. An empty `regions` allows any region. Requests on a `public` route need no key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_leaves: int
    targets: tuple[Target, ...]
    shards: tuple[str, ...]
    top: int
    least: float
    regions: frozenset[str]
    public: bool = False


class Team(NamedTuple):
    """A team and its keys; a request that carries one of them is the team's.

    `priority` replaces that of the route; None leaves it. An empty `regions` allows any region.
    """

    name: str
    keys: tuple[Sealed[bytes], ...]
    priority: int | None
    regions: frozenset[str]


class ServiceSpec(NamedTuple):
    """Capacity limits of a service's leaves, summed over all nodes.

    `cold_rate` is the maximum calls per second to a cold leaf, or 0 if not limited.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate: float


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's requests and on its read and idle times."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


DEFAULT_CALLER_LIMITS = CallerLimits(
    max_header_bytes=16_384,
    max_body_bytes=262_144,
    header_timeout_s=5.0,
    idle_timeout_s=15.0,
)
