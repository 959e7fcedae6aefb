"""Requests that crash the leaves that run them: found, told to all nodes, and held."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cactussaddle_core.edge.logevents import RequestHeld
from cactussaddle_core.hold.book import HoldBook
from cactussaddle_core.hold.book import HoldSnapshot
from cactussaddle_core.hold.book import Verdict

if TYPE_CHECKING:
    from cactussaddle_core.fleet.book import Fleet
    from cactussaddle_core.hold.book import Clearance
    from cactussaddle_core.hold.book import Strike

# Each note is told this often, since messages may be lost.
TELLINGS = 3
# By this time the other leaves lost in a larger event have been missed as well.
SETTLE_S = 0.6
TELL_EVERY_S = 0.3


class CrashWatch:
    """What this node knows of such requests, and what it still has to tell."""

    def __init__(self, *, node: str, fleet: Fleet) -> None:
        self._fleet = fleet
        self._book = HoldBook(node=node, service_of=self._service_of)
        self._watched: dict[str, str] = {}
        self._tellings = 0
        self._told: Counter[Strike | Clearance] = Counter()
        self._tell_at = 0.0

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether a request may not run.

        Right after a crash it can't be told yet whether many leaves were lost at once.
        """
        if self._book.verdict(fingerprint, now) is not Verdict.HOLD:
            return False
        return self._book.last_crash_age_s(fingerprint, now) >= SETTLE_S

    def retry_after_s(self, fingerprint: str, now: float) -> float:
        """Return when a held request may be tried again."""
        return self._book.retry_after_s(fingerprint, now)

    def ran_well(self, fingerprint: str, leaf: str, now: float) -> None:
        """Take in that a leaf has run a request to its end."""
        if self._book.succeeded(fingerprint, leaf, now):
            self._tellings = TELLINGS

    def look(self, now: float) -> list[RequestHeld]:
        """Take in the leaves that went down; return the requests that are held since."""
        for leaf in self._fleet.take_fallen():
            fingerprints = leaf.broken_lately(now)
            leaf.broken = []
            self._book.crashed(leaf.name, str(leaf.entry.born_ms), fingerprints, now)
            if fingerprints:
                self._tellings = TELLINGS
            for fingerprint in fingerprints:
                self._watched[fingerprint] = leaf.name
        return self._newly_held(now)

    def _newly_held(self, now: float) -> list[RequestHeld]:
        held = [name for name in self._watched if self.is_held(name, now)]
        events = [RequestHeld(name, self._watched[name]) for name in held]
        for name in list(self._watched):
            if name in held or self._book.last_crash_age_s(name, now) > 2.0 * SETTLE_S:
                del self._watched[name]
        return events

    def heard(self, snapshot: HoldSnapshot, now: float) -> None:
        """Take in what another node tells."""
        if self._book.merge(snapshot, now):
            self._tellings = TELLINGS

    def to_tell(self, now: float) -> HoldSnapshot | None:
        """Return what is to be told to all nodes now: what they have not been told often enough."""
        if self._tellings == 0 or now < self._tell_at:
            return None
        self._tellings -= 1
        self._tell_at = now + TELL_EVERY_S
        known = self._book.snapshot(now)
        strikes = tuple(note for note in known.strikes if self._told[note] < TELLINGS)
        clearances = tuple(note for note in known.clearances if self._told[note] < TELLINGS)
        kept = {*known.strikes, *known.clearances}
        self._told = Counter({note: told for note, told in self._told.items() if note in kept})
        self._told.update([*strikes, *clearances])
        return HoldSnapshot(strikes, clearances) if strikes or clearances else None

    def to_tell_newcomer(self, now: float) -> HoldSnapshot | None:
        """Return all that this node has noted, for a node that has just registered."""
        known = self._book.snapshot(now)
        return known if known.strikes or known.clearances else None

    def _service_of(self, leaf: str) -> str:
        known = self._fleet.leaves.get(leaf)
        return known.entry.service if known is not None else ""
