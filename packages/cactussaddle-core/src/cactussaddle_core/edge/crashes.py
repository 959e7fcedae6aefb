"""Detection of requests that crash the leaves running them; such requests run only as trials."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING

from cactussaddle_core.edge.logevents import MAX_LOGGED_FINGERPRINTS
from cactussaddle_core.edge.logevents import CrashesLearned
from cactussaddle_core.edge.logevents import LeafCrashed
from cactussaddle_core.edge.logevents import RequestHeld
from cactussaddle_core.fleet.leaf import BROKEN_CALL_RETENTION_S
from cactussaddle_core.fleet.leaf import LOST_CALL_RETENTION_S
from cactussaddle_core.hold.table import MAX_CRASHES
from cactussaddle_core.hold.table import HoldSnapshot
from cactussaddle_core.hold.table import HoldTable
from cactussaddle_core.hold.table import Verdict
from cactussaddle_core.hold.trials import MAX_NEW_RECORDS
from cactussaddle_core.hold.trials import TrialOutcome
from cactussaddle_core.hold.trials import TrialRecord
from cactussaddle_core.hold.trials import Trials

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fleet.fleet import Fleet
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.hold.table import Clearance
    from cactussaddle_core.hold.table import Strike
    from cactussaddle_core.hold.trials import TrialEnded
    from cactussaddle_core.hold.trials import WriteTrial

# Each record is broadcast to the nodes of the region this many times, since messages may be lost.
BROADCAST_REPEATS = 3
BROADCAST_INTERVAL_S = 0.3
# Crash reports in one message to nearby nodes, and to those of other regions. Many requests are under
# way at a leaf that goes down, and all nodes tell the others.
MAX_BROADCAST_STRIKES = 16
MAX_REPORTED_STRIKES = 4
# How long a request is watched after a crash for becoming a suspect by crashes elsewhere.
WATCH_S = 5.0
# New suspects are written to the store in small groups; the least suspect beyond these are left out.
STORE_INTERVAL_S = 0.3
MAX_UNSTORED = 64


class CrashTracker:
    """The crash records known to this node, the broadcasts still due, and the trials of suspects."""

    def __init__(self, *, node: str, fleet: Fleet, incarnation: str = "") -> None:
        self._fleet = fleet
        self._book = HoldTable(node=node, service_of=self._service_of)
        self.trials = Trials(node=node, incarnation=incarnation)
        self._services: OrderedDict[str, str] = OrderedDict()
        self._watched: dict[str, str] = {}
        self._unstored: set[str] = set()
        self._store_at = 0.0
        self._unreported: list[Strike] = []
        self._broadcasts_left = 0
        self._broadcast_counts: Counter[Strike | Clearance] = Counter()
        self._next_broadcast_at = 0.0

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether a request may run only as a trial."""
        if self.trials.has_record(fingerprint):
            return True
        return self._book.verdict(fingerprint, now) is Verdict.HOLD

    def trial_wait_s(self, fingerprint: str, now: float) -> float:
        """Return the time after which a held request may be tried; 0 if it may be now."""
        return self.trials.wait_s(fingerprint, self._book.last_crash_age_s(fingerprint, now), now)

    def apply_for_trial(self, request: CallerRequest, arrived_at: float, now: float) -> WriteTrial:
        """Ask the store for the permit to try a held request."""
        services = self._book.implicated(request.fingerprint)
        return self.trials.apply(request, services, arrived_at, now)

    def record_success(self, fingerprint: str, leaf: str, now: float) -> None:
        """Record that a leaf has run a request to completion."""
        if self._book.succeeded(fingerprint, leaf, now):
            self._broadcasts_left = BROADCAST_REPEATS

    def collect_crashes(
        self, overdue_at: Callable[[Leaf, float], list[str]], now: float
    ) -> list[LeafCrashed | RequestHeld]:
        """Record the leaves that went down; return their crashes and the requests now held.

        A leaf that only this node can't reach may still run, so silence counts only once the registry
        shows that the leaf has ended. `overdue_at` returns the requests with an overdue call at a leaf.
        """
        events: list[LeafCrashed | RequestHeld] = []
        for leaf, ended in self._fleet.take_newly_down():
            self._services[leaf.name] = leaf.entry.service
            broken = leaf.recently_broken(
                now, LOST_CALL_RETENTION_S if ended else BROKEN_CALL_RETENTION_S
            )
            unanswered = [*leaf.recently_unanswered(now), *overdue_at(leaf, now)] if ended else []
            leaf.broken = []
            if ended:
                leaf.unanswered = []
            fingerprints = [*broken, *unanswered]
            if fingerprints:
                events.append(_crash_event(leaf, broken, unanswered))
            if fingerprints or not ended:
                self._record_crash(leaf, fingerprints, now)
        while len(self._services) > MAX_CRASHES:
            self._services.popitem(last=False)
        return [*events, *self._newly_held(now)]

    def _record_crash(self, leaf: Leaf, fingerprints: list[str], now: float) -> None:
        strikes = self._book.crashed(leaf.name, str(leaf.entry.born_ms), fingerprints, now)
        if fingerprints:
            self._broadcasts_left = BROADCAST_REPEATS
            self._unreported += strikes
        for fingerprint in fingerprints:
            self._watched[fingerprint] = leaf.name

    def _newly_held(self, now: float) -> list[RequestHeld]:
        events = []
        for fingerprint, leaf in list(self._watched.items()):
            if self.is_held(fingerprint, now):
                events.append(RequestHeld(fingerprint, leaf))
                self._unstored.add(fingerprint)
                del self._watched[fingerprint]
            elif self._book.last_crash_age_s(fingerprint, now) > WATCH_S:
                del self._watched[fingerprint]
        return events

    def advance_trials(self, open_requests: Iterable[int], now: float) -> list[TrialEnded]:
        """End the trials whose queries are answered, and acquit the requests found harmless."""
        ended = self.trials.conclude(open_requests, now)
        for trial in ended:
            if trial.outcome is TrialOutcome.HARMLESS:
                self._book.acquit(trial.fingerprint)
        if now >= self._store_at:
            self._store_at = now + STORE_INTERVAL_S
            self._store_suspects(now)
        self.trials.expire(now)
        return ended

    def _store_suspects(self, now: float) -> None:
        """Have the records of new suspects written; those with the most crashes come first."""
        self._unstored = {
            name
            for name in self._unstored
            if self.is_held(name, now) and not self.trials.has_record(name)
        }
        if not self._unstored:
            return
        ranked = sorted(self._unstored, key=lambda name: (-self._book.crash_count(name), name))
        self._unstored = set(ranked[:MAX_UNSTORED])
        records = [
            TrialRecord(name, 0, self._book.implicated(name), 0)
            for name in ranked[:MAX_NEW_RECORDS]
        ]
        self.trials.store_suspects(records, now)

    def record_removed(self, fingerprint: str, revision: int) -> None:
        """Acquit a request whose record was removed, as a trial on some node has ended well."""
        if self.trials.removed(fingerprint, revision):
            self._book.acquit(fingerprint)

    def records_listed(self, records: Iterable[TrialRecord], now: float) -> None:
        """Apply a complete listing of the records in the store."""
        for fingerprint in self.trials.listed(records, now):
            self._book.acquit(fingerprint)

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

    def next_report(self) -> HoldSnapshot | None:
        """Return the few most suspect crashes that other regions have not been told; each is sent once."""
        new, self._unreported = self._unreported, []
        strikes = self._most_suspect(new)[:MAX_REPORTED_STRIKES]
        return HoldSnapshot(strikes, ()) if strikes else None

    def next_broadcast(self, now: float) -> HoldSnapshot | None:
        """Return the records to send to nearby nodes now, leaving out those broadcast often enough."""
        if self._broadcasts_left == 0 or now < self._next_broadcast_at:
            return None
        self._broadcasts_left -= 1
        self._next_broadcast_at = now + BROADCAST_INTERVAL_S
        known = self._book.snapshot(now)
        due = [note for note in known.strikes if self._broadcast_counts[note] < BROADCAST_REPEATS]
        strikes = self._most_suspect(due)
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
        if not known.strikes and not known.clearances:
            return None
        return known._replace(strikes=self._most_suspect(known.strikes))

    def _most_suspect(self, strikes: Iterable[Strike]) -> tuple[Strike, ...]:
        """Return the reports of the requests with the most crashes, up to `MAX_BROADCAST_STRIKES`."""
        ranked = sorted(
            strikes, key=lambda strike: self._book.crash_count(strike.fingerprint), reverse=True
        )
        return tuple(ranked[:MAX_BROADCAST_STRIKES])

    def _service_of(self, leaf: str) -> str:
        known = self._fleet.leaves.get(leaf)
        return known.entry.service if known is not None else self._services.get(leaf, "")


def _crash_event(leaf: Leaf, broken: list[str], unanswered: list[str]) -> LeafCrashed:
    requests = len({*broken, *unanswered})
    return LeafCrashed(
        leaf.name, leaf.entry.born_ms, requests, _to_log(broken), _to_log(unanswered)
    )


def _to_log(fingerprints: list[str]) -> tuple[str, ...]:
    return tuple(sorted(set(fingerprints))[:MAX_LOGGED_FINGERPRINTS])
