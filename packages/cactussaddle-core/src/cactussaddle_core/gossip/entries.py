"""The entries that a node knows, with digests by bucket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.gossip.model import Changed
from cactussaddle_core.gossip.model import Item
from cactussaddle_core.gossip.model import Stamp
from cactussaddle_core.hashing import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable

BUCKETS = 64


class Entries:
    """Newest version of each entry; entries of an origin's older incarnations are removed."""

    def __init__(self) -> None:
        self._by_origin: dict[str, dict[str, Item]] = {}
        self._incarnation: dict[str, int] = {}
        self._forgotten: dict[str, int] = {}
        self._members: list[set[tuple[str, str]]] = [set() for _ in range(BUCKETS)]
        self.buckets: list[int] = [0] * BUCKETS

    @property
    def root(self) -> int:
        """Digest of all entries."""
        root = 0
        for digest in self.buckets:
            root ^= digest
        return root

    def origins(self) -> list[str]:
        """Return the origins that have entries."""
        return list(self._by_origin)

    def get(self, origin: str, key: str) -> Item | None:
        """Return an entry."""
        return self._by_origin.get(origin, {}).get(key)

    def with_prefix(self, prefix: str) -> list[Item]:
        """Return the entries whose key starts with `prefix`, ordered by origin and key."""
        return [
            entries[key]
            for _, entries in sorted(self._by_origin.items())
            for key in sorted(entries)
            if key.startswith(prefix)
        ]

    def is_newer(self, stamp: Stamp) -> bool:
        """Return whether the version is newer than the known version of its entry."""
        if stamp.incarnation <= self._forgotten.get(stamp.origin, -1):
            return False
        if stamp.incarnation < self._incarnation.get(stamp.origin, 0):
            return False
        known = self.get(stamp.origin, stamp.key)
        return known is None or stamp.version() > known.stamp.version()

    def put(self, item: Item) -> list[Changed]:
        """Store a newer version; return the changes."""
        stamp = item.stamp
        changes: list[Changed] = []
        if stamp.incarnation > self._incarnation.get(stamp.origin, 0):
            changes = self._remove_all(stamp.origin)
            self._incarnation[stamp.origin] = stamp.incarnation
        self._toggle(stamp.origin, stamp.key)
        self._by_origin.setdefault(stamp.origin, {})[stamp.key] = item
        self._toggle(stamp.origin, stamp.key)
        self._members[bucket_of(stamp)].add((stamp.origin, stamp.key))
        changes = [change for change in changes if change.key != stamp.key]
        return [*changes, Changed(stamp.origin, stamp.key, item.value)]

    def forget(self, origin: str) -> list[Changed]:
        """Remove the entries of all incarnations of a departed origin."""
        incarnation = self._incarnation.pop(origin, 0)
        self._forgotten[origin] = max(incarnation, self._forgotten.get(origin, -1))
        return self._remove_all(origin)

    def stamps(self, bucket: int) -> list[Stamp]:
        """Return the versions of the entries in one bucket."""
        return [self._by_origin[o][k].stamp for o, k in sorted(self._members[bucket])]

    def buckets_without_others(self, node: str) -> list[int]:
        """Return the buckets that hold entries of no node but this one."""
        return [
            bucket
            for bucket, members in enumerate(self._members)
            if all(origin == node for origin, _ in members)
        ]

    def missing_from(self, listed: Iterable[int], stamps: Iterable[Stamp]) -> list[Item]:
        """Return the entries of the listed buckets that are newer here than in `stamps`."""
        theirs = {(s.origin, s.key): s.version() for s in stamps}
        mine = (stamp for bucket in listed for stamp in self.stamps(bucket))
        newer = [s for s in mine if s.version() > theirs.get((s.origin, s.key), (-1, -1))]
        return [self._by_origin[s.origin][s.key] for s in newer]

    def _remove_all(self, origin: str) -> list[Changed]:
        removed = self._by_origin.get(origin, {})
        for key, item in removed.items():
            self._toggle(origin, key)
            self._members[bucket_of(item.stamp)].discard((origin, key))
        self._by_origin.pop(origin, None)
        return [Changed(origin, key, None) for key in sorted(removed)]

    def _toggle(self, origin: str, key: str) -> None:
        item = self.get(origin, key)
        if item is not None:
            stamp = item.stamp
            self.buckets[bucket_of(stamp)] ^= hash64(origin, key, str(stamp.version()))


def bucket_of(stamp: Stamp) -> int:
    """Return the bucket of an entry."""
    return hash64(stamp.origin, stamp.key) % BUCKETS
