"""Tracks the leaves of all services from registry listings and watch events.

Registry entries may expire during an outage of the store, so once it is back a missing leaf is dropped
only after it has had time to register again.
"""

from __future__ import annotations

import math

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.edge.logevents import LeafLimited
from cactussaddle_core.edge.logevents import LeafPaused
from cactussaddle_core.edge.logevents import LeafStanding
from cactussaddle_core.fleet.hints import HintBuffer
from cactussaddle_core.fleet.hints import HintKind
from cactussaddle_core.fleet.hints import LeavingNote
from cactussaddle_core.fleet.leaf import Leaf
from cactussaddle_core.fleet.model import NO_NOTICE
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.fleet.pace import Aging
from cactussaddle_core.fleet.probeplan import ProbePlan
from cactussaddle_core.limits.leaflimit import LimitNote

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.fleet.model import LeafEntry
    from cactussaddle_core.fleet.model import LeafNotice
    from cactussaddle_core.fleet.model import Load
    from cactussaddle_core.limits.cold import ColdMeter

# Leaves whose entries expired during an outage register again within about two seconds of its end.
REREGISTRATION_S = 2.3
MAX_TRACKED = 200
# Longer pauses than this are kept in part: a leaf that asks for days can't be meant.
MAX_PAUSE_S = 60.0
# Leaves that said that they were leaving, remembered in case an old listing brings them back.
MAX_LEFT = 1024
# A limit holds for as long as answers name it; nodes tell each other what they were answered.
LIMIT_REFRESH_S = 2.0
LIMIT_VALID_S = 8.0
# Notes in one message to other nodes.
MAX_NOTES = 64


class DownLeaf(NamedTuple):
    """A leaf that went down; `ended` if the registry shows that this start of it is over."""

    leaf: Leaf
    ended: bool


class Fleet:
    """All leaves, indexed by id and by service; `limited` holds those that name a limit.

    Leaves in the failure domains of `domains_out` get no new calls. `aging` learns how fast load reports
    age; `has_paces` is set once any leaf has reported the pace of its host.
    """

    def __init__(self) -> None:
        self.leaves: dict[str, Leaf] = {}
        self.by_service: dict[str, list[Leaf]] = {}
        self.domains_out: frozenset[str] = frozenset()
        self.loaded = False
        self.hints = HintBuffer()
        self.probes = ProbePlan()
        self.aging = Aging()
        self.has_paces = False
        self._newly_down: list[DownLeaf] = []
        self.limited: dict[str, Leaf] = {}
        self._limit_notes: dict[str, LimitNote] = {}
        self._leaving_notes: dict[str, LeavingNote] = {}
        self._newly_leaving: list[str] = []
        self._newly_paused: dict[str, LeafPaused] = {}
        self._left: OrderedDict[str, int] = OrderedDict()
        self._limit_changes: dict[str, LeafLimited] = {}
        self._tracked: dict[str, tuple[Availability, bool, str]] = {}
        self._outage_ended_at = -math.inf
        # Those of leaves that were dropped, in case they come back.
        self._dropped_meters: dict[str, ColdMeter] = {}

    def leaves_of(self, service: str) -> list[Leaf]:
        """Return the leaves of a service, including those about to be dropped."""
        return self.by_service.get(service, [])

    def load_reported(self, leaf: Leaf, load: Load, now: float) -> None:
        """Apply a leaf's own report of its load."""
        leaf.report_load(load, self.aging, now)
        self.has_paces = self.has_paces or load.pace is not None

    def outage_ended(self, at: float) -> None:
        """Record when the last known outage of the store ended."""
        self._outage_ended_at = at

    def apply_listing(self, entries: Iterable[LeafEntry], now: float) -> list[Leaf]:
        """Apply a complete listing of the registry; return the leaves that have started since."""
        found = {entry.leaf: entry for entry in entries}
        started = [self.apply_entry(entry, now) for entry in found.values()]
        for name in [name for name in self.leaves if name not in found]:
            self.remove_entry(name, now)
        self.loaded = True
        return [leaf for leaf in started if leaf is not None]

    def apply_entry(self, entry: LeafEntry, now: float) -> Leaf | None:
        """Apply a new or changed entry; return the leaf if it has just started or restarted."""
        leaf = self.leaves.get(entry.leaf)
        if leaf is not None and _is_older(entry, leaf.entry):
            return None
        if leaf is None or _restarted(leaf.entry, entry):
            if leaf is not None:
                self._newly_down.append(DownLeaf(leaf, ended=True))
            meter = self._take_meter(entry.leaf)
            started = Leaf(entry=entry, probes=self.probes, now=now, cold_meter=meter)
            started.said_leaving = (
                entry.born_ms != 0 and self._left.get(entry.leaf) == entry.born_ms
            )
            self._put(started)
            return started
        if entry.cold_left_s != leaf.entry.cold_left_s:
            leaf.set_cold_left(entry.cold_left_s, now)
        leaf.entry = entry
        leaf.listed = True
        leaf.drop_at = math.inf
        return None

    def remove_entry(self, name: str, now: float) -> None:
        """Apply the removal of an entry."""
        leaf = self.leaves.get(name)
        if leaf is None or not leaf.listed:
            return
        leaf.listed = False
        leaf.drop_at = now
        leaf.doubt(now)
        if not leaf.is_leaving:
            leaf.drop_at = max(now, self._outage_ended_at + REREGISTRATION_S)

    def sweep(self, now: float) -> list[Leaf]:
        """Drop the leaves whose time to register again has passed; return them."""
        dropped = [leaf for leaf in self.leaves.values() if now >= leaf.drop_at]
        for leaf in dropped:
            if not leaf.is_leaving:
                self._newly_down.append(DownLeaf(leaf, ended=True))
            del self.leaves[leaf.name]
            self._dropped_meters[leaf.name] = leaf.cold_meter
            self.limited.pop(leaf.name, None)
            self.by_service[leaf.entry.service].remove(leaf)
        for name in [name for name, meter in self._dropped_meters.items() if not meter.count(now)]:
            del self._dropped_meters[name]
        return dropped

    def _take_meter(self, name: str) -> ColdMeter | None:
        """Return the meter of a leaf that is known already, or was until a moment ago."""
        known = self.leaves.get(name)
        return known.cold_meter if known is not None else self._dropped_meters.pop(name, None)

    def next_sweep(self) -> float:
        """Return when the next leaf is due to be dropped."""
        return min((leaf.drop_at for leaf in self.leaves.values()), default=math.inf)

    def suspect(self, leaf: Leaf, availability: Availability, now: float, cause: str) -> None:
        """Mark a leaf SUSPECT or DOWN for a while; if it has just gone down, queue a hint."""
        if availability is Availability.DOWN and leaf.availability is not Availability.DOWN:
            self.hints.note(leaf, HintKind.DOWN)
            self._newly_down.append(DownLeaf(leaf, ended=False))
        self.track_availability(leaf, cause, now)
        leaf.suspect(availability, now)

    def track_availability(self, leaf: Leaf, cause: str, now: float) -> None:
        """Remember a leaf's availability before a possible change, and the cause of the change."""
        known = self._tracked.get(leaf.name)
        if known is not None:
            self._tracked[leaf.name] = (known[0], known[1], cause)
        elif len(self._tracked) < MAX_TRACKED:
            self._tracked[leaf.name] = (leaf.availability, leaf.is_slow(now), cause)

    def reported_down(self, leaf: Leaf) -> None:
        """Apply another node's report that a leaf is down; it explains calls that broke here."""
        if leaf.broken:
            self._newly_down.append(DownLeaf(leaf, ended=False))

    def call_lost(self, leaf: Leaf) -> None:
        """Note that a call got no answer; its leaf may be known by now to have ended."""
        if not leaf.is_leaving and self.has_ended(leaf):
            self._newly_down.append(DownLeaf(leaf, ended=True))

    def has_ended(self, leaf: Leaf) -> bool:
        """Return whether the registry shows that this start of a leaf is over."""
        return self.leaves.get(leaf.name) is not leaf

    def notice_given(self, leaf: Leaf, notice: LeafNotice, now: float) -> None:
        """Apply what a leaf says of itself in an answer."""
        if notice is NO_NOTICE and leaf.limit_per_s is None:
            return
        self.limit_named(leaf, notice.limit_per_s, now)
        if notice.pause_s is not None:
            self._pause(leaf, notice.pause_s, now)
        if notice.leaving and not leaf.said_leaving:
            self._set_leaving(leaf)
            if not leaf.entry.draining:
                self._leaving_notes[leaf.name] = LeavingNote(leaf.name, leaf.entry.born_ms)

    def take_newly_paused(self) -> list[LeafPaused]:
        """Return the leaves that have asked for a pause since the last call, with the newest one."""
        paused, self._newly_paused = self._newly_paused, {}
        return list(paused.values())

    def _pause(self, leaf: Leaf, pause_s: float, now: float) -> None:
        kept_s = min(pause_s, MAX_PAUSE_S)
        leaf.pause_until = max(leaf.pause_until, now + kept_s)
        if len(self._newly_paused) < MAX_TRACKED:
            self._newly_paused[leaf.name] = LeafPaused(leaf.name, pause_s, kept_s)

    def leaving_heard(self, note: LeavingNote) -> None:
        """Apply another node's report that a leaf says that it is leaving."""
        leaf = self.leaves.get(note.leaf)
        if leaf is not None and leaf.entry.born_ms == note.born_ms and not leaf.said_leaving:
            self._set_leaving(leaf)

    def take_leaving_notes(self) -> tuple[LeavingNote, ...]:
        """Return the leaving leaves to tell other nodes, at most `MAX_NOTES`."""
        notes = tuple(self._leaving_notes.values())[:MAX_NOTES]
        self._leaving_notes.clear()
        return notes

    def take_newly_leaving(self) -> list[str]:
        """Return the leaves that have said that they are leaving since the last call."""
        leaving, self._newly_leaving = self._newly_leaving, []
        return leaving

    def _set_leaving(self, leaf: Leaf) -> None:
        leaf.said_leaving = True
        self._newly_leaving.append(leaf.name)
        self._left[leaf.name] = leaf.entry.born_ms
        while len(self._left) > MAX_LEFT:
            self._left.popitem(last=False)

    def limit_named(self, leaf: Leaf, per_s: float | None, now: float) -> None:
        """Apply the limit in a leaf's answer; None if the answer names none."""
        is_news = per_s != leaf.limit_per_s
        if is_news or (per_s is not None and now - leaf.limit_named_at > LIMIT_REFRESH_S):
            self._limit_notes[leaf.name] = LimitNote(leaf.name, leaf.entry.born_ms, per_s)
        self._set_limit(leaf, per_s, now)

    def limit_heard(self, note: LimitNote, now: float) -> None:
        """Apply a limit that was named in an answer to another node."""
        leaf = self.leaves.get(note.leaf)
        is_valid = note.per_s is None or 0.0 <= note.per_s < math.inf
        if leaf is not None and leaf.entry.born_ms == note.born_ms and is_valid:
            self._set_limit(leaf, note.per_s, now)

    def expire_limits(self, now: float) -> None:
        """Lift the limits that have not been named for a while."""
        for leaf in list(self.limited.values()):
            if now - leaf.limit_named_at > LIMIT_VALID_S:
                self._set_limit(leaf, None, now)

    def take_limit_notes(self) -> tuple[LimitNote, ...]:
        """Return the limits to tell other nodes, at most `MAX_NOTES`."""
        notes = tuple(self._limit_notes.values())[:MAX_NOTES]
        self._limit_notes.clear()
        return notes

    def _set_limit(self, leaf: Leaf, per_s: float | None, now: float) -> None:
        leaf.limit_named_at = now
        if per_s == leaf.limit_per_s:
            return
        leaf.limit_per_s = per_s
        if per_s is None:
            leaf.quota = None
            self.limited.pop(leaf.name, None)
        else:
            self.limited[leaf.name] = leaf
            if leaf.quota is not None:
                leaf.quota.renewed_at = -math.inf
        if len(self._limit_changes) < MAX_TRACKED:
            self._limit_changes[leaf.name] = LeafLimited(leaf.name, per_s)

    def take_limit_changes(self) -> list[LeafLimited]:
        """Return the newest limits of the leaves that have changed theirs since the last call."""
        changes, self._limit_changes = self._limit_changes, {}
        return list(changes.values())

    def take_newly_down(self) -> list[DownLeaf]:
        """Return the leaves that went down since the last call."""
        newly_down, self._newly_down = self._newly_down, []
        return newly_down

    def take_availability_changes(self, now: float) -> list[LeafStanding]:
        """Return the changes of leaf availability since the last call."""
        if not self._tracked:
            return []
        tracked, self._tracked = self._tracked, {}
        changes: list[LeafStanding] = []
        for name, (availability, was_slow, cause) in tracked.items():
            leaf = self.leaves.get(name)
            if leaf is None:
                continue
            if leaf.availability is not availability or leaf.is_slow(now) is not was_slow:
                changes.append(_availability_change(leaf, cause, now))
        return changes

    def may_get_calls(self, leaf: Leaf, now: float) -> bool:
        """Return whether a leaf is eligible for new calls.

        It is not while it is leaving, its entry has been removed, another leaf answers at its address,
        its failure domain is out, or it has asked this node for a pause.
        """
        entry = leaf.entry
        if entry.draining or leaf.said_leaving or leaf.displaced or now >= leaf.drop_at:
            return False
        return now >= leaf.pause_until and entry.domain not in self.domains_out

    def _put(self, leaf: Leaf) -> None:
        self.limited.pop(leaf.name, None)
        before = self.leaves.get(leaf.name)
        if before is not None:
            self.by_service[before.entry.service].remove(before)
        self.leaves[leaf.name] = leaf
        self.by_service.setdefault(leaf.entry.service, []).append(leaf)


def _availability_change(leaf: Leaf, cause: str, now: float) -> LeafStanding:
    slow = " and slow" if leaf.is_slow(now) else ""
    return LeafStanding(
        leaf=leaf.name,
        standing=leaf.availability.value + slow,
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
