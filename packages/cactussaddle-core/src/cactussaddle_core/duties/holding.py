"""Who holds the duty: takes it, keeps it, and knows when it may no longer act.

A holder acts only while its lease is surely in force by its own clock. Nodes that have lost the duty stay
away from it for a while, so that it doesn't pass back and forth between two of them.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.duties import effects as fx
from cactussaddle_core.duties.model import HolderRecord
from cactussaddle_core.duties.model import StoredHolder
from cactussaddle_core.duties.model import StoredTerm
from cactussaddle_core.duties.model import TermRecord
from cactussaddle_core.duties.model import token_of
from cactussaddle_core.duties.succession import candidates
from cactussaddle_core.duties.succession import delay_s
from cactussaddle_core.edge import logevents as log

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.duties import events as ev
    from cactussaddle_core.duties.model import DutyRules

# Part of the lease after which the holder no longer relies on it: clocks differ in pace.
LIVE_FRACTION = 0.9
RENEW_FRACTION = 1.0 / 3.0
RENEW_RETRY_S = 0.4
# A store call that has not ended after this long is taken for failed.
CALL_TIMEOUT_S = 4.0
# After its start a node waits until it knows the other members.
MEMBERS_KNOWN_S = 1.0
RETRY_S = 0.5
# In leases: a node that has lost the duty, or has just started, stays away from it for this long.
ABSENCE_LEASES = 2.0
# The platform may carry out a call so long after it was given up.
LATE_CALL_S = 12.0
# Former holders in the term's record.
MAX_HOLDERS = 16
UNKNOWN_ERA = 0


class Term(NamedTuple):
    """A term of this process as the holder."""

    attempt: str
    token: int
    lease: int
    ttl_s: float
    revision: int
    era: int
    first_window: int
    since: float


class _Attempt(NamedTuple):
    """A try to take the duty; `lease` is 0 until it is granted."""

    attempt: str
    began_at: float
    lease: int = 0
    ttl_s: float = 0.0
    granted_at: float = 0.0
    era: int = 0
    first_window: int = 0
    before: str = ""
    reads: bool = False


class Holding:
    """Takes and keeps the duty for one process."""

    def __init__(
        self, *, node: str, rules: DutyRules, new_attempt: Callable[[], str], now: float
    ) -> None:
        self.term: Term | None = None
        self.live_until = -math.inf
        self.holder: StoredHolder | None = None
        self.last_term: StoredTerm | None = None
        self._node = node
        self._rules = rules
        self._new_attempt = new_attempt
        self._may_try_at = now + MEMBERS_KNOWN_S
        self._absent_until = now + ABSENCE_LEASES * rules.lease_s
        self._has_held = False
        self._unanswered_at = -math.inf
        self._vacant_since = math.inf
        self._attempt: _Attempt | None = None
        self._renew_at = math.inf
        self._renew_asked_at = -math.inf

    def may_act(self, now: float) -> bool:
        """Return whether this process surely is the holder."""
        return self.term is not None and now < self.live_until

    def last_holder(self) -> str:
        """Return the node that holds the duty or held it last, as far as known."""
        if self.holder is not None and self.holder.record is not None:
            return self.holder.record.node
        if self.last_term is not None and self.last_term.record is not None:
            return self.last_term.record.last_holder()
        return ""

    def holder_seen(self, holder: StoredHolder, now: float) -> list[fx.Effect]:
        """Take in the holder's record as it is spread; it may be older than what is known here."""
        self._set_holder(holder, now)
        term = self.term
        if term is None or holder.revision <= term.revision:
            return []
        if holder.record is None:
            return self._lose("record removed", now)
        return self._lose(f"taken by {holder.record.node}", now)

    def term_seen(self, term: StoredTerm) -> None:
        """Take in the term's record as it is spread."""
        self.last_term = term

    def listed(self, holder: StoredHolder, term: StoredTerm, now: float) -> None:
        """Take in a complete listing, which names no revision of what is not there."""
        self._set_holder(holder, now)
        self.last_term = term

    def tick(self, event: ev.Tick, now: float) -> list[fx.Effect]:
        """Take the duty, renew the lease or end the term, as is due."""
        if self.term is not None:
            return self._keep(self.term, event, now)
        if self._attempt is not None:
            return self._pursue(self._attempt, now)
        if event.stopping or now < self._may_try_at or not self._is_due(event, now):
            return []
        self._attempt = _Attempt(self._new_attempt(), now)
        return [fx.GrantLease(self._attempt.attempt, self._rules.lease_s)]

    def _is_due(self, event: ev.Tick, now: float) -> bool:
        if now < self._vacant_since or self.last_term is None or self._node not in event.members:
            return False
        if now < self._absent_until and not self._is_no_return(event.era):
            return False
        order = candidates(self.last_holder(), event.members, event.region_of)
        return now >= self._vacant_since + delay_s(order.index(self._node))

    def _is_no_return(self, era: int) -> bool:
        """Return whether no other node has held the duty since this one did, if it did.

        Only the present era's record tells: an older copy may lack the last holders.
        """
        assert self.last_term is not None
        record = self.last_term.record
        if record is None:
            return not self._has_held
        if era not in (UNKNOWN_ERA, record.era):
            return False
        return record.nodes[:1] == (self._node,) or (
            self._node not in record.nodes and not self._has_held
        )

    def lease_granted(self, event: ev.LeaseGranted, current: int, now: float) -> list[fx.Effect]:
        """Take the duty under a new lease.

        If the store is in a new era, nothing may be frozen before the `current` window: whatever was
        reported in the era before ended earlier than this era was seen.
        """
        attempt = self._attempt
        if attempt is None or attempt.attempt != event.attempt or self.last_term is None:
            return [fx.ReleaseLease(event.lease)]
        era = event.eras.after
        if now < self._absent_until and not self._is_no_return(era):
            return [fx.ReleaseLease(event.lease), *self._give_up(event.attempt, now)]
        record = self.last_term.record
        first_window = current
        if record is not None and record.era == era:
            first_window = record.first_window
        self._attempt = attempt._replace(
            first_window=first_window,
            lease=event.lease,
            ttl_s=event.ttl_s,
            granted_at=event.asked_at,
            era=era,
            before=self.last_holder(),
        )
        holder = HolderRecord(self._node, event.attempt)
        term = TermRecord(_with_holder(self._node, record), era, first_window)
        return [fx.TakeDuty(event.attempt, event.lease, holder, term, self.last_term.revision)]

    def lease_not_granted(self, event: ev.LeaseNotGranted, now: float) -> list[fx.Effect]:
        """Try again later."""
        return self._give_up(event.attempt, now)

    def committed(self, event: ev.TakeCommitted, now: float) -> list[fx.Effect]:
        """Begin a term if the store's era is known for certain."""
        attempt = self._attempt
        if attempt is None or attempt.attempt != event.attempt:
            return []
        if not event.eras.before == event.eras.after == attempt.era:
            return self._give_up(event.attempt, now)
        return self._begin(attempt, event.revision, "vacant", now)

    def refused(self, event: ev.TakeRefused, now: float) -> list[fx.Effect]:
        """Learn the present records, and try again if there is still no holder."""
        self._set_holder(event.holder, now)
        self.last_term = event.term
        # Nothing is bound to the lease, which ends by itself.
        return self._give_up(event.attempt, now, release=False)

    def unanswered(self, event: ev.TakeUnanswered, now: float) -> list[fx.Effect]:
        """Read back whether the duty was taken."""
        attempt = self._attempt
        if attempt is None or attempt.attempt != event.attempt:
            return []
        self._attempt = attempt._replace(reads=True)
        return [fx.ReadStore(event.attempt)]

    def read_back(self, event: ev.StoreRead, now: float) -> list[fx.Effect]:
        """Begin a term if the store has this attempt's records, else give it up."""
        attempt = self._attempt
        if attempt is None or attempt.attempt != event.attempt or not attempt.reads:
            return []
        self._set_holder(event.holder, now)
        self.last_term = event.term
        record = event.holder.record
        certain = event.eras.before == event.eras.after == attempt.era
        if record is not None and record.attempt == attempt.attempt and certain:
            return self._begin(attempt, event.holder.revision, "vacant, answer lost", now)
        return self._give_up(event.attempt, now)

    def not_read(self, event: ev.StoreNotRead, now: float) -> list[fx.Effect]:
        """Give the attempt up; its records end with the lease."""
        attempt = self._attempt
        if attempt is None or attempt.attempt != event.attempt or not attempt.reads:
            return []
        return self._give_up(event.attempt, now)

    def renewed(self, event: ev.Renewed, now: float) -> list[fx.Effect]:
        """Go on, or end the term if the lease has ended."""
        term = self.term
        if term is None or term.lease != event.lease:
            return []
        self._renew_asked_at = -math.inf
        if event.alive is None:
            self._renew_at = now + RENEW_RETRY_S
            return []
        if not event.alive:
            return self._lose("lease ended", now)
        if not event.eras.before == event.eras.after == term.era:
            return self._lose("store came back in another era", now)
        self.live_until = max(self.live_until, event.asked_at + LIVE_FRACTION * term.ttl_s)
        self._renew_at = event.asked_at + RENEW_FRACTION * term.ttl_s
        return []

    def call_unanswered(self, now: float) -> None:
        """Note that a call of this holder may be carried out late, and count as an act of its own."""
        self._unanswered_at = now
        if self.term is None:
            self._stay_away(now)

    def _stay_away(self, now: float) -> None:
        absent_until = now + ABSENCE_LEASES * self._rules.lease_s
        late_until = self._unanswered_at + LATE_CALL_S + self._rules.lease_s
        self._absent_until = max(self._absent_until, absent_until, late_until)

    def denied(self, holder: StoredHolder, now: float) -> list[fx.Effect]:
        """End the term if the store, asked just now, has another holder's record or none."""
        if self.term is None or holder.revision == self.term.revision:
            return []
        self._set_holder(holder, now)
        return self._lose("record is gone", now)

    def outbid(self, token: int, now: float) -> list[fx.Effect]:
        """End the term whose token the platform has refused."""
        if self.term is None or self.term.token != token:
            return []
        return self._lose("the platform has seen a higher token", now, release=True)

    def _keep(self, term: Term, event: ev.Tick, now: float) -> list[fx.Effect]:
        if event.era > term.era:
            return self._lose("store came back in another era", now)
        if event.stopping:
            return self._lose("stopping", now, release=True)
        if now < self._renew_at or now < self._renew_asked_at + CALL_TIMEOUT_S:
            return []
        self._renew_asked_at = now
        return [fx.RenewLease(term.lease)]

    def _pursue(self, attempt: _Attempt, now: float) -> list[fx.Effect]:
        """Give up an attempt whose calls have not ended in time."""
        if now < attempt.began_at + 2.0 * CALL_TIMEOUT_S:
            return []
        return self._give_up(attempt.attempt, now)

    def _begin(self, attempt: _Attempt, revision: int, reason: str, now: float) -> list[fx.Effect]:
        self._attempt = None
        self._has_held = True
        self.term = Term(
            attempt=attempt.attempt,
            token=token_of(attempt.era, revision),
            lease=attempt.lease,
            ttl_s=attempt.ttl_s,
            revision=revision,
            era=attempt.era,
            first_window=attempt.first_window,
            since=now,
        )
        self.holder = StoredHolder(HolderRecord(self._node, attempt.attempt), revision)
        self.live_until = attempt.granted_at + LIVE_FRACTION * attempt.ttl_s
        self._renew_at = attempt.granted_at + RENEW_FRACTION * attempt.ttl_s
        self._renew_asked_at = -math.inf
        return [fx.Note(log.DutyTaken(self.term.token, attempt.before, reason))]

    def _lose(self, reason: str, now: float, *, release: bool = False) -> list[fx.Effect]:
        term = self.term
        assert term is not None
        self.term = None
        self.live_until = -math.inf
        self._stay_away(now)
        lost = log.DutyLost(term.token, reason, round(now - term.since, 2))
        effects: list[fx.Effect] = [fx.Note(lost)]
        return [fx.ReleaseLease(term.lease), *effects] if release else effects

    def _give_up(self, attempt: str, now: float, *, release: bool = True) -> list[fx.Effect]:
        current = self._attempt
        if current is None or current.attempt != attempt:
            return []
        self._attempt = None
        self._may_try_at = now + RETRY_S
        return [fx.ReleaseLease(current.lease)] if current.lease and release else []

    def _set_holder(self, holder: StoredHolder, now: float) -> None:
        known = self.holder
        self.holder = holder
        if holder.record is not None:
            self._vacant_since = math.inf
        elif known is None or known.record is not None:
            self._vacant_since = now


def _with_holder(node: str, record: TermRecord | None) -> tuple[str, ...]:
    """Return the holders so far, the newest first, with a new one."""
    others = [name for name in record.nodes if name != node] if record is not None else []
    return (node, *others[: MAX_HOLDERS - 1])
