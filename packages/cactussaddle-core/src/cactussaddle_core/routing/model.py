"""Routes, services and the limits on what callers send, as one version of the routing table."""

from __future__ import annotations

from typing import NamedTuple


class Target(NamedTuple):
    """A service that takes a share of a route's requests; weights need not sum to 1."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host and path prefix are served.

    A route names either `shards`, all of which are asked, or `targets`, of which one is. `max_leaves`
    is how many leaves of each service may run one request. `top` records go into a merged answer,
    which needs the share `least` of the shards. Empty `regions` allow any region.
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


class ServiceSpec(NamedTuple):
    """What a service's leaves bear, over all callers together.

    `cold_rate` is the calls a second that a cold leaf bears, 0 where none is stated.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate: float


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

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
