"""The queue of one host: what waits, what urgent requests can spare, and what callers were promised."""

from __future__ import annotations

import enum
import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.waiting.arrivals import Arrivals
from cactussaddle_core.waiting.decide import Outlook
from cactussaddle_core.waiting.decide import UrgentNeeds
from cactussaddle_core.waiting.decide import Verdict
from cactussaddle_core.waiting.decide import begins_below_s
from cactussaddle_core.waiting.decide import may_begin
from cactussaddle_core.waiting.decide import refusal
from cactussaddle_core.waiting.decide import verdict
from cactussaddle_core.waiting.queue import WaitingQueue
from cactussaddle_core.waiting.returns import Returns

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.waiting.decide import Begun
    from cactussaddle_core.waiting.queue import WaitingRequest


# Interval at which the requests that wait are reviewed.
REVIEW_S = 0.02
# Callers do not wait for a longer share of the time that they have left.
MAX_RETURN_FRACTION = 1.0 / 3.0


class Reason(enum.Enum):
    """Why a request was refused before it began."""

    NO_TIME = "host is too busy to meet the deadline"
    LATE = "would be late here; another host may be in time"
    DISPLACED = "displaced by a more urgent request"
    HOPELESS = "others came before it: the deadline can no longer be met"


class TurnedAway(NamedTuple):
    """A request that was refused before it began, and the delay after which its caller may retry."""

    request: CallerRequest
    reason: Reason
    retry_after_s: float


class HostQueue:
    """The requests that wait for this host's room."""

    def __init__(self) -> None:
        self.waiting = WaitingQueue()
        self._needs = UrgentNeeds()
        self._arrivals = Arrivals()
        # Until the queue changes, the next request begins at this backlog.
        self._begins_below_s = math.inf
        self._returns = Returns()

    def arrived(self, waiting: WaitingRequest, begun: Begun, now: float) -> list[TurnedAway] | None:
        """Return None if a request begins now.

        Otherwise it waits or is refused, and those that are refused are returned.
        """
        self._needs.saw(waiting.priority, waiting.route, waiting.answer_by - now - waiting.alone_s)
        self._arrivals.saw(waiting.priority, waiting.work_s, now)
        outlook = Outlook(
            self._needs.spare_above_s(waiting.priority),
            self._arrivals.slowdown(waiting.priority, now),
        )
        decided = verdict(waiting, begun, self.waiting, outlook, now)
        if decided is Verdict.BEGIN:
            self.waiting.passed_by(waiting)
            return None
        if decided is Verdict.REFUSE:
            return [self._turn_away(waiting, Reason.NO_TIME, begun, now)]
        if decided is Verdict.REFUSE_LATE:
            return [self._turn_away(waiting, Reason.LATE, begun, now)]
        displaced = self._make_space(waiting, now)
        if not len(self.waiting):
            self._review_at = now + REVIEW_S
        self.waiting.add(waiting)
        self._begins_below_s = math.inf
        return [self._turn_away(one, Reason.DISPLACED, begun, now) for one in displaced]

    def take_next(self, begun: Begun, now: float) -> WaitingRequest | None:
        """Remove and return the next request to begin; None if there is none, or no room for it."""
        if begun.requests and begun.backlog_s > self._begins_below_s:
            return None
        self._begins_below_s = math.inf
        first = self.waiting.first(now)
        if first is None:
            return None
        spare_s = self._needs.spare_above_s(first.priority)
        if not may_begin(first, begun, spare_s):
            self._begins_below_s = begins_below_s(first, spare_s)
            return None
        return self.waiting.take_first(now)

    @property
    def review_at(self) -> float:
        """When the requests that wait are to be reviewed; infinity if none waits."""
        return self._review_at if len(self.waiting) else math.inf

    def review(self, begun: Begun, now: float) -> list[TurnedAway]:
        """Remove and return the requests that are better refused now than kept waiting.

        Others, more urgent, have come before them, or those that run take longer than expected.
        """
        if now < self._review_at:
            return []
        self._review_at = now + REVIEW_S
        self._begins_below_s = math.inf
        refused: list[TurnedAway] = []
        ahead_s = begun.backlog_s
        for waiting in self.waiting.in_order(now):
            slowdown = self._arrivals.slowdown(waiting.priority, now)
            decided = refusal(waiting, slowdown * ahead_s, now)
            if decided is None:
                ahead_s += waiting.work_s
                continue
            self.waiting.remove(waiting.req_id)
            reason = Reason.HOPELESS if decided is Verdict.REFUSE else Reason.LATE
            refused.append(self._turn_away(waiting, reason, begun, now))
        return refused

    def caller_gone(self, req_id: int) -> tuple[CallerRequest, float] | None:
        """Remove the request of a caller that has left, and return it with the time of its arrival."""
        waiting = self.waiting.remove(req_id)
        self._begins_below_s = math.inf
        return None if waiting is None else (waiting.request, waiting.arrived_at)

    def _make_space(self, waiting: WaitingRequest, now: float) -> list[WaitingRequest]:
        """Remove requests of lower priority until there is space."""
        displaced: list[WaitingRequest] = []
        while not self.waiting.has_space(waiting):
            last = self.waiting.last_below(waiting.priority, now)
            if last is None:
                break
            self.waiting.remove(last.req_id)
            displaced.append(last)
        return displaced

    def _turn_away(
        self, refused: WaitingRequest, reason: Reason, begun: Begun, now: float
    ) -> TurnedAway:
        room_in_s = begun.backlog_s + self.waiting.work_ahead_s(refused, now)
        latest_s = MAX_RETURN_FRACTION * max(0.0, refused.deadline - now)
        if reason is Reason.LATE:
            # The other half is for what is ahead of it at the other host.
            latest_s = (refused.spare_s(now) - refused.request.caller_rtt_s) / 2.0
        retry_s = self._returns.retry_after_s(
            refused.priority, refused.work_s, room_in_s, latest_s, now
        )
        return TurnedAway(refused.request, reason, retry_s)
