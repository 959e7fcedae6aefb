"""Detection of requests that crash the leaves running them; such requests are held on all nodes."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cactussaddle_core.edge.logevents import MAX_LOGGED_FINGERPRINTS
from cactussaddle_core.edge.logevents import CrashesLearned
from cactussaddle_core.edge.logevents import LeafCrashed
from cactussaddle_core.edge.logevents import RequestHeld
from cactussaddle_core.hold.table import HoldSnapshot
from cactussaddle_core.hold.table import HoldTable
from cactussaddle_core.hold.table import Verdict

if TYPE_CHECKING:
    from cactussaddle_core.fleet.fleet import Fleet
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.hold.table import Clearance
    from cactussaddle_core.hold.table import Strike

# Each record is broadcast this many times, since messages may be lost.
BROADCAST_REPEATS = 3
# Within this time after a crash, the other leaves lost in the same event are detected as well.
SETTLE_S = 0.6
BROADCAST_INTERVAL_S = 0.3


class CrashTracker:
    """The crash records known to this node, and the broadcasts of them that are still due."""

    def __init__(self, *, node: str, fleet: Fleet) -> None:
        self._fleet = fleet
        self._book = HoldTable(node=node, service_of=self._service_of)
        self._watched: dict[str, str] = {}
        self._broadcasts_left = 0
        self._broadcast_counts: Counter[Strike | Clearance] = Counter()
        self._next_broadcast_at = 0.0

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not run.

        Right after a crash it is still unknown whether many leaves were lost at once, so a request
        is not held until `SETTLE_S` after the last one.
        """
        if self._book.verdict(fingerprint, now) is not Verdict.HOLD:
            return False
        return self._book.last_crash_age_s(fingerprint, now) >= SETTLE_S

    def retry_after_s(self, fingerprint: str, now: float) -> float:
        """Return the time after which a held request may be retried."""
        return self._book.retry_after_s(fingerprint, now)

    def record_success(self, fingerprint: str, leaf: str, now: float) -> None:
        """Record that a leaf has run a request to completion."""
        if self._book.succeeded(fingerprint, leaf, now):
            self._broadcasts_left = BROADCAST_REPEATS

    def collect_crashes(self, now: float) -> list[LeafCrashed | RequestHeld]:
        """Record the leaves that went down; return their crashes and the requests now held."""
        events: list[LeafCrashed | RequestHeld] = []
        for leaf in self._fleet.take_newly_down():
            fingerprints = leaf.recently_broken(now)
            unanswered = leaf.recently_unanswered(now)
            leaf.broken = []
            leaf.unanswered = []
            if fingerprints or unanswered:
                events.append(_crash_event(leaf, fingerprints, unanswered))
            self._book.crashed(leaf.name, str(leaf.entry.born_ms), fingerprints, now)
            if fingerprints:
                self._broadcasts_left = BROADCAST_REPEATS
            for fingerprint in fingerprints:
                self._watched[fingerprint] = leaf.name
        return [*events, *self._newly_held(now)]

    def _newly_held(self, now: float) -> list[RequestHeld]:
        held = [name for name in self._watched if self.is_held(name, now)]
        events = [RequestHeld(name, self._watched[name]) for name in held]
        for name in list(self._watched):
            if name in held or self._book.last_crash_age_s(name, now) > 2.0 * SETTLE_S:
                del self._watched[name]
        return events

    def merge(self, snapshot: HoldSnapshot, now: float) -> CrashesLearned | None:
        """Merge the records of another node; return what was new, or None."""
        new = [strike for strike in snapshot.strikes if not self._book.knows(strike)]
        if self._book.merge(snapshot, now):
            self._broadcasts_left = BROADCAST_REPEATS
        if not new:
            return None
        leaves = {strike.leaf for strike in new}
        requests = {strike.fingerprint for strike in new}
        return CrashesLearned(len(leaves), len(requests))

    def next_broadcast(self, now: float) -> HoldSnapshot | None:
        """Return the records to send to all nodes now, leaving out those broadcast often enough."""
        if self._broadcasts_left == 0 or now < self._next_broadcast_at:
            return None
        self._broadcasts_left -= 1
        self._next_broadcast_at = now + BROADCAST_INTERVAL_S
        known = self._book.snapshot(now)
        strikes = tuple(
            note for note in known.strikes if self._broadcast_counts[note] < BROADCAST_REPEATS
        )
        clearances = tuple(
            note for note in known.clearances if self._broadcast_counts[note] < BROADCAST_REPEATS
        )
        kept = {*known.strikes, *known.clearances}
        self._broadcast_counts = Counter(
            {note: told for note, told in self._broadcast_counts.items() if note in kept}
        )
        self._broadcast_counts.update([*strikes, *clearances])
        return HoldSnapshot(strikes, clearances) if strikes or clearances else None

    def full_snapshot(self, now: float) -> HoldSnapshot | None:
        """Return all known records, for a node that has just registered."""
        known = self._book.snapshot(now)
        return known if known.strikes or known.clearances else None

    def _service_of(self, leaf: str) -> str:
        known = self._fleet.leaves.get(leaf)
        return known.entry.service if known is not None else ""


def _crash_event(leaf: Leaf, broken: list[str], unanswered: list[str]) -> LeafCrashed:
    requests = len({*broken, *unanswered})
    return LeafCrashed(
        leaf.name, leaf.entry.born_ms, requests, _to_log(broken), _to_log(unanswered)
    )


def _to_log(fingerprints: list[str]) -> tuple[str, ...]:
    return tuple(sorted(set(fingerprints))[:MAX_LOGGED_FINGERPRINTS])
