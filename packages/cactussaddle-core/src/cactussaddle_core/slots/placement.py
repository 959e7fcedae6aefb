"""Planning of the placement: a pure function of the last one and of what is known of the nodes.

Any node may compute and write it. The writer is the live member with the lowest name; another
takes over after a delay in proportion to its rank. Writes are compare-and-swap on the epoch.
"""

from __future__ import annotations

import enum
import math

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

from cactussaddle_core.hashing import hash64
from cactussaddle_core.hashing import rendezvous
from cactussaddle_core.slots.model import Entry
from cactussaddle_core.slots.model import LeafSite
from cactussaddle_core.slots.model import Member
from cactussaddle_core.slots.model import Pending
from cactussaddle_core.slots.model import Placement
from cactussaddle_core.slots.model import Settled
from cactussaddle_core.slots.model import holders

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet


WRITER_STEP_S = 0.5
WRITER_RANKS = 5


def writer_delay_s(node: str, live: AbstractSet[str]) -> float | None:
    """Return how long `node` waits before it writes a needed change; None: it does not write."""
    ranked = sorted(live)[:WRITER_RANKS]
    if node not in ranked:
        return None
    return ranked.index(node) * WRITER_STEP_S


def plan_placement(
    previous: Placement,
    leaves: Mapping[str, LeafSite],
    members: Mapping[str, Member],
    settled: Mapping[str, Settled],
    gone: AbstractSet[tuple[str, int]],
    *,
    leaving: AbstractSet[str],
) -> Placement:
    """Return the next placement, or `previous` itself when nothing has to change.

    `members` are the nodes that are alive and not leaving, `leaving` the names of those that are.
    `settled` holds what each node has said of itself, `gone` the (node, incarnation) pairs that
    surely run nothing any more.

    A holder that is neither alive nor leaving nor gone keeps its half: whoever were given it would
    have to wait until the holder is back or gone. The other holder becomes the owner meanwhile.
    """
    plan = _Plan(previous=previous, leaves=leaves, members=members, leaving=leaving, gone=gone)
    plan.clear_pending(settled)
    plan.repair()
    plan.rebalance()
    return plan.result()


class _Status(enum.Enum):
    """What has become of a holder."""

    LIVE = "live"
    ABSENT = "absent"
    LOST = "lost"


class _Plan:
    """The placement under work."""

    def __init__(
        self,
        *,
        previous: Placement,
        leaves: Mapping[str, LeafSite],
        members: Mapping[str, Member],
        leaving: AbstractSet[str],
        gone: AbstractSet[tuple[str, int]],
    ) -> None:
        self._previous = previous
        self._leaving = leaving
        self._gone = gone
        self._epoch = previous["epoch"] + 1
        self._leaves = leaves
        self._members = members
        self._entries: dict[str, Entry] = {
            leaf: {
                "owner": entry["owner"],
                "deputy": entry["deputy"],
                "owner_half": entry["owner_half"],
                "pending": list(entry["pending"]),
            }
            for leaf, entry in previous["entries"].items()
        }
        self._order = sorted(leaves)
        self._ring_key = {name: hash64("ring", name) for name in members}
        self._ring = sorted(members, key=lambda name: (self._ring_key[name], name))
        self._in_domain: dict[str, list[str]] = defaultdict(list)
        for name in self._ring:
            self._in_domain[members[name]["domain"]].append(name)
        self._cap = self._caps()
        self._load: Counter[str] = Counter()
        self._by_service: dict[str, Counter[str]] = defaultdict(Counter)
        self._changed: set[str] = set()
        for leaf in self._order:
            entry = self._entries.get(leaf)
            if entry is not None and self._status(entry["owner"]) is _Status.LIVE:
                self._count(leaf, entry["owner"], 1)

    def clear_pending(self, settled: Mapping[str, Settled]) -> None:
        """Drop each pending node that uses the half no more."""
        for entry in self._entries.values():
            entry["pending"] = [
                item
                for item in entry["pending"]
                if not _is_clear(item, settled, self._gone) and not self._is_holder(entry, item)
            ]

    def repair(self) -> None:
        """Replace the holders that are not live, and place the leaves that are new."""
        for leaf in sorted(self._entries.keys() - self._leaves.keys()):
            self._remove(leaf)
        if not self._members:
            return
        for leaf in self._order:
            if leaf not in self._entries:
                self._entries[leaf] = {"owner": "", "deputy": "", "owner_half": 0, "pending": []}
            self._repair_leaf(leaf, self._entries[leaf])

    def rebalance(self) -> None:
        """Move one half at a time away from owners that are out of place or hold too many."""
        live = {name for name in self._members if self._status(name) is _Status.LIVE}
        busy = {e["owner"] for e in self._entries.values() if e["pending"]}
        for leaf in self._order:
            entry = self._entries.get(leaf)
            if entry is None or entry["pending"] or leaf in self._changed:
                continue
            if entry["owner"] not in busy and live.issuperset(holders(entry)):
                self._rebalance_leaf(leaf, entry)

    def result(self) -> Placement:
        """Return the new placement, or the previous one when they are alike."""
        entries = dict(sorted(self._entries.items()))
        members = dict(sorted((self._absent_holders() | dict(self._members)).items()))
        if entries == self._previous["entries"] and members == self._previous["members"]:
            return self._previous
        return {"epoch": self._epoch, "members": members, "entries": entries}

    def _caps(self) -> dict[str, int]:
        total: Counter[str] = Counter(site.domain for site in self._leaves.values())
        homeless = sum(n for domain, n in total.items() if domain not in self._in_domain)
        shared = math.ceil(homeless / max(1, len(self._ring)))
        return {
            name: shared + math.ceil(total[domain] / len(names))
            for domain, names in self._in_domain.items()
            for name in names
        }

    def _status(self, name: str) -> _Status:
        """Return what has become of a holder in the previous placement."""
        then = self._previous["members"].get(name)
        if then is None:
            return _Status.LOST
        now = self._members.get(name)
        if now is not None:
            same = now["incarnation"] == then["incarnation"]
            return _Status.LIVE if same else _Status.LOST
        if name in self._leaving or (name, then["incarnation"]) in self._gone:
            return _Status.LOST
        return _Status.ABSENT

    def _absent_holders(self) -> dict[str, Member]:
        named = {name for entry in self._entries.values() for name in holders(entry)}
        missing = named - self._members.keys() - {""}
        return {name: self._previous["members"][name] for name in missing}

    def _is_holder(self, entry: Entry, item: Pending) -> bool:
        name = item["node"]
        if holders(entry)[item["half"]] != name or self._status(name) is not _Status.LIVE:
            return False
        return self._members[name]["incarnation"] == item["incarnation"]

    def _count(self, leaf: str, owner: str, step: int) -> None:
        self._load[owner] += step
        self._by_service[self._leaves[leaf].service][owner] += step

    def _group(self, leaf: str) -> list[str]:
        return self._in_domain.get(self._leaves[leaf].domain) or self._ring

    def _fits(self, leaf: str, name: str) -> bool:
        return self._load[name] < self._cap[name] and not self._by_service[
            self._leaves[leaf].service
        ].get(name)

    def _choose_owner(self, leaf: str) -> str:
        owned = self._by_service[self._leaves[leaf].service]
        ranked = rendezvous(leaf, self._group(leaf))
        return min(
            ranked, key=lambda name: (owned.get(name, 0), self._load[name] >= self._cap[name])
        )

    def _choose_deputy(self, leaf: str, owner: str) -> str:
        group = [name for name in self._group(leaf) if name != owner]
        group = group or [name for name in self._ring if name != owner]
        if not group:
            return owner
        after = [name for name in group if self._ring_key[name] > self._ring_key[owner]]
        return after[0] if after else group[0]

    def _lose(self, leaf: str, half: int) -> None:
        """Record that the holder of `half` in the previous placement may still use it."""
        entry = self._entries[leaf]
        name = holders(entry)[half]
        if not name:
            return
        then = self._previous["members"][name]
        self._changed.add(leaf)
        if (name, then["incarnation"]) in self._gone:
            return
        others = [p for p in entry["pending"] if (p["node"], p["half"]) != (name, half)]
        same = [p for p in entry["pending"] if (p["node"], p["half"]) == (name, half)]
        older = [p for p in same if p["incarnation"] != then["incarnation"]]
        entry["pending"] = [
            *others,
            *older,
            {
                "node": name,
                "incarnation": then["incarnation"],
                "address": then["address"],
                "epoch": self._epoch,
                "half": half,
            },
        ]

    def _remove(self, leaf: str) -> None:
        entry = self._entries[leaf]
        if entry["owner"]:
            self._lose(leaf, 0)
            self._lose(leaf, 1)
            entry["owner"] = entry["deputy"] = ""
        if not entry["pending"]:
            del self._entries[leaf]

    def _repair_leaf(self, leaf: str, entry: Entry) -> None:
        owner, deputy = self._status(entry["owner"]), self._status(entry["deputy"])
        if owner is _Status.LIVE and deputy is _Status.LIVE:
            if self._deputy_is_misplaced(leaf, entry):
                self._replace_deputy(leaf, entry, self._choose_deputy(leaf, entry["owner"]))
            return
        if owner is not _Status.LIVE and deputy is _Status.LIVE:
            self._swap(leaf, entry)
            owner, deputy = deputy, owner
        if owner is _Status.LOST:
            self._lose(leaf, entry["owner_half"])
            entry["owner"] = self._choose_owner(leaf)
            self._count(leaf, entry["owner"], 1)
        if deputy is _Status.LOST:
            chosen = self._choose_owner(leaf) if owner is _Status.ABSENT else ""
            self._replace_deputy(leaf, entry, chosen or self._choose_deputy(leaf, entry["owner"]))
            if chosen:
                self._swap(leaf, entry)

    def _swap(self, leaf: str, entry: Entry) -> None:
        """Have the two holders change roles; each keeps its half."""
        entry["owner"], entry["deputy"] = entry["deputy"], entry["owner"]
        entry["owner_half"] = 1 - entry["owner_half"]
        self._count(leaf, entry["owner"], 1)
        self._changed.add(leaf)

    def _deputy_is_misplaced(self, leaf: str, entry: Entry) -> bool:
        if entry["pending"]:
            return False
        if entry["deputy"] == entry["owner"]:
            return len(self._members) > 1
        group = self._group(leaf)
        spare = any(name != entry["owner"] for name in group)
        return entry["owner"] in group and entry["deputy"] not in group and spare

    def _replace_deputy(self, leaf: str, entry: Entry, deputy: str) -> None:
        self._lose(leaf, 1 - entry["owner_half"])
        entry["deputy"] = deputy

    def _rebalance_leaf(self, leaf: str, entry: Entry) -> None:
        owner = entry["owner"]
        self._count(leaf, owner, -1)
        group = self._group(leaf)
        target = owner
        if owner not in group or not self._fits(leaf, owner):
            if entry["deputy"] in group and self._fits(leaf, entry["deputy"]):
                target = entry["deputy"]
            else:
                fitting = [name for name in group if self._fits(leaf, name)]
                spare = owner if owner in group else self._choose_owner(leaf)
                target = rendezvous(leaf, fitting)[0] if fitting else spare
        self._count(leaf, target, 1)
        if target == owner:
            return
        if target == entry["deputy"]:
            self._count(leaf, target, -1)
            self._swap(leaf, entry)
        else:
            self._replace_deputy(leaf, entry, target)


def _is_clear(
    item: Pending, settled: Mapping[str, Settled], gone: AbstractSet[tuple[str, int]]
) -> bool:
    if (item["node"], item["incarnation"]) in gone:
        return True
    said = settled.get(item["node"])
    if said is None or said.incarnation != item["incarnation"]:
        return False
    return said.epoch >= item["epoch"]
