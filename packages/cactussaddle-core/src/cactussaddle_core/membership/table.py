"""The table of members: the newest record of each, and the records that must still be spread."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.hashing import hash64
from cactussaddle_core.membership.model import MemberRecord
from cactussaddle_core.membership.model import NodeState

if TYPE_CHECKING:
    from collections.abc import Iterator

REPEAT = 2


class MemberTable:
    """The newest record of every other node."""

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._sends_left: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._digest = 0

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    @property
    def digest(self) -> int:
        """Hash over the records of members that are not dead."""
        return self._digest

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a node."""
        return self._records.get(name)

    def is_dropped(self, name: str, incarnation: int) -> bool:
        """Return whether the host of this incarnation was dropped."""
        return incarnation <= self._dropped.get(name, -1)

    def accepts(self, record: MemberRecord) -> bool:
        """Return whether the record is newer than what is known."""
        if self.is_dropped(record.name, record.incarnation):
            return False
        known = self._records.get(record.name)
        if known is None:
            return record.state != NodeState.DEAD
        return record.rank() > known.rank()

    def put(self, record: MemberRecord, *, spread: bool) -> None:
        """Store a record; with `spread`, it is sent to other nodes for a while."""
        self._unhash(record.name)
        self._records[record.name] = record
        self._digest ^= record_hash(record)
        self._sends_left.pop(record.name, None)
        if spread:
            self._sends_left[record.name] = REPEAT * math.ceil(math.log2(len(self._records) + 2))

    def drop(self, name: str) -> MemberRecord | None:
        """Remove a node whose host is gone permanently, with all its incarnations so far."""
        self._unhash(name)
        record = self._records.pop(name, None)
        self._sends_left.pop(name, None)
        if record is not None:
            self._dropped[name] = max(record.incarnation, self._dropped.get(name, -1))
        return record

    def forget(self, name: str) -> None:
        """Remove a dead node."""
        self._unhash(name)
        self._records.pop(name, None)
        self._sends_left.pop(name, None)

    def take_updates(self, limit: int, about: str = "") -> tuple[MemberRecord, ...]:
        """Return up to `limit` records to send, the least often sent first.

        A suspicion of the receiver itself, given by `about`, is always included.
        """
        chosen: list[MemberRecord] = []
        known = self._records.get(about)
        if known is not None and known.state >= NodeState.SUSPECT:
            chosen.append(known)
        ranked = sorted(self._sends_left, key=lambda name: -self._sends_left[name])
        for name in ranked[: limit - len(chosen)]:
            if name != about:
                chosen.append(self._records[name])
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        return tuple(chosen)

    def _unhash(self, name: str) -> None:
        known = self._records.get(name)
        if known is not None:
            self._digest ^= record_hash(known)


def record_hash(record: MemberRecord) -> int:
    """Return a record's contribution to the digest; 0 for a dead node."""
    if record.state == NodeState.DEAD:
        return 0
    rank = f"{record.incarnation}/{record.counter}/{int(record.state)}"
    return hash64(record.name, rank)
