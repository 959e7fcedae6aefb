"""Sends, hedges and cancels calls within the limits on runs per part and the retry budget."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.choose import choose
from cactussaddle_core.fanout.distance import Distance
from cactussaddle_core.fanout.effects import EndCall
from cactussaddle_core.fanout.effects import SendCall
from cactussaddle_core.fanout.estimate import has_free_slot
from cactussaddle_core.fanout.promises import require_may_be_sent
from cactussaddle_core.fanout.state import Call

if TYPE_CHECKING:
    from cactussaddle_core.fanout.effects import FanoutEffect
    from cactussaddle_core.fanout.state import Choice
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fanout.state import Query

# Reasons for a call, as logged.
FIRST = "first"
HEDGE = "hedge"
# How long to wait for a call whose answer is no longer needed. Its reply shows that the leaf has
# recovered, and the connection can be kept.
LINGER_S = 0.45
# Factor on the expected time of a hedge, since a hedge that can't be answered in time is useless.
HEDGE_MARGIN_FACTOR = 1.3
# Estimated size of a request and of the headers of its answer.
CALL_BYTES = 600


def send(
    state: FanoutState, part: Part, reason: str, now: float, *, reserve: float = 0.0
) -> list[FanoutEffect]:
    """Send the part to the best remaining leaf; return no effects if no call is allowed."""
    if part.runs >= _max_runs(part):
        return []
    choice = choose(state, part, now)
    if choice is None:
        return []
    return send_to(state, part, choice, reason, now, reserve=reserve)


def send_to(
    state: FanoutState, part: Part, choice: Choice, reason: str, now: float, *, reserve: float = 0.0
) -> list[FanoutEffect]:
    """Send the part to the chosen leaf, unless the retry budget is exhausted."""
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
        busy_mark_s=state.room.busy_s,
    )
    part.runs += 1
    part.arrivals += 1
    part.calls.append(call)
    part.open_calls.append(call)
    state.calls[call.call_id] = call
    state.loop_lag.call_queued(call.call_id)
    due = overdue_at(state, call, now)
    leaf.waiting[call.call_id] = due
    leaf.call_sent()
    if choice.distance is not Distance.OWN and leaf.host_pace is not None:
        answer_bytes = state.timings.answer_bytes(part.query.route)
        state.leavings.sent(choice.distance, choice.why, answer_bytes + CALL_BYTES)
    leaf.cold_meter.record_call(now)
    if leaf.quota is not None:
        leaf.quota.take()
    require_may_be_sent(state, call, now)
    part.retry_at = math.inf
    schedule_hedge(state, call, due, now)
    return [SendCall(call)]


def overdue_at(state: FanoutState, call: Call, now: float) -> float:
    """Return when a call becomes overdue, allowing for the event-loop lag of this node."""
    own_s = own_delay_s(state, call, now)
    if not call.left:
        return call.sent_at + state.timings.connect_overdue_s(call.leaf) + own_s
    return call.left_at + state.timings.overdue_s(call.part.query.route, call.leaf, now) + own_s


def own_delay_s(state: FanoutState, call: Call, now: float) -> float:
    """Return for how long this node itself may have delayed an open call.

    Opening a connection waits for all its other work; an answer that has arrived waits until those of
    the other open calls are read.
    """
    lag_s = state.loop_lag.lag_s(now)
    busy_s = state.room.busy_since_s(call.busy_mark_s)
    if call.left:
        busy_s = min(busy_s, state.read_backlog_s())
    return max(lag_s, busy_s)


def schedule_hedge(state: FanoutState, call: Call, due: float, now: float) -> None:
    """Schedule the hedge of a call that becomes overdue at `due`."""
    part = call.part
    part.hedge_at = hedge_time(state, call, due, now)
    state.review_at(part.query, part.hedge_at)


def hedge_time(state: FanoutState, call: Call, due: float, now: float) -> float:
    """Return when to hedge: when the call is overdue, or earlier if a hedge would then be too late."""
    if not call.left:
        return due
    if not can_hedge(call.part):
        return math.inf
    query = call.part.query
    median_s = state.timings.median_s(query.route)
    latest = query.answer_by - HEDGE_MARGIN_FACTOR * (median_s + state.timings.max_rtt_s())
    if state.room.is_on:
        # While its own work may explain the wait, a hedge would only add to it.
        latest = max(latest, call.left_at + median_s + own_delay_s(state, call, now))
    return min(due, latest) if latest > call.left_at + median_s else due


def end_others(state: FanoutState, part: Part, now: float) -> list[FanoutEffect]:
    """Abandon the remaining open calls of a part that has its reply."""
    others = part.open_calls
    part.open_calls = []
    return [_abandon(state, call, _linger_s(call, now), now) for call in others]


def end_all(
    state: FanoutState, query: Query, now: float, *, linger: bool = True
) -> list[FanoutEffect]:
    """Abandon all open calls of a query; with `linger`, still wait a while for their replies."""
    effects: list[FanoutEffect] = []
    for part in query.parts:
        effects += [
            _abandon(state, call, _linger_s(call, now) if linger else 0.0, now)
            for call in part.open_calls
        ]
        part.open_calls = []
    return effects


def end_unsent(state: FanoutState, part: Part, now: float) -> list[FanoutEffect]:
    """Abandon the calls that still wait for a connection; they have neither run nor arrived."""
    unsent = [call for call in part.open_calls if not call.left]
    for call in unsent:
        part.open_calls.remove(call)
        uncount(state, call, now, arrived=False)
    return [_abandon(state, call, 0.0, now) for call in unsent]


def uncount(state: FanoutState, call: Call, now: float, *, arrived: bool) -> None:
    """Remove a call that has not run from its part's counts; refund it if it never arrived."""
    part = call.part
    part.runs -= 1
    if arrived:
        return
    part.arrivals -= 1
    if call.leaf.quota is not None:
        call.leaf.quota.refund()
    if call.extra:
        state.budget.refund(part.service, now)


def can_hedge(part: Part) -> bool:
    """Return whether the part may have another call in parallel with its open ones."""
    query = part.query
    return query.route.idempotent and not query.is_trial and part.runs < _max_runs(part)


def _linger_s(call: Call, now: float) -> float:
    """Return how long to wait for an abandoned call; 0 at a slow or full leaf, whose slots are needed.

    At a full leaf, calls that nobody awaits delay the others, so that these become late in turn, and
    the queue stays full long after the pause or burst that filled it.
    """
    if call.leaf.is_slow(now) or not has_free_slot(call.leaf, now):
        return 0.0
    return LINGER_S


def is_overdue(state: FanoutState, call: Call, now: float) -> bool:
    """Return whether a call is overdue, also by what this node has since seen of its own delay."""
    due = call.leaf.waiting.get(call.call_id, math.inf)
    if state.room.is_on and now >= due:
        due += own_delay_s(state, call, now)
    return now >= due


def _abandon(state: FanoutState, call: Call, linger_s: float, now: float) -> EndCall:
    call.abandoned = True
    is_late = is_overdue(state, call, now)
    return EndCall(call, linger_s, is_late and has_free_slot(call.leaf, now))


def _max_runs(part: Part) -> int:
    return max(1, part.query.route.max_leaves) if part.query.route.idempotent else 1
