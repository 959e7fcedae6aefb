"""The reducer of the duty to report usage: events in, effects out.

All times are of a clock that never steps and counts the time for which the host is suspended.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.duties import effects as fx
from cactussaddle_core.duties import events as ev
from cactussaddle_core.duties.counting import Ledger
from cactussaddle_core.duties.counting import OwnCounts
from cactussaddle_core.duties.counting import window_of
from cactussaddle_core.duties.holding import Holding
from cactussaddle_core.duties.model import CountRow
from cactussaddle_core.duties.model import CountsNote
from cactussaddle_core.duties.model import HolderNote
from cactussaddle_core.duties.reporting import OUTBID
from cactussaddle_core.duties.reporting import Reporting
from cactussaddle_core.duties.succession import candidates
from cactussaddle_core.duties.truetime import TrueTime

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.duties.model import DutyRules
    from cactussaddle_core.spread.model import Member

# Interval of messages with changed counts; shorter while the process stops.
SEND_INTERVAL_S = 0.5
STOPPING_INTERVAL_S = 0.1
# A process sends its time of day at least this often.
CLOCK_INTERVAL_S = 2.0
NOTE_INTERVAL_S = 1.0
# A node that has not been heard as the holder for this long is no longer taken for it.
HOLDER_VALID_S = 4.0
MAX_INCARNATIONS = 1024
# Clocks differ by a little: counts of the window after this one's are taken as well.
WINDOWS_AHEAD = 1


class Duties:
    """One process's part in the duty."""

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        rules: DutyRules,
        new_attempt: Callable[[], str],
        wall_s: float,
        now: float,
    ) -> None:
        self.time = TrueTime(wall_s=wall_s, now=now)
        self.own = OwnCounts()
        self.ledger = Ledger()
        self.holding = Holding(node=node, rules=rules, new_attempt=new_attempt, now=now)
        self.reporting = Reporting(rules=rules, ledger=self.ledger)
        self._node = node
        self._incarnation = incarnation
        self._rules = rules
        self._kept = rules.kept_windows()
        self._heard_holder = ""
        self._heard_token = 0
        self._heard_at = -math.inf
        self._confirmed: dict[int, int] = {}
        self._incarnations: dict[str, str] = {}
        self._send_at = 0.0
        self._clock_at = 0.0
        self._note_at = 0.0

    def began(self, team: str, at: float) -> None:
        """Count a request of a team that began to run at a leaf."""
        self.own.began(team, window_of(self.time.at(at), self._rules.window_s))

    def holder(self, now: float) -> str:
        """Return the node that holds the duty, as far as known; empty if none does."""
        if self.holding.term is not None:
            return self._node
        if now < self._heard_at + HOLDER_VALID_S:
            return self._heard_holder
        known = self.holding.holder
        return known.record.node if known is not None and known.record is not None else ""

    def reduce(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle one event; return the effects to carry out."""
        return _HANDLERS[type(event)](self, event, now)

    def _listed(self, event: ev.RecordsListed, now: float) -> list[fx.Effect]:
        self.holding.listed(event.holder, event.term, now)
        return []

    def _holder_seen(self, event: ev.HolderSeen, now: float) -> list[fx.Effect]:
        return self.holding.holder_seen(event.holder, now)

    def _term_seen(self, event: ev.TermSeen, now: float) -> list[fx.Effect]:
        self.holding.term_seen(event.term)
        return []

    def _lease_granted(self, event: ev.LeaseGranted, now: float) -> list[fx.Effect]:
        current = window_of(self.time.at(now), self._rules.window_s)
        return self.holding.lease_granted(event, current, now)

    def _store_read(self, event: ev.StoreRead, now: float) -> list[fx.Effect]:
        term = self.holding.term
        if term is None or term.attempt != event.attempt:
            return self.holding.read_back(event, now)
        if event.eras.after == term.era and event.holder.revision != term.revision:
            return self.holding.denied(event.holder, now)
        self.reporting.read(event, term)
        return []

    def _store_not_read(self, event: ev.StoreNotRead, now: float) -> list[fx.Effect]:
        term = self.holding.term
        if term is None or term.attempt != event.attempt:
            return self.holding.not_read(event, now)
        self.reporting.not_read(now)
        return []

    def _frozen(self, event: ev.Frozen, now: float) -> list[fx.Effect]:
        if self.holding.term is not None:
            self.reporting.frozen(event, self.holding.term)
        return []

    def _freeze_refused(self, event: ev.FreezeRefused, now: float) -> list[fx.Effect]:
        term = self.holding.term
        if term is None:
            return []
        self.reporting.freeze_refused(event, term, now)
        return self.holding.denied(event.holder, now)

    def _freeze_unanswered(self, event: ev.FreezeUnanswered, now: float) -> list[fx.Effect]:
        self.reporting.freeze_unanswered(now)
        return []

    def _answered(self, event: ev.ReportAnswered, now: float) -> list[fx.Effect]:
        effects = self.reporting.answered(event, self.time.at(now), now)
        if event.status is None:
            self.holding.call_unanswered(now)
        if event.status == OUTBID:
            effects += self.holding.outbid(event.token, now)
        return effects

    def _counts_heard(self, event: ev.CountsHeard, now: float) -> list[fx.Effect]:
        note = event.note
        if note.node in self._incarnations or len(self._incarnations) < MAX_INCARNATIONS:
            self._incarnations[note.node] = note.incarnation
        self.time.heard_clock(note.node, note.wall_s, now)
        current = window_of(self.time.at(now), self._rules.window_s)
        self.ledger.heard(note, current - self._kept, current + WINDOWS_AHEAD)
        return []

    def _holder_heard(self, event: ev.HolderHeard, now: float) -> list[fx.Effect]:
        note = event.note
        if note.token < self._heard_token:
            return []
        if note.token > self._heard_token:
            self._confirmed.clear()
            self._send_at = now
            self.time.holder_changed()
        self._heard_holder, self._heard_token, self._heard_at = note.node, note.token, now
        if self.holding.term is None:
            self.time.heard_holder(note.true_s, now)
        if note.incarnation == self._incarnation:
            self._confirmed = dict(note.totals)
        return []

    def _tick(self, event: ev.Tick, now: float) -> list[fx.Effect]:
        self.time.own_clock(event.wall_s, now)
        if self.holding.term is not None:
            self.time.agree(now)
        true_s = self.time.at(now)
        current = window_of(true_s, self._rules.window_s)
        self.own.forget_before(current - self._kept)
        self.ledger.forget_before(current - self._kept)
        self._confirmed = {
            window: total
            for window, total in self._confirmed.items()
            if window >= current - self._kept
        }
        effects = self.holding.tick(event, now)
        effects += self._send_counts(event, current, now)
        term = self.holding.term
        if term is None:
            return effects
        if self.holding.may_act(now):
            effects += self._send_notes(event, term.token, true_s, now)
            effects += self.reporting.tick(term, self.holding.live_until, true_s, now)
        return effects

    def _send_counts(self, event: ev.Tick, current: int, now: float) -> list[fx.Effect]:
        """Send the counts that have changed, and those of ended windows that the holder lacks."""
        if now < self._send_at:
            return []
        self._send_at = now + (STOPPING_INTERVAL_S if event.stopping else SEND_INTERVAL_S)
        rows = self.own.take_changed()
        own = CountsNote(self._node, self._incarnation, self.time.own_wall_s(now), tuple(rows))
        self.ledger.heard(own, current - self._kept, current + WINDOWS_AHEAD)
        holder = self.holder(now)
        if holder != self._node:
            rows += self._unconfirmed(current)
        if not rows and now < self._clock_at:
            return []
        self._clock_at = now + CLOCK_INTERVAL_S
        members = self._receivers(event, holder)
        notes = _split(own, rows)
        return [fx.SendCounts(members, note) for note in notes] if members else []

    def _unconfirmed(self, current: int) -> list[CountRow]:
        """Return all counts of the ended windows of which the holder doesn't have all."""
        rows: list[CountRow] = []
        for window, total in sorted(self.own.totals().items()):
            if window < current and self._confirmed.get(window, 0) < total:
                rows += self.own.row_of(window)
        return rows

    def _receivers(self, event: ev.Tick, holder: str) -> tuple[Member, ...]:
        """Return the holder and its deputy, or the first candidates while there is no holder."""
        last = holder or self.holding.last_holder()
        order = candidates(last, event.members, event.region_of)
        names = [holder, *order[:1]] if holder in event.members else order[:2]
        return tuple(event.members[name] for name in dict.fromkeys(names) if name != self._node)

    def _send_notes(self, event: ev.Tick, token: int, true_s: float, now: float) -> list[fx.Effect]:
        """Confirm to all nodes what is known of their counts."""
        if now < self._note_at:
            return []
        self._note_at = now + NOTE_INTERVAL_S
        return [
            fx.SendNote(member, self._note_to(name, token, true_s))
            for name, member in event.members.items()
            if name != self._node
        ]

    def _note_to(self, node: str, token: int, true_s: float) -> HolderNote:
        incarnation = self._incarnations.get(node, "")
        totals = self.ledger.sums_of(node, incarnation)
        return HolderNote(self._node, token, true_s, incarnation, totals)

    def _ask_store(self, event: Any, now: float) -> list[fx.Effect]:
        handler: Callable[[Holding, Any, float], list[fx.Effect]] = _HOLDING[type(event)]
        return handler(self.holding, event, now)


def _split(note: CountsNote, rows: list[CountRow]) -> list[CountsNote]:
    """Return notes of one row each, or one without rows that only tells the time."""
    if not rows:
        return [note]
    return [note._replace(rows=(row,)) for row in rows]


_HOLDING: dict[type[Any], Callable[[Holding, Any, float], list[fx.Effect]]] = {
    ev.LeaseNotGranted: Holding.lease_not_granted,
    ev.TakeCommitted: Holding.committed,
    ev.TakeRefused: Holding.refused,
    ev.TakeUnanswered: Holding.unanswered,
    ev.Renewed: Holding.renewed,
}
_HANDLERS: dict[type[Any], Callable[[Duties, Any, float], list[fx.Effect]]] = {
    **dict.fromkeys(_HOLDING, Duties._ask_store),
    ev.LeaseGranted: Duties._lease_granted,
    ev.RecordsListed: Duties._listed,
    ev.HolderSeen: Duties._holder_seen,
    ev.TermSeen: Duties._term_seen,
    ev.StoreRead: Duties._store_read,
    ev.StoreNotRead: Duties._store_not_read,
    ev.Frozen: Duties._frozen,
    ev.FreezeRefused: Duties._freeze_refused,
    ev.FreezeUnanswered: Duties._freeze_unanswered,
    ev.ReportAnswered: Duties._answered,
    ev.CountsHeard: Duties._counts_heard,
    ev.HolderHeard: Duties._holder_heard,
    ev.Tick: Duties._tick,
}
