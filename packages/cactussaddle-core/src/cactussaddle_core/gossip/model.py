"""Entries of soft state, the message that spreads them, and the effects of gossip."""

from __future__ import annotations

from typing import NamedTuple

ITEM_OVERHEAD_BYTES = 16
STAMP_OVERHEAD_BYTES = 14
MESSAGE_OVERHEAD_BYTES = 24
BUCKET_BYTES = 9


class Stamp(NamedTuple):
    """Identifies one version of an entry; the one with the higher (incarnation, counter) is newer."""

    origin: str
    key: str
    incarnation: int
    counter: int

    def version(self) -> tuple[int, int]:
        """Return the sort key by which the newer of two versions is determined."""
        return self.incarnation, self.counter


class Item(NamedTuple):
    """An entry with its value; an urgent one is passed on at once."""

    stamp: Stamp
    value: bytes
    urgent: bool


class GossipMessage(NamedTuple):
    """A message from one node to another.

    `config_revision` and `placement_epoch` are the newest that the sender has. `root` is the
    digest of its entries. A repair takes three steps: `buckets` holds the digest of each bucket;
    `stamps` lists the entries of the buckets in `listed`, which differ; `wanted` names the entries
    that the sender lacks.
    """

    config_revision: int
    placement_epoch: int
    root: int
    items: tuple[Item, ...] = ()
    buckets: tuple[int, ...] = ()
    listed: tuple[int, ...] = ()
    stamps: tuple[Stamp, ...] = ()
    wanted: tuple[Stamp, ...] = ()


class Send(NamedTuple):
    """Effect: send `message` to the node `to`."""

    to: str
    message: GossipMessage


class Changed(NamedTuple):
    """Effect: an entry of `origin` is new; a value of None means that it was removed."""

    origin: str
    key: str
    value: bytes | None


class FetchConfig(NamedTuple):
    """Effect: ask `peer` for the configuration, of which it has at least `revision`."""

    peer: str
    revision: int


class FetchPlacement(NamedTuple):
    """Effect: ask `peer` for the placement, of which it has at least `epoch`."""

    peer: str
    epoch: int


class Received(NamedTuple):
    """The result of a message."""

    sends: list[Send]
    changes: list[Changed]
    fetches: list[FetchConfig | FetchPlacement]


def item_bytes(item: Item) -> int:
    """Return the approximate size of an item in a message, in bytes."""
    return stamp_bytes(item.stamp) + len(item.value) + ITEM_OVERHEAD_BYTES


def stamp_bytes(stamp: Stamp) -> int:
    """Return the approximate size of a stamp in a message, in bytes."""
    return len(stamp.origin) + len(stamp.key) + STAMP_OVERHEAD_BYTES


def message_bytes(message: GossipMessage) -> int:
    """Return the approximate size of a message, in bytes."""
    return (
        MESSAGE_OVERHEAD_BYTES
        + sum(map(item_bytes, message.items))
        + sum(map(stamp_bytes, message.stamps))
        + sum(map(stamp_bytes, message.wanted))
        + BUCKET_BYTES * len(message.buckets)
        + 2 * len(message.listed)
    )
