"""Typed configuration model.

The stored document is a `ConfigDoc` as JSON. `Config` is its indexed form.
"""

from __future__ import annotations

import enum

from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec

from cactussaddle_core.exceptions import ConfigError


class MoveKind(enum.StrEnum):
    """Kinds of planned moves."""

    DOMAIN_OUT = "domain-out"
    DOMAIN_IN = "domain-in"
    PLACE = "place"
    LEAVE = "leave"
    VERSION = "version"


class MoveState(enum.StrEnum):
    """States of a planned move; the last two are final and mutually exclusive."""

    PENDING = "pending"
    UNDER_WAY = "under way"
    DONE = "done"
    TAKEN_BACK = "taken back"


class Domain(TypedDict):
    """A failure domain."""

    name: str
    region: str


class Service(TypedDict):
    """A service and the capacity of each of its leaves.

    `slots` is the number of calls a warm leaf runs at once, `cold_slots` the number just after a
    cold start, `connections` its limit of open connections, `connect_ms` the cost of opening one.
    """

    name: str
    slots: int
    connections: int
    connect_ms: float
    cold_slots: NotRequired[int]


class Leaf(TypedDict):
    """A backend server: `address` is `host:port`, `version` the release it runs."""

    name: str
    service: str
    domain: str
    address: str
    version: str


class Route(TypedDict):
    """A named destination of callers' queries.

    A query is fanned out to every service in `services`. `priority` 0 is served first.
    `deadline_ms` and `min_coverage` (0 to 1) are the defaults for callers that specify none.
    """

    name: str
    services: list[str]
    idempotent: bool
    priority: int
    deadline_ms: int
    min_coverage: float


class Move(TypedDict):
    """A planned move.

    `target` is a domain, service or leaf name. `start` and `finish` are seconds since the epoch.
    `version` is the new release of a version move; `leaves` are the leaves that a move adds.
    """

    id: str
    kind: str
    target: str
    start: float
    finish: float
    version: NotRequired[str]
    leaves: NotRequired[list[Leaf]]


class ConfigDoc(TypedDict):
    """The stored document; `change_id` identifies the write that created this revision."""

    revision: int
    change_id: str
    domains: list[Domain]
    services: list[Service]
    leaves: list[Leaf]
    routes: list[Route]
    moves: list[Move]


class Config(NamedTuple):
    """The configuration in force, indexed by name."""

    revision: int
    change_id: str
    domains: dict[str, Domain]
    services: dict[str, Service]
    leaves: dict[str, Leaf]
    routes: dict[str, Route]
    moves: dict[str, Move]
    leaves_by_service: dict[str, tuple[str, ...]]


EMPTY_CONFIG = Config(
    revision=0,
    change_id="",
    domains={},
    services={},
    leaves={},
    routes={},
    moves={},
    leaves_by_service={},
)


def decode_doc(data: bytes) -> ConfigDoc:
    """Decode a stored document; raise `ConfigError` with the path of a malformed key."""
    try:
        return msgspec.json.decode(data, type=ConfigDoc)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise ConfigError(str(exc)) from exc


def encode_doc(doc: ConfigDoc) -> bytes:
    """Encode a document for the store."""
    return msgspec.json.encode(doc)


def build_config(doc: ConfigDoc) -> Config:
    """Build the indexed configuration from a validated document."""
    by_service: dict[str, list[str]] = {service["name"]: [] for service in doc["services"]}
    for leaf in doc["leaves"]:
        by_service.setdefault(leaf["service"], []).append(leaf["name"])
    return Config(
        revision=doc["revision"],
        change_id=doc["change_id"],
        domains={domain["name"]: domain for domain in doc["domains"]},
        services={service["name"]: service for service in doc["services"]},
        leaves={leaf["name"]: leaf for leaf in doc["leaves"]},
        routes={route["name"]: route for route in doc["routes"]},
        moves={move["id"]: move for move in doc["moves"]},
        leaves_by_service={name: tuple(sorted(names)) for name, names in by_service.items()},
    )
