"""The holder's reports: each window is frozen in the store, then sent until it is accepted.

Two different reports of one window must never be sent, by whatever holder. So only what the store holds
is sent, and a slot that holds the window's report already is never written again.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.duties import effects as fx
from cactussaddle_core.duties.counting import window_of
from cactussaddle_core.duties.model import FrozenReport
from cactussaddle_core.duties.model import StoredReport
from cactussaddle_core.duties.model import slot_of
from cactussaddle_core.duties.model import total_of
from cactussaddle_core.edge import logevents as log

if TYPE_CHECKING:
    from cactussaddle_core.duties import events as ev
    from cactussaddle_core.duties.counting import Ledger
    from cactussaddle_core.duties.holding import Term
    from cactussaddle_core.duties.model import DutyRules

# Time for counts to arrive after the end of a window, at most this part of the time until it is late.
SETTLE_S = 2.0
SETTLE_FRACTION = 0.3
# Time that a new holder gives all nodes to send what it lacks.
CATCH_UP_S = 0.7
# A report that would arrive later than this before it is late is still sent.
LATE_MARGIN_S = 0.3
CALL_TIMEOUT_S = 4.0
RETRY_S = 0.4
MAX_RETRY_S = 2.0
KEPT_WINDOWS = 16
OK = 200
OUTBID = 409


class Reporting:
    """Freezes and sends the reports that are due while this process holds the duty."""

    def __init__(self, *, rules: DutyRules, ledger: Ledger) -> None:
        self.reported_at = -math.inf
        self._rules = rules
        self._ledger = ledger
        self._settle_s = min(SETTLE_S, SETTLE_FRACTION * rules.late_s)
        self._token = 0
        self._slots: dict[int, int] | None = None
        self._first_awaited = 0
        self._frozen: dict[int, FrozenReport] = {}
        self._ended: set[int] = set()
        self._attempts: dict[int, int] = {}
        self._read_asked_at = -math.inf
        self._freezing: int | None = None
        self._freeze_asked_at = -math.inf
        self._freeze_again_at = -math.inf
        self._sending: int | None = None
        self._send_asked_at = -math.inf
        self._send_again_at = -math.inf

    def tick(self, term: Term, live_until: float, true_s: float, now: float) -> list[fx.Effect]:
        """Return what is due in a term that is in force until `live_until`."""
        if term.token != self._token:
            self._begin(term, true_s)
        if self._slots is None:
            return self._read(term, now)
        effects: list[fx.Effect] = []
        for window in self._due_windows(term, true_s):
            if window in self._frozen:
                effects += self._send(window, term, live_until, now)
            else:
                effects += self._freeze(window, term, now)
        return effects + self._miss_late(true_s)

    def read(self, event: ev.StoreRead, term: Term) -> None:
        """Take over what is frozen already."""
        if not event.eras.before == event.eras.after == term.era:
            self._read_asked_at = -math.inf
            return
        self._slots = {}
        for report in event.reports:
            self._take_over(report)

    def not_read(self, now: float) -> None:
        """Read again a little later."""
        self._read_asked_at = now - CALL_TIMEOUT_S + RETRY_S

    def frozen(self, event: ev.Frozen, term: Term) -> None:
        """Take a window's report for frozen if it was surely written in the era of the term."""
        self._freezing = None
        if self._slots is not None and event.eras.before == event.eras.after == term.era:
            slot = slot_of(event.report.window)
            self._take_over(StoredReport(slot, event.report, event.revision))

    def freeze_refused(self, event: ev.FreezeRefused, term: Term, now: float) -> None:
        """Learn what the slot holds."""
        self._freezing = None
        self._freeze_again_at = now + RETRY_S
        if self._slots is None or not event.eras.before == event.eras.after == term.era:
            return
        if event.report is None:
            self._slots.pop(slot_of(event.window), None)
        else:
            self._take_over(event.report)
            self._freeze_again_at = now

    def freeze_unanswered(self, now: float) -> None:
        """Write again a little later; the slot then shows whether it was written."""
        self._freezing = None
        self._freeze_again_at = now + RETRY_S

    def answered(self, event: ev.ReportAnswered, true_s: float, now: float) -> list[fx.Effect]:
        """Take in the end of a call with a report."""
        self._sending = None
        attempts = self._attempts.get(event.window, 1)
        report = self._frozen.get(event.window)
        end_s = (event.window + 1) * self._rules.window_s
        if event.status == OK and report is not None:
            self._ended.add(event.window)
            self.reported_at = now
            after_ms = round(1000.0 * (true_s - end_s), 0)
            total, teams = total_of(report.counts), len(report.counts)
            done = log.UsageReported(event.window, total, teams, after_ms, attempts)
            return [fx.Note(done)]
        self._send_again_at = now + self._pause_s(event, attempts)
        detail = event.detail or f"status {event.status}"
        refused = log.UsageReportFailed(event.window, event.token, attempts, detail)
        return [fx.Note(refused)]

    def _pause_s(self, event: ev.ReportAnswered, attempts: int) -> float:
        """Return how long to wait before a call that was not accepted is made again.

        Where there was no answer, the wait for it was a pause already.
        """
        least_s = 2.0 / max(0.1, self._rules.calls_per_s)
        if event.status is None:
            return max(RETRY_S, least_s)
        return max(min(MAX_RETRY_S, RETRY_S * 2.0 ** min(attempts, 8)), least_s)

    def _begin(self, term: Term, true_s: float) -> None:
        self._token = term.token
        self._slots = None
        self._first_awaited = max(term.first_window, self._first_in_time(true_s))
        self._read_asked_at = -math.inf
        self._freezing = None
        self._sending = None
        self._freeze_again_at = term.since + CATCH_UP_S
        self._send_again_at = -math.inf

    def _read(self, term: Term, now: float) -> list[fx.Effect]:
        if now < self._read_asked_at + CALL_TIMEOUT_S:
            return []
        self._read_asked_at = now
        return [fx.ReadStore(term.attempt)]

    def _due_windows(self, term: Term, true_s: float) -> list[int]:
        """Return the windows that have settled and aren't late, and have not ended yet, oldest first."""
        window_s = self._rules.window_s
        settled = window_of(true_s - self._settle_s, window_s)
        windows = range(max(term.first_window, self._first_in_time(true_s)), settled)
        return [window for window in windows if window not in self._ended]

    def _first_in_time(self, true_s: float) -> int:
        """Return the first window whose report isn't late yet and whose counts are still kept."""
        window_s = self._rules.window_s
        in_time = window_of(true_s - self._rules.late_s + LATE_MARGIN_S, window_s)
        return max(in_time, window_of(true_s, window_s) - self._rules.kept_windows())

    def _freeze(self, window: int, term: Term, now: float) -> list[fx.Effect]:
        is_waiting = self._freezing is not None and now < self._freeze_asked_at + CALL_TIMEOUT_S
        if is_waiting or now < self._freeze_again_at:
            return []
        assert self._slots is not None
        self._freezing = window
        self._freeze_asked_at = now
        report = FrozenReport(window, self._ledger.counts_of(window))
        return [fx.FreezeReport(report, term.revision, self._slots.get(slot_of(window), 0))]

    def _send(self, window: int, term: Term, live_until: float, now: float) -> list[fx.Effect]:
        is_waiting = self._sending is not None and now < self._send_asked_at + CALL_TIMEOUT_S
        if is_waiting or now < self._send_again_at:
            return []
        self._sending = window
        self._send_asked_at = now
        self._attempts[window] = self._attempts.get(window, 0) + 1
        return [fx.SendReport(self._frozen[window], term.token, live_until, term.era)]

    def _take_over(self, stored: StoredReport) -> None:
        assert self._slots is not None
        self._slots[stored.slot] = stored.revision
        if stored.report is None:
            return
        window = stored.report.window
        if self._frozen.setdefault(window, stored.report) != stored.report:
            # Another era's report of the window may have been sent.
            self._ended.add(window)
        for earlier in range(window - KEPT_WINDOWS, window):
            if slot_of(earlier) == stored.slot:
                # Its report was overwritten, and may have been sent.
                self._ended.add(earlier)

    def _miss_late(self, true_s: float) -> list[fx.Effect]:
        """Log the windows that have become late without an accepted report, and forget old ones."""
        first = self._first_in_time(true_s)
        effects: list[fx.Effect] = []
        if first - 1 >= self._first_awaited and first - 1 not in self._ended:
            state = "not accepted" if first - 1 in self._frozen else "not frozen"
            self._ended.add(first - 1)
            effects.append(fx.Note(log.UsageMissed(first - 1, state)))
        self._forget_before(first - KEPT_WINDOWS)
        return effects

    def _forget_before(self, window: int) -> None:
        self._ended = {known for known in self._ended if known >= window}
        for old in [known for known in self._frozen if known < window]:
            del self._frozen[old]
        for old in [known for known in self._attempts if known < window]:
            del self._attempts[old]
