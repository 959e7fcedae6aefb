"""The rights that a placement gives to one node, and which of them hold already."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.slots.clearance import Clearance
from cactussaddle_core.slots.clearance import named_incarnations
from cactussaddle_core.slots.model import empty_placement
from cactussaddle_core.slots.model import half_size
from cactussaddle_core.slots.model import holders

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactussaddle_core.slots.model import Entry
    from cactussaddle_core.slots.model import Pending
    from cactussaddle_core.slots.model import Placement

CONNECTION_SHARES = 4


class Rights:
    """The placement applied by one incarnation of a node, and what it heard of the others."""

    def __init__(self, *, node: str, incarnation: int, grace_s: float) -> None:
        self.node = node
        self.incarnation = incarnation
        self.clearance = Clearance(grace_s=grace_s)
        self.placement: Placement = empty_placement()
        self.named: list[str] = []
        self._slots: dict[str, int] = {}
        self._connections: dict[str, int] = {}
        self._pending: list[Pending] = []
        self._awaited = False
        self._waits = False
        self._seen: dict[str, tuple[int, str]] = {}

    @property
    def epoch(self) -> int:
        """The epoch of the placement that is applied."""
        return self.placement["epoch"]

    def apply(
        self,
        placement: Placement,
        slots: Mapping[str, int],
        connections: Mapping[str, int],
        now: float,
    ) -> None:
        """Take over a placement and the limits of each leaf by the configuration."""
        self.placement = placement
        self._slots = dict(slots)
        self._connections = dict(connections)
        entries = placement["entries"]
        self.named = [leaf for leaf, e in entries.items() if self.node in (e["owner"], e["deputy"])]
        self._pending = [item for entry in entries.values() for item in entry["pending"]]
        self._awaited = any(self._is_own(item) for item in self._pending)
        self._waits = any(entries[leaf]["pending"] for leaf in self.named)
        self.clearance.forget_except(named_incarnations(placement))
        for peer in self._seen:
            self._note_replaced(peer, now)

    def heard(
        self, peer: str, incarnation: int, settled_epoch: int, address: str, now: float
    ) -> None:
        """Note a peer's word on itself; `address` is empty where it is not known for sure."""
        self.clearance.heard(peer, incarnation, settled_epoch)
        if address and incarnation > self._seen.get(peer, (-1, ""))[0]:
            self._seen[peer] = (incarnation, address)
            self._note_replaced(peer, now)

    def is_member(self) -> bool:
        """Return whether the placement names this incarnation."""
        return self.names(self.node, self.incarnation)

    def names(self, node: str, incarnation: int) -> bool:
        """Return whether the placement names this incarnation of a node."""
        member = self.placement["members"].get(node)
        return member is not None and member["incarnation"] == incarnation

    def awaited(self) -> bool:
        """Return whether some entry waits for this node to settle."""
        return self._awaited

    def waits(self) -> bool:
        """Return whether this node waits for others to let go of a leaf that it holds."""
        return self._waits

    def roles(self, leaf: str) -> tuple[str, str]:
        """Return the owner and the deputy of a leaf; empty names where there are none."""
        entry = self.placement["entries"].get(leaf)
        return ("", "") if entry is None else (entry["owner"], entry["deputy"])

    def total(self, leaf: str) -> int:
        """Return the slots of a leaf."""
        return self._slots.get(leaf, 0)

    def halves(self, leaf: str, now: float) -> list[int]:
        """Return the halves that this node holds and that nobody else may still be using."""
        entry = self.placement["entries"].get(leaf)
        if entry is None or not self.is_member():
            return []
        return [
            half
            for half, holder in enumerate(holders(entry))
            if holder == self.node and self._is_free(entry, half, now)
        ]

    def capacity(self, leaf: str, now: float) -> int:
        """Return the slots of the halves that this node may use."""
        return sum(half_size(self.total(leaf), half) for half in self.halves(leaf, now))

    def connections(self, leaf: str, now: float) -> int:
        """Return how many connections this node may have open to a leaf."""
        if not self.halves(leaf, now):
            return 0
        return self._connections.get(leaf, 0) // CONNECTION_SHARES

    def has_settled_here(self, node: str, incarnation: int) -> bool:
        """Return whether a node has said that it has settled at the very epoch applied here."""
        said = self.clearance.settled_of(node)
        return said is not None and tuple(said) == (incarnation, self.epoch)

    def _is_free(self, entry: Entry, half: int, now: float) -> bool:
        return all(
            self._is_own(item) or self.clearance.is_clear(item, now)
            for item in entry["pending"]
            if item["half"] == half
        )

    def _is_own(self, item: Pending) -> bool:
        return (item["node"], item["incarnation"]) == (self.node, self.incarnation)

    def _note_replaced(self, peer: str, now: float) -> None:
        """Note the incarnations that the one now seen at the same address has replaced."""
        incarnation, address = self._seen[peer]
        member = self.placement["members"].get(peer)
        older: set[int] = set()
        if member is not None and member["address"] == address:
            older.add(member["incarnation"])
        for item in self._pending:
            if (item["node"], item["address"]) == (peer, address):
                older.add(item["incarnation"])
        for replaced in older:
            if replaced < incarnation:
                self.clearance.gone(peer, replaced, now)
