"""The book of all leaves, kept from the registry's listings and changes.

While the store is out nothing leaves the book. Entries may lapse meanwhile, so after its return a
leaf that is missing is dropped only once it has had the time to register again.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.edge.logevents import LeafStanding
from cactussaddle_core.fleet.hints import HintBook
from cactussaddle_core.fleet.hints import Trouble
from cactussaddle_core.fleet.leaf import Leaf
from cactussaddle_core.fleet.model import Standing
from cactussaddle_core.fleet.probeplan import ProbePlan

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.fleet.model import LeafEntry

# Entries that lapsed during an outage are back about two seconds after it.
REJOIN_S = 2.3
# Entries lapse only in an outage that lasts longer: leaves renew them more often than that.
LEAST_OUTAGE_S = 1.5
# An entry removed this soon after an outage may have lapsed in it.
OUTAGE_ECHO_S = 3.0
MAX_NOTED = 200


class Fleet:
    """All leaves by id and by service; `domains_out` are closed for new calls."""

    def __init__(self) -> None:
        self.leaves: dict[str, Leaf] = {}
        self.by_service: dict[str, list[Leaf]] = {}
        self.domains_out: frozenset[str] = frozenset()
        self.loaded = False
        self.hints = HintBook()
        self.probes = ProbePlan()
        self._fallen: list[Leaf] = []
        self._noted: dict[str, tuple[Standing, bool, str]] = {}
        self._store_back_at = -math.inf
        self._store_out = False
        self._confirmed_at = -math.inf

    def of(self, service: str) -> list[Leaf]:
        """Return the leaves of a service, those to be dropped soon included."""
        return self.by_service.get(service, [])

    def store_lost(self, now: float, age_s: float = 0.0) -> None:
        """Take in that the registry can't be read, and was last confirmed `age_s` ago."""
        if not self._store_out:
            self._store_out = True
            self._confirmed_at = now - age_s

    def store_back(self, now: float) -> None:
        """Take in that the registry can be read again."""
        if self._store_out:
            self._store_out = False
            if now - self._confirmed_at >= LEAST_OUTAGE_S:
                self._store_back_at = now

    def listed(self, entries: Iterable[LeafEntry], now: float) -> list[Leaf]:
        """Take in a complete listing; return the leaves that are new starts."""
        found = {entry.leaf: entry for entry in entries}
        started = [self.changed(entry, now) for entry in found.values()]
        for name in [name for name in self.leaves if name not in found]:
            self.removed(name, now)
        self.loaded = True
        return [leaf for leaf in started if leaf is not None]

    def changed(self, entry: LeafEntry, now: float) -> Leaf | None:
        """Take in one entry, new or changed; return the leaf if it is a new start of one."""
        leaf = self.leaves.get(entry.leaf)
        if leaf is not None and _is_older(entry, leaf.entry):
            return None
        if leaf is None or _restarted(leaf.entry, entry):
            if leaf is not None and leaf.broken:
                self._fallen.append(leaf)
            started = Leaf(entry=entry, probes=self.probes, now=now)
            self._put(started)
            return started
        if entry.cold_left_s != leaf.entry.cold_left_s:
            leaf.grew_cold(entry.cold_left_s, now)
        leaf.entry = entry
        leaf.listed = True
        leaf.unlisted_at = math.inf
        return None

    def removed(self, name: str, now: float) -> None:
        """Take in that an entry is gone."""
        leaf = self.leaves.get(name)
        if leaf is None or not leaf.listed:
            return
        leaf.listed = False
        after_outage = self._store_out or now - self._store_back_at < OUTAGE_ECHO_S
        if after_outage and not leaf.entry.draining:
            leaf.unlisted_at = max(now, self._store_back_at + REJOIN_S)
        else:
            leaf.unlisted_at = now

    def sweep(self, now: float) -> list[Leaf]:
        """Drop the leaves whose time to register again is over; return them."""
        dropped = [leaf for leaf in self.leaves.values() if now >= leaf.unlisted_at]
        for leaf in dropped:
            del self.leaves[leaf.name]
            self.by_service[leaf.entry.service].remove(leaf)
        return dropped

    def next_sweep(self) -> float:
        """Return when the next leaf is to be dropped."""
        return min((leaf.unlisted_at for leaf in self.leaves.values()), default=math.inf)

    def suspect(self, leaf: Leaf, standing: Standing, now: float, cause: str) -> None:
        """Avoid a leaf for a while; other nodes are told when it has just gone down."""
        if standing is Standing.DOWN and leaf.standing is not Standing.DOWN:
            self.hints.note(leaf, Trouble.DOWN)
            self._fallen.append(leaf)
        self.note_standing(leaf, cause, now)
        leaf.suspect(standing, now)

    def note_standing(self, leaf: Leaf, cause: str, now: float) -> None:
        """Remember that what is believed of a leaf may change now, and what shows it."""
        known = self._noted.get(leaf.name)
        if known is not None:
            self._noted[leaf.name] = (known[0], known[1], cause)
        elif len(self._noted) < MAX_NOTED:
            self._noted[leaf.name] = (leaf.standing, leaf.is_slow(now), cause)

    def take_fallen(self) -> list[Leaf]:
        """Return the leaves that went down since asked last."""
        fallen, self._fallen = self._fallen, []
        return fallen

    def take_standings(self, now: float) -> list[LeafStanding]:
        """Return what is believed of leaves that has changed since asked last."""
        if not self._noted:
            return []
        noted, self._noted = self._noted, {}
        changes: list[LeafStanding] = []
        for name, (standing, was_slow, cause) in noted.items():
            leaf = self.leaves.get(name)
            if leaf is None:
                continue
            if leaf.standing is not standing or leaf.is_slow(now) is not was_slow:
                changes.append(_standing(leaf, cause, now))
        return changes

    def may_get_calls(self, leaf: Leaf, now: float) -> bool:
        """Return whether new calls may go to a leaf, by the operators, the registry and its address."""
        if leaf.entry.draining or leaf.displaced or now >= leaf.unlisted_at:
            return False
        return leaf.entry.domain not in self.domains_out

    def _put(self, leaf: Leaf) -> None:
        before = self.leaves.get(leaf.name)
        if before is not None:
            self.by_service[before.entry.service].remove(before)
        self.leaves[leaf.name] = leaf
        self.by_service.setdefault(leaf.entry.service, []).append(leaf)


def _standing(leaf: Leaf, cause: str, now: float) -> LeafStanding:
    slow = " and slow" if leaf.is_slow(now) else ""
    return LeafStanding(
        leaf=leaf.name,
        standing=leaf.standing.value + slow,
        cause=cause,
        slowness=round(leaf.slowness(now), 1),
        faults=round(leaf.faults(now), 2),
    )


def _is_older(entry: LeafEntry, known: LeafEntry) -> bool:
    if entry.born_ms != known.born_ms:
        return entry.born_ms < known.born_ms
    return entry.sequence < known.sequence


def _restarted(before: LeafEntry, after: LeafEntry) -> bool:
    moved = (before.host, before.port, before.service) != (after.host, after.port, after.service)
    return moved or after.born_ms != before.born_ms
