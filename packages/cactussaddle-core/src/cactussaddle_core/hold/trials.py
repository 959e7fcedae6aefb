"""Trials of suspects: requests under which leaves went down run again only with a permit from the store.

A crash does not show which of the requests on the leaf caused it. A suspect is therefore neither
allowed nor held for good, but tried: the store's record of it permits one trial at a time on all
nodes, and counts them. A trial that ends well removes the record; after one that does not, the next
has to wait longer. The records outlive the nodes, and reach them as the configuration does.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.hashing import unit_interval
from cactussaddle_core.spread.restore import LOST_REVISION

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fanout.state import Query

# Wait before the next trial, by the number of trials that have not ended well.
TRIAL_PAUSES_S = (0.5, 30.0, 600.0)
# A record is removed if it has not changed for this long; each node adds up to as much. Most suspects
# that have not been tried by then are requests that nobody repeats.
TRIED_EXPIRY_S = 3600.0
UNTRIED_EXPIRY_S = 120.0
EXPIRY_INTERVAL_S = 10.0
# Longest wait for the store's permit; the caller is told to come back then.
PERMIT_TIMEOUT_S = 0.6
RETRY_AFTER_S = 0.3
# Time from a permit until all nodes know what a trial has shown.
TRIAL_LENGTH_S = 2.0
WRITE_RETRY_S = 2.0
MAX_RECORDS = 4096
# New suspects are no longer written while there are so many records.
MAX_UNTRIED_RECORDS = 1024
# New suspects that one node writes to the store at once; the ones with most crashes come first.
MAX_NEW_RECORDS = 4
MAX_UNUSED_PERMITS = 256
# After the store has lost records, the node that wrote one writes it again, and if that node is gone
# the others do, spread over some seconds.
RESTORE_PATIENCE_S = 3.0
RESTORE_SPREAD_S = 4.0


class TrialRecord(NamedTuple):
    """A suspect, as stored at `revision` (0: not stored).

    `trials` counts the trials begun that have not ended well. `services` are those whose leaves went
    down. `permit` is unique to the application for the newest trial; empty if none was asked for.
    """

    fingerprint: str
    trials: int
    services: tuple[str, ...]
    revision: int
    permit: str = ""


class WriteTrial(NamedTuple):
    """Effect: write a suspect's record if it is still at `record.revision`."""

    record: TrialRecord


class RemoveTrial(NamedTuple):
    """Effect: remove a suspect's record if it is still at `revision`."""

    fingerprint: str
    revision: int


class TrialOutcome(enum.StrEnum):
    """What a trial has shown."""

    HARMLESS = "harmless"
    INCONCLUSIVE = "inconclusive"
    CRASHED = "crashed"


class TrialEnded(NamedTuple):
    """The outcome of a suspect's trial; `trials` includes this one."""

    fingerprint: str
    outcome: TrialOutcome
    trials: int


class _Known(NamedTuple):
    record: TrialRecord
    since: float


class _Applicant(NamedTuple):
    request: CallerRequest
    arrived_at: float
    record: TrialRecord


class _Running(NamedTuple):
    query: Query | None
    record: TrialRecord


class _DueWrite(NamedTuple):
    """A write that is repeated until the record is no longer at its revision."""

    effect: WriteTrial | RemoveTrial
    revision: int
    at: float


class Trials:
    """The store's records as one node knows them, and the trials that this node asks for and runs."""

    def __init__(self, *, node: str, incarnation: str) -> None:
        self._node = node
        self._incarnation = incarnation
        self._applications = 0
        self._unused_permits: dict[str, None] = {}
        self._known: dict[str, _Known] = {}
        self._applicants: dict[str, _Applicant] = {}
        self._running: dict[str, _Running] = {}
        self._due_writes: dict[str, _DueWrite] = {}
        self._expire_at = 0.0

    def has_record(self, fingerprint: str) -> bool:
        """Return whether the store has a record of a request."""
        return fingerprint in self._known

    def wait_s(self, fingerprint: str, last_crash_age_s: float, now: float) -> float:
        """Return the time after which a suspect may be sent again; 0 if it may be tried now.

        While the newest trial may still be running, that is soon, as it may end well.
        """
        if fingerprint in self._applicants or fingerprint in self._running:
            return RETRY_AFTER_S
        known = self._known.get(fingerprint)
        if known is None:
            return max(0.0, TRIAL_PAUSES_S[0] - last_crash_age_s)
        wait_s = max(0.0, known.since + _pause_s(known.record.trials) - now)
        is_new = now - known.since < TRIAL_LENGTH_S
        return min(wait_s, RETRY_AFTER_S) if is_new else wait_s

    def apply(
        self, request: CallerRequest, services: Iterable[str], arrived_at: float, now: float
    ) -> WriteTrial:
        """Ask the store to permit a trial; the request waits for the answer."""
        fingerprint = request.fingerprint
        known = self._known.get(fingerprint)
        trials = known.record.trials if known is not None else 0
        revision = known.record.revision if known is not None else 0
        implicated = {*services, *(known.record.services if known is not None else ())}
        self._applications += 1
        permit = f"{self._node}/{self._incarnation}/{self._applications}"
        record = TrialRecord(fingerprint, trials + 1, tuple(sorted(implicated)), revision, permit)
        self._applicants[fingerprint] = _Applicant(request, arrived_at, record)
        return WriteTrial(record)

    def written(
        self, write: WriteTrial, revision: int | None, now: float
    ) -> tuple[CallerRequest, float] | None:
        """Handle the store's answer to a write; `revision` is None if it may not have been written.

        Return the request that waited for it, with its arrival time.
        """
        record = write.record
        applicant = self._applicants.get(record.fingerprint)
        is_awaited = applicant is not None and applicant.record == record
        if revision is None or not is_awaited:
            self._leave_unused(record)
        if revision is not None:
            self.seen(record._replace(revision=revision), now)
        if applicant is None or not is_awaited:
            return None
        del self._applicants[record.fingerprint]
        return applicant.request, applicant.arrived_at

    def applicants(self) -> int:
        """Return the number of requests that wait for the store."""
        return len(self._applicants)

    def begin(self, permitted: TrialRecord, query: Query | None) -> None:
        """Record that the permitted trial runs; `query` is None if the request was refused."""
        self._running[permitted.fingerprint] = _Running(query, permitted)

    def caller_gone(self, req_id: int) -> tuple[CallerRequest, float] | None:
        """Forget a request that waits for the store, as its caller has left.

        Return it with the time of its arrival; None if it doesn't wait.
        """
        for fingerprint, applicant in list(self._applicants.items()):
            if applicant.request.req_id == req_id:
                del self._applicants[fingerprint]
                self._leave_unused(applicant.record)
                return applicant.request, applicant.arrived_at
        return None

    def take_overdue(self, now: float) -> list[CallerRequest]:
        """Remove and return the requests that have waited too long for the store."""
        return self._take(
            [
                applicant
                for applicant in self._applicants.values()
                if now - applicant.arrived_at >= PERMIT_TIMEOUT_S
            ]
        )

    def take_all(self) -> list[CallerRequest]:
        """Remove and return all requests that wait for the store."""
        return self._take(list(self._applicants.values()))

    def _take(self, applicants: list[_Applicant]) -> list[CallerRequest]:
        for applicant in applicants:
            del self._applicants[applicant.request.fingerprint]
            self._leave_unused(applicant.record)
        return [applicant.request for applicant in applicants]

    def conclude(self, open_requests: Iterable[int], now: float) -> list[TrialEnded]:
        """End the trials whose queries are answered; return their outcomes."""
        still_open = set(open_requests)
        ended = []
        for fingerprint, (query, record) in list(self._running.items()):
            if query is not None and query.request.req_id in still_open:
                continue
            outcome = _outcome(query, record.services)
            record = self._as_stored(record)
            if record.revision == LOST_REVISION and outcome is not TrialOutcome.CRASHED:
                # The store has lost the record; once it is written again its change can be written.
                continue
            del self._running[fingerprint]
            ended.append(TrialEnded(fingerprint, outcome, record.trials))
            if outcome is TrialOutcome.HARMLESS:
                remove = RemoveTrial(fingerprint, record.revision)
                self._due_writes[fingerprint] = _DueWrite(remove, record.revision, now)
            elif outcome is TrialOutcome.INCONCLUSIVE:
                self._restore(record, now)
        return ended

    def _as_stored(self, record: TrialRecord) -> TrialRecord:
        """Return a permitted trial's record at its present revision, which a restore changes."""
        known = self._known.get(record.fingerprint)
        if known is None or known.record.permit != record.permit:
            return record
        return record._replace(revision=known.record.revision)

    def store_suspects(self, suspects: Iterable[TrialRecord], now: float) -> None:
        """Have the records of new suspects written, the first ones at most."""
        if len(self._known) >= MAX_UNTRIED_RECORDS:
            return
        new = [suspect for suspect in suspects if not self.has_record(suspect.fingerprint)]
        room = MAX_NEW_RECORDS - len(self._due_writes)
        for suspect in new[: max(0, room)]:
            if suspect.fingerprint not in self._due_writes:
                self._due_writes[suspect.fingerprint] = _DueWrite(WriteTrial(suspect), 0, now)

    def take_due_writes(self, now: float) -> list[WriteTrial | RemoveTrial]:
        """Return the writes to send now; drop those whose record has changed since."""
        effects = []
        for fingerprint, due in list(self._due_writes.items()):
            known = self._known.get(fingerprint)
            revision = known.record.revision if known is not None else 0
            if revision != due.revision or fingerprint in self._applicants:
                del self._due_writes[fingerprint]
            elif now >= due.at:
                self._due_writes[fingerprint] = due._replace(at=now + WRITE_RETRY_S)
                effects.append(due.effect)
        return effects

    def seen(self, record: TrialRecord, now: float) -> None:
        """Apply a record from the store, unless a newer one is known."""
        known = self._known.get(record.fingerprint)
        if known is not None and known.record.revision >= record.revision:
            return
        if known is None and len(self._known) >= MAX_RECORDS:
            return
        self._known[record.fingerprint] = _Known(record, now)
        if record.permit in self._unused_permits:
            del self._unused_permits[record.permit]
            self._restore(record, now)

    def removed(self, fingerprint: str, revision: int) -> bool:
        """Apply the removal of a record; return whether one was known here."""
        known = self._known.get(fingerprint)
        if known is None or known.record.revision > revision:
            return False
        del self._known[fingerprint]
        return True

    def listed(self, records: Iterable[TrialRecord], now: float) -> list[str]:
        """Apply a complete listing; return the fingerprints whose records are gone."""
        found = {record.fingerprint: record for record in records}
        gone = [name for name in self._known if name not in found and not self._is_lost(name)]
        for fingerprint in gone:
            del self._known[fingerprint]
        for record in found.values():
            self.seen(record, now)
        return gone

    def store_restored(self, now: float) -> None:
        """Have the records written again that the store's older copy lacks.

        Revisions are given out again, so none of those known holds any more.
        """
        for fingerprint, known in self._known.items():
            record = known.record._replace(revision=LOST_REVISION)
            is_own = record.permit.startswith(f"{self._node}/")
            spread_s = RESTORE_SPREAD_S * unit_interval(fingerprint, self._node)
            at = now if is_own else now + RESTORE_PATIENCE_S + spread_s
            self._known[fingerprint] = known._replace(record=record)
            self._due_writes[fingerprint] = _DueWrite(WriteTrial(record), 0, at)

    def _is_lost(self, fingerprint: str) -> bool:
        """Return whether a record waits to be written again after the store has lost it."""
        return (
            self._known[fingerprint].record.revision == LOST_REVISION
            and fingerprint in self._due_writes
        )

    def expire(self, now: float) -> None:
        """Have the records removed that have not changed for a long time."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRY_INTERVAL_S
        for fingerprint, (record, since) in self._known.items():
            expiry_s = TRIED_EXPIRY_S if record.trials else UNTRIED_EXPIRY_S
            expiry_s *= 1.0 + unit_interval(fingerprint, self._node)
            if now - since > expiry_s and fingerprint not in self._due_writes:
                remove = RemoveTrial(fingerprint, record.revision)
                self._due_writes[fingerprint] = _DueWrite(remove, record.revision, now)

    def _leave_unused(self, record: TrialRecord) -> None:
        """Have a permit given back if it turns out to be granted, as its request no longer waits."""
        if record.permit:
            self._unused_permits[record.permit] = None
        while len(self._unused_permits) > MAX_UNUSED_PERMITS:
            del self._unused_permits[next(iter(self._unused_permits))]

    def _restore(self, record: TrialRecord, now: float) -> None:
        """Have a trial that has shown nothing taken out of the count."""
        before = WriteTrial(record._replace(trials=record.trials - 1, permit=""))
        self._due_writes[record.fingerprint] = _DueWrite(before, record.revision, now)


def _pause_s(trials: int) -> float:
    return TRIAL_PAUSES_S[min(trials, len(TRIAL_PAUSES_S) - 1)]


def _outcome(query: Query | None, services: tuple[str, ...]) -> TrialOutcome:
    """Return what a trial has shown.

    A request may end the leaves of one service only, so an answer counts for its service.
    """
    if query is None:
        return TrialOutcome.INCONCLUSIVE
    calls = [(part.service, call) for part in query.parts for call in part.calls]
    if any(call.ending is CallEnding.BROKEN for _, call in calls):
        return TrialOutcome.CRASHED
    survived = {service for service, call in calls if call.ending is CallEnding.ANSWERED}
    if survived.intersection(services) or (survived and not services):
        return TrialOutcome.HARMLESS
    if survived:
        return TrialOutcome.INCONCLUSIVE
    unanswered = [call for _, call in calls if call.left and call.ending in _UNANSWERED]
    return TrialOutcome.CRASHED if unanswered else TrialOutcome.INCONCLUSIVE


_UNANSWERED = (None, CallEnding.CANCELLED)
