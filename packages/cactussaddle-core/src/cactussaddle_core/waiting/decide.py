"""Decides whether a request begins, waits or is refused, by the room of this host."""

from __future__ import annotations

import enum
import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.waiting.returns import MIN_RETURN_S
from cactussaddle_core.waiting.room import SEND_SHARE

if TYPE_CHECKING:
    from cactussaddle_core.waiting.queue import WaitingQueue
    from cactussaddle_core.waiting.queue import WaitingRequest

# Kinds of requests of which the need of room is remembered.
MAX_KINDS = 256
# A backlog under this share of a request's own work leaves the processor idle.
IDLE_SHARE = 0.05


class Verdict(enum.Enum):
    """What happens to a request that has arrived."""

    BEGIN = "begin"
    WAIT = "wait"
    REFUSE = "refuse"
    REFUSE_LATE = "refuse late"


class Begun(NamedTuple):
    """What this host has begun: the number of requests, and the time its processor needs for them."""

    requests: int
    backlog_s: float


class Outlook(NamedTuple):
    """What more urgent requests, still to arrive, mean for one of a priority.

    They can spare `spare_above_s`, and multiply the time that it waits by `slowdown`.
    """

    spare_above_s: float
    slowdown: float


class UrgentNeeds:
    """The time that requests of each kind can spare on this host, by priority and route.

    A request that arrives while others run finds their backlog ahead of it, so patient requests are
    begun only as far as urgent ones can spare the time.
    """

    def __init__(self) -> None:
        self._spare_s: dict[tuple[int, str], float] = {}

    def saw(self, priority: int, route: str, spare_s: float) -> None:
        """Record the time that a request of a kind can spare when it arrives.

        A kind that is late here even with nothing ahead of it has nothing to lose.
        """
        if spare_s <= 0.0:
            self._spare_s.pop((priority, route), None)
        elif len(self._spare_s) < MAX_KINDS or (priority, route) in self._spare_s:
            self._spare_s[priority, route] = spare_s

    def spare_above_s(self, priority: int) -> float:
        """Return the time that each more urgent kind can spare; infinity if there is none."""
        urgent = [spare_s for (rank, _), spare_s in self._spare_s.items() if rank < priority]
        return min(urgent, default=math.inf)


def begins_below_s(waiting: WaitingRequest, spare_above_s: float) -> float:
    """Return the backlog up to which a request is begun beside those that run.

    The processor has to have work while leaves answer, so a request begins once the work ahead is
    less than the time its leaves take. A request more urgent than it, were it to arrive next, would
    find both ahead of it and has to be in time still. A processor with nothing to do always begins.
    """
    leaf_s = waiting.alone_s - SEND_SHARE * waiting.work_s
    return max(IDLE_SHARE * waiting.work_s, min(leaf_s, spare_above_s - waiting.work_s))


def may_begin(waiting: WaitingRequest, begun: Begun, spare_above_s: float) -> bool:
    """Return whether a request is begun beside those that run."""
    return begun.requests == 0 or begun.backlog_s <= begins_below_s(waiting, spare_above_s)


def refusal(waiting: WaitingRequest, ahead_s: float, now: float) -> Verdict | None:
    """Return the verdict on a request that is to be refused, given the work ahead; None if it isn't."""
    # The processor does the work ahead also while this request's leaves answer.
    delay_s = ahead_s - (waiting.alone_s - waiting.work_s)
    if now + max(0.0, delay_s) > waiting.start_by():
        return Verdict.REFUSE
    return Verdict.REFUSE_LATE if _is_better_elsewhere(waiting, delay_s, now) else None


def verdict(
    waiting: WaitingRequest, begun: Begun, queue: WaitingQueue, outlook: Outlook, now: float
) -> Verdict:
    """Decide on a request that has just arrived."""
    if begun.requests == 0 and not len(queue):
        return Verdict.BEGIN
    ahead_s = queue.work_ahead_s(waiting, now)
    refused = refusal(waiting, outlook.slowdown * (begun.backlog_s + ahead_s), now)
    if refused is not None:
        return refused
    is_next = ahead_s <= 0.0 and not queue.is_owed(waiting.priority)
    if is_next and may_begin(waiting, begun, outlook.spare_above_s):
        return Verdict.BEGIN
    if queue.has_space(waiting) or queue.last_below(waiting.priority, now) is not None:
        return Verdict.WAIT
    return Verdict.REFUSE


def _is_better_elsewhere(waiting: WaitingRequest, delay_s: float, now: float) -> bool:
    """Return whether a request would be late by its delay here, and has time to go elsewhere.

    A late answer helps its caller little and makes those behind it late; a caller that is refused at
    once may still be in time at another host. One that has no time for that is answered late.
    """
    spare_s = waiting.spare_s(now)
    return MIN_RETURN_S + waiting.request.caller_rtt_s <= spare_s < delay_s
