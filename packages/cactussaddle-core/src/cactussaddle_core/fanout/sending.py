"""Sending of calls within the limits on runs and on extra calls."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.choose import choose
from cactussaddle_core.fanout.model import EndCall
from cactussaddle_core.fanout.model import SendCall
from cactussaddle_core.fanout.promises import require_may_be_sent
from cactussaddle_core.fanout.state import Call

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import FanoutEffect
    from cactussaddle_core.fanout.state import Choice
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fanout.state import Query

# Why a call is made.
FIRST = "first"
HEDGE = "hedge"
# How long a call that lost is awaited: its answer tells that the leaf is well again and keeps the
# connection.
LINGER_S = 0.45
# A hedge that could not be answered in time any more is of no use.
HEDGE_MARGIN_FACTOR = 1.3


def send(
    state: FanoutState, part: Part, reason: str, now: float, *, reserve: float = 0.0
) -> list[FanoutEffect]:
    """Send the part to the best leaf left; nothing when the limits or the leaves forbid it."""
    if part.runs >= _max_runs(part):
        return []
    choice = choose(state, part, now)
    if choice is None:
        return []
    return send_to(state, part, choice, reason, now, reserve=reserve)


def send_to(
    state: FanoutState, part: Part, choice: Choice, reason: str, now: float, *, reserve: float = 0.0
) -> list[FanoutEffect]:
    """Send the part to the leaf chosen unless the retry budget forbids it."""
    leaf = choice.leaf
    extra = part.arrivals > 0
    if extra and not state.budget.take(part.service, now, reserve=reserve):
        return []
    call = Call(
        call_id=state.next_call_id(),
        part=part,
        choice=choice,
        reason=reason,
        extra=extra,
        now=now,
    )
    part.runs += 1
    part.arrivals += 1
    part.calls.append(call)
    part.open_calls.append(call)
    state.calls[call.call_id] = call
    state.loop_lag.call_queued(call.call_id)
    due = overdue_at(state, call, now)
    leaf.waiting[call.call_id] = due
    if leaf.is_cold(now):
        leaf.cold_meter.record_call(now)
    require_may_be_sent(state, call, now)
    part.retry_at = math.inf
    schedule_hedge(state, call, due)
    return [SendCall(call)]


def overdue_at(state: FanoutState, call: Call, now: float) -> float:
    """Return from when a call is overdue, as far as that is not this node's own doing."""
    lag_s = state.loop_lag.lag_s(now)
    if not call.left:
        return call.sent_at + state.timings.connect_overdue_s(call.leaf) + lag_s
    return call.left_at + state.timings.overdue_s(call.part.query.route, call.leaf, now) + lag_s


def schedule_hedge(state: FanoutState, call: Call, due: float) -> None:
    """Plan when the part of a call, overdue at `due`, is sent to one more leaf."""
    part = call.part
    part.hedge_at = hedge_time(state, call, due)
    state.review_at(part.query, part.hedge_at)


def hedge_time(state: FanoutState, call: Call, due: float) -> float:
    """Return when to hedge: once the call is overdue, but while a hedge can still be in time."""
    if not call.left:
        return due
    if not can_hedge(call.part):
        return math.inf
    query = call.part.query
    median_s = state.timings.median_s(query.route)
    latest = query.answer_by - HEDGE_MARGIN_FACTOR * (median_s + state.timings.max_rtt_s())
    return min(due, latest) if latest > call.left_at + median_s else due


def end_others(part: Part, now: float) -> list[FanoutEffect]:
    """End the calls of a part that has its answer."""
    losers = part.open_calls
    part.open_calls = []
    return [_abandon(call, _linger_s(call, now)) for call in losers]


def end_all(query: Query, now: float, *, linger: bool = True) -> list[FanoutEffect]:
    """End all calls of a query, those that may still tell something a little later."""
    effects: list[FanoutEffect] = []
    for part in query.parts:
        effects += [
            _abandon(call, _linger_s(call, now) if linger else 0.0) for call in part.open_calls
        ]
        part.open_calls = []
    return effects


def end_unsent(state: FanoutState, part: Part, now: float) -> list[FanoutEffect]:
    """End the calls that still wait for a connection; they have neither run nor arrived."""
    unsent = [call for call in part.open_calls if not call.left]
    for call in unsent:
        part.open_calls.remove(call)
        uncount(state, call, now, arrived=False)
    return [_abandon(call, 0.0) for call in unsent]


def uncount(state: FanoutState, call: Call, now: float, *, arrived: bool) -> None:
    """Take a call that has not run out of its part's counts."""
    part = call.part
    part.runs -= 1
    if arrived:
        return
    part.arrivals -= 1
    if call.extra:
        state.budget.refund(part.service, now)


def can_hedge(part: Part) -> bool:
    """Return whether one more call of the part may run beside those under way."""
    return part.query.route.idempotent and part.runs < _max_runs(part)


def _linger_s(call: Call, now: float) -> float:
    """Return how long to await a lost call; none at a leaf whose slots others need."""
    return 0.0 if call.leaf.is_slow(now) else LINGER_S


def _abandon(call: Call, linger_s: float) -> EndCall:
    call.abandoned = True
    return EndCall(call, linger_s)


def _max_runs(part: Part) -> int:
    return max(1, part.query.route.max_leaves) if part.query.route.idempotent else 1
