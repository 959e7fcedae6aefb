"""Types of the placement as it is stored, and of its changes."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypedDict

from cactussaddle_core.changes import diff_items
from cactussaddle_core.changes import patch_items


class Member(TypedDict):
    """A node as the placement names it."""

    incarnation: int
    address: str
    domain: str


class Pending(TypedDict):
    """A node that lost `half` of a leaf at `epoch` and may still be using it."""

    node: str
    incarnation: int
    address: str
    epoch: int
    half: int


class Entry(TypedDict):
    """Who holds a leaf's slots.

    Half 0 is the larger half, half 1 the smaller. The owner holds half `owner_half`, the deputy
    the other one; a single node may hold both. A removed leaf keeps an entry with empty names
    while `pending` is not empty.
    """

    owner: str
    deputy: str
    owner_half: int
    pending: list[Pending]


class Placement(TypedDict):
    """The table in the store; `epoch` grows by one at each accepted write."""

    epoch: int
    members: dict[str, Member]
    entries: dict[str, Entry]


class LeafSite(NamedTuple):
    """What the planner needs to know of a leaf."""

    service: str
    domain: str


class Settled(NamedTuple):
    """The newest epoch for which this incarnation of a node uses no older right."""

    incarnation: int
    epoch: int


class PlacementDelta(NamedTuple):
    """What changed from `base` to `epoch`; an entry or member of None was removed."""

    base: int
    epoch: int
    members: dict[str, Member | None]
    entries: dict[str, Entry | None]


def empty_placement() -> Placement:
    """Return the placement before the first write."""
    return {"epoch": 0, "members": {}, "entries": {}}


def holders(entry: Entry) -> tuple[str, str]:
    """Return the holders of half 0 and half 1."""
    if entry["owner_half"] == 0:
        return entry["owner"], entry["deputy"]
    return entry["deputy"], entry["owner"]


def half_size(total: int, half: int) -> int:
    """Return how many of `total` belong to `half`: the larger part to half 0."""
    return (total + 1) // 2 if half == 0 else total // 2


def diff_placement(old: Placement, new: Placement) -> PlacementDelta:
    """Return what turns `old` into `new`."""
    return PlacementDelta(
        base=old["epoch"],
        epoch=new["epoch"],
        members=diff_items(old["members"], new["members"]),
        entries=diff_items(old["entries"], new["entries"]),
    )


def patch_placement(old: Placement, delta: PlacementDelta) -> Placement | None:
    """Return `old` with the delta applied, or None when it starts from another epoch."""
    if old["epoch"] != delta.base:
        return None
    return {
        "epoch": delta.epoch,
        "members": patch_items(old["members"], delta.members),
        "entries": patch_items(old["entries"], delta.entries),
    }
