"""Computes how many leaves are in service as the planned moves take effect.

Removals count from a move's start and additions from its finish, so the leaves counted are in
service at that time however fast each move proceeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.config.model import MoveKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.model import Leaf
    from cactussaddle_core.config.model import Move

REMOVAL_KINDS = (MoveKind.DOMAIN_OUT, MoveKind.LEAVE)


class Step(NamedTuple):
    """The time a move takes effect, and the number of leaves in service by service from then on."""

    at: float
    move: Move
    in_service: dict[str, int]


class FleetState:
    """The leaves by service and the domains out of service at one point in time."""

    def __init__(self, *, doc: ConfigDoc) -> None:
        self.by_service: dict[str, dict[str, Leaf]] = {
            service["name"]: {} for service in doc["services"]
        }
        self.domains_out: set[str] = set()
        for leaf in doc["leaves"]:
            self.add(leaf)
        self.in_service = {name: self.count(name) for name in self.by_service}

    def add(self, leaf: Leaf) -> None:
        """Add a leaf, or replace the service's leaf of that name."""
        self.by_service.setdefault(leaf["service"], {})[leaf["name"]] = leaf

    def all_leaves(self) -> list[Leaf]:
        """Return every leaf, sorted by name."""
        leaves = [leaf for group in self.by_service.values() for leaf in group.values()]
        return sorted(leaves, key=lambda leaf: leaf["name"])

    def count(self, service: str) -> int:
        """Return how many leaves of a service are in service."""
        leaves = self.by_service[service].values()
        return sum(1 for leaf in leaves if leaf["domain"] not in self.domains_out)

    def apply(self, move: Move) -> None:
        """Apply a completed move and update the counts of leaves in service."""
        for service in self.change(move):
            self.in_service[service] = self.count(service)

    def change(self, move: Move) -> Iterable[str]:
        """Update leaves and domains; return the services affected."""
        target = move["target"]
        kind = move["kind"]
        if kind == MoveKind.DOMAIN_OUT:
            self.domains_out.add(target)
            return self.by_service
        if kind == MoveKind.DOMAIN_IN:
            self.domains_out.discard(target)
            return self.by_service
        if kind == MoveKind.LEAVE:
            return [name for name, group in self.by_service.items() if group.pop(target, None)]
        if kind == MoveKind.VERSION:
            self.drop_old_versions(target, move.get("version", ""))
        for leaf in move.get("leaves", []):
            self.add(leaf)
        return {target, *(leaf["service"] for leaf in move.get("leaves", []))} & set(
            self.by_service
        )

    def drop_old_versions(self, service: str, version: str) -> None:
        """Remove the leaves of a service that run any other version."""
        group = self.by_service.get(service, {})
        self.by_service[service] = {
            name: leaf for name, leaf in group.items() if leaf["version"] == version
        }


def effect_time(move: Move) -> float:
    """Return when a move takes effect, in seconds since the epoch."""
    return move["start"] if move["kind"] in REMOVAL_KINDS else move["finish"]


def effect_order(move: Move) -> tuple[float, bool, str]:
    """Return the sort key by time of effect; at the same time, removals come first."""
    return effect_time(move), move["kind"] not in REMOVAL_KINDS, move["id"]


def timeline(doc: ConfigDoc) -> Iterator[Step]:
    """Yield the counts of leaves in service after each planned move, in order of effect."""
    state = FleetState(doc=doc)
    for move in sorted(doc["moves"], key=effect_order):
        state.apply(move)
        yield Step(effect_time(move), move, dict(state.in_service))
