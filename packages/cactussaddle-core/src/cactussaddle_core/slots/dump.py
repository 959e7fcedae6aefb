"""The state of the book for operators to read."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.slots.book import SlotBook


class LeafDump(NamedTuple):
    """What this node holds of one leaf.

    `waits_for` names the nodes that may still use a right which they lost.
    """

    leaf: str
    owner: str
    deputy: str
    usable: int
    own_in_use: int
    borrowed_in_use: int
    lent: int
    connections: int
    unsettled_since: int | None
    waits_for: list[str]


def dump_leaves(book: SlotBook, now: float) -> list[LeafDump]:
    """Return the state of each leaf that this node holds or still uses."""
    rights = book.rights
    leaves = sorted({*rights.named, *book.records})
    return [_dump(book, leaf, now) for leaf in leaves]


def _dump(book: SlotBook, leaf: str, now: float) -> LeafDump:
    owner, deputy = book.rights.roles(leaf)
    record = book.record(leaf)
    entry = book.placement["entries"].get(leaf)
    return LeafDump(
        leaf=leaf,
        owner=owner,
        deputy=deputy,
        usable=book.usable(leaf, now),
        own_in_use=record.own_in_use,
        borrowed_in_use=record.borrowed_in_use,
        lent=record.lent(now),
        connections=record.connections,
        unsettled_since=record.unsettled_since,
        waits_for=sorted({item["node"] for item in entry["pending"]}) if entry else [],
    )
