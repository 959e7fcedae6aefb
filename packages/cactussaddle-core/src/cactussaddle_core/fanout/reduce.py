"""Fan-out reducer: starts queries, handles the ends of their calls, and reviews them when due."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.fanout.admit import refusal
from cactussaddle_core.fanout.choose import choose
from cactussaddle_core.fanout.choose import cost_s
from cactussaddle_core.fanout.choose import expected_s
from cactussaddle_core.fanout.choose import has_free_slot
from cactussaddle_core.fanout.finish import decline
from cactussaddle_core.fanout.finish import finish_if_settled
from cactussaddle_core.fanout.looplag import MAX_SEND_GAP_S
from cactussaddle_core.fanout.model import NEVER_ARRIVED
from cactussaddle_core.fanout.model import NOT_RUN
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fanout.model import Declined
from cactussaddle_core.fanout.sending import FIRST
from cactussaddle_core.fanout.sending import HEDGE
from cactussaddle_core.fanout.sending import can_hedge
from cactussaddle_core.fanout.sending import end_all
from cactussaddle_core.fanout.sending import end_others
from cactussaddle_core.fanout.sending import end_unsent
from cactussaddle_core.fanout.sending import hedge_time
from cactussaddle_core.fanout.sending import overdue_at
from cactussaddle_core.fanout.sending import schedule_hedge
from cactussaddle_core.fanout.sending import send
from cactussaddle_core.fanout.sending import send_to
from cactussaddle_core.fanout.sending import uncount
from cactussaddle_core.fanout.state import Choice
from cactussaddle_core.fanout.state import Query
from cactussaddle_core.fleet.hints import HintKind
from cactussaddle_core.fleet.leaf import SLOW_RATIO
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.rollouts.rollouts import CompletedCall

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import CallEnd
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fanout.model import FanoutEffect
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Route

# Reserve for merging the answer and for clock error, in addition to the caller's round trip.
ANSWER_MARGIN_S = 0.006
# A node whose event loop lags answers earlier, by at most this fraction of the objective.
MAX_LAG_FRACTION = 0.25
# A query ends this long before its caller's timeout.
DEADLINE_MARGIN_S = 0.02
# Extra calls in the retry budget that hedges leave for retries of failed calls.
HEDGE_RESERVE = 1.0
# A leaf is considered down if a connection to it could not be opened for this long.
CONNECT_DOWN_AFTER_S = 0.25
# Base of the exponential backoff before a refused part is sent to the same leaves again.
REFUSAL_BACKOFF_S = 0.03
# While a leaf still answers other calls, a hedge that would wait in another leaf's queue only makes
# that queue longer. The leaves are checked again after this interval.
FULL_QUEUES_RECHECK_S = 0.03
# A call overdue by this factor may be on a connection that no longer delivers data.
SILENT_FACTOR = 8.0
MAX_REFUSAL_RETRIES = 4
COMPLETED = (CallEnding.ANSWERED, CallEnding.FAILED, CallEnding.BROKEN)


def begin(
    state: FanoutState,
    request: CallerRequest,
    route: Route,
    services: tuple[str, ...],
    table_version: int,
    waited_s: float,
    now: float,
) -> list[FanoutEffect]:
    """Start a query at one leaf of each service; it was queued on this node for `waited_s`."""
    arrived_at = now - waited_s
    deadline = arrived_at + min(request.timeout_s, route.timeout_s) - DEADLINE_MARGIN_S
    lag_s = min(state.loop_lag.lag_s(now), MAX_LAG_FRACTION * route.objective_s)
    margin_s = request.caller_rtt_s + ANSWER_MARGIN_S + lag_s
    answer_by = min(deadline, arrived_at + route.objective_s - margin_s)
    query = Query(
        request=request,
        route=route,
        table_version=table_version,
        now=arrived_at,
        answer_by=answer_by,
        deadline=deadline,
    )
    query.ask_services(services)
    for service in services:
        state.budget.count_request(service, now)
    if deadline <= now:
        return [_refuse(query, "deadline exceeded before the query started", 0.0)]
    refused = refusal(state, query, now)
    if refused is not None:
        return [_refuse(query, refused.reason, refused.retry_after_s)]
    state.queries[request.req_id] = query
    effects: list[FanoutEffect] = []
    for part in query.parts:
        effects += send(state, part, FIRST, now)
    state.review_at(query, answer_by)
    state.review_at(query, deadline)
    return effects + finish_if_settled(state, query, now)


def _refuse(query: Query, message: str, retry_after_s: float) -> Declined:
    request = query.request
    code = ResultCode.NOT_RUN
    return Declined(request.req_id, request.request_id, code, message, False, retry_after_s, query)


def call_left(state: FanoutState, call_id: int, now: float) -> None:
    """Record that a call's request has been sent to the leaf."""
    call = state.calls.get(call_id)
    if call is None:
        return
    call.left_at = now
    state.loop_lag.call_sent(call_id, now)
    if now > call.sent_at:
        state.timings.record_connect_wait(now - call.sent_at)
    due = overdue_at(state, call, now)
    if call.call_id in call.leaf.waiting:
        call.leaf.waiting[call_id] = due
    if not call.abandoned:
        schedule_hedge(state, call, due)


def call_ended(state: FanoutState, end: CallEnd, now: float) -> list[FanoutEffect]:
    """Handle the end of a call: update its leaf, then answer or retry its part."""
    call = state.calls.pop(end.call_id, None)
    if call is None:
        return []
    state.loop_lag.call_ended(call.call_id)
    call.ended_at = now
    call.ending = end.ending
    call.detail = end.detail
    _update_leaf(state, call, end, now)
    if call.abandoned:
        return []
    part = call.part
    part.open_calls.remove(call)
    reply = end.reply if end.ending is CallEnding.ANSWERED else None
    if reply is not None and part.query.take_reply(part, reply):
        return end_others(part, now) + _answer_if_enough(state, part.query, now)
    if end.ending in NOT_RUN:
        uncount(state, call, now, arrived=end.ending not in NEVER_ARRIVED)
    if end.ending is CallEnding.FAILED:
        part.failure = end.reply
    effects = _retry(state, part, end, now)
    return effects + finish_if_settled(state, part.query, now)


def caller_gone(state: FanoutState, req_id: int, now: float) -> list[FanoutEffect]:
    """Cancel the query of a caller that disconnected, so that the leaves stop working on it."""
    query = state.queries.pop(req_id, None)
    return [] if query is None else end_all(query, now, linger=False)


def give_up(state: FanoutState, now: float) -> list[FanoutEffect]:
    """Answer all queries without a result, because the process exits."""
    effects: list[FanoutEffect] = []
    for query in list(state.queries.values()):
        effects += decline(state, query, "node is shutting down", now)
    return effects


def tick(state: FanoutState, now: float) -> list[FanoutEffect]:
    """Review the queries whose review is due."""
    effects: list[FanoutEffect] = []
    while (query := state.pop_due(now)) is not None:
        effects += _review(state, query, now)
    return effects


def _answer_if_enough(state: FanoutState, query: Query, now: float) -> list[FanoutEffect]:
    """After a part was answered, answer the query if enough parts are now available."""
    if query.answered() < query.needed():
        return []
    return finish_if_settled(state, query, now)


def _review(state: FanoutState, query: Query, now: float) -> list[FanoutEffect]:
    if now >= query.deadline:
        if query.answered() >= query.needed():
            return finish_if_settled(state, query, now)
        return decline(state, query, "deadline exceeded", now)
    effects: list[FanoutEffect] = []
    for part in list(query.unanswered):
        if now >= part.retry_at:
            effects += _retry_refused(state, part, now)
        elif now >= part.hedge_at:
            effects += _hedge(state, part, now)
    effects += finish_if_settled(state, query, now)
    if query.request.req_id in state.queries:
        _schedule_review(state, query, now)
    return effects


def _schedule_review(state: FanoutState, query: Query, now: float) -> None:
    due = query.answer_by if now < query.answer_by else query.deadline
    for part in query.unanswered:
        due = min(due, part.hedge_at, part.retry_at)
    state.review_at(query, due)


def _hedge(state: FanoutState, part: Part, now: float) -> list[FanoutEffect]:
    last = part.open_calls[-1] if part.open_calls else None
    if last is not None and _is_locally_delayed(state, last, now):
        state.review_at(part.query, part.hedge_at)
        return []
    part.hedge_at = math.inf
    effects = end_unsent(state, part, now)
    if not part.open_calls:
        return effects + send(state, part, HEDGE, now, reserve=HEDGE_RESERVE)
    choice = choose(state, part, now) if can_hedge(part) else None
    if choice is None:
        return effects
    if _is_being_served(state, part, now) and not _would_help(state, part, choice.leaf, now):
        part.hedge_at = now + FULL_QUEUES_RECHECK_S
        return effects
    return effects + send_to(state, part, choice, HEDGE, now, reserve=HEDGE_RESERVE)


def _is_being_served(state: FanoutState, part: Part, now: float) -> bool:
    """Return whether the part's leaf has answered other calls since, and may still answer this one."""
    last = part.open_calls[-1]
    overdue_s = state.timings.overdue_s(part.query.route, last.leaf, now)
    is_lost = now - last.left_at > SILENT_FACTOR * overdue_s
    return last.leaf.last_answer_at > last.left_at and not is_lost


def _would_help(state: FanoutState, part: Part, leaf: Leaf, now: float) -> bool:
    """Return whether a hedge would run at once at a leaf, and end by `answer_by` unless that is past."""
    query = part.query
    if not has_free_slot(leaf, now):
        return False
    ends_at = now + expected_s(state, query.route, leaf, now)
    return ends_at < query.answer_by or now >= query.answer_by


def _is_locally_delayed(state: FanoutState, call: Call, now: float) -> bool:
    """Return whether this node's own lag may explain a late call; if so, its hedge is deferred."""
    part = call.part
    if not call.left and state.loop_lag.is_sending(now):
        part.hedge_at = now + MAX_SEND_GAP_S
        return True
    part.hedge_at = hedge_time(state, call, overdue_at(state, call, now))
    return part.hedge_at > now


def _retry(state: FanoutState, part: Part, end: CallEnd, now: float) -> list[FanoutEffect]:
    """Send a part whose call failed to another leaf, or schedule a retry if all leaves refused it."""
    effects = send(state, part, f"retry: {end.ending.value}", now)
    if effects or part.open_calls or end.ending is not CallEnding.REFUSED:
        return effects
    if part.refusals < MAX_REFUSAL_RETRIES:
        part.refusals += 1
        part.retry_at = now + REFUSAL_BACKOFF_S * 2.0**part.refusals
        state.review_at(part.query, part.retry_at)
    return effects


def _retry_refused(state: FanoutState, part: Part, now: float) -> list[FanoutEffect]:
    """Send a part that every leaf refused to an untried leaf, else to the one that refused first."""
    part.retry_at = math.inf
    effects = send(state, part, "retry: refused", now)
    if effects:
        return effects
    refused = [call for call in part.calls if call.ending is CallEnding.REFUSED]
    for call in sorted(refused, key=lambda call: call.ended_at):
        if state.may_call(call.leaf, now):
            choice = Choice(call.leaf, cost_s(state, part.query.route, call.leaf, now), 1)
            return send_to(state, part, choice, "retry: refused", now)
    return []


def _update_leaf(state: FanoutState, call: Call, end: CallEnd, now: float) -> None:
    """Update a leaf's load, availability, faults and timings from the end of a call."""
    leaf = call.leaf
    route = call.part.query.route
    elapsed_s = now - (call.left_at if call.left else call.sent_at)
    due = leaf.waiting.pop(call.call_id, math.inf)
    if end.load is not None:
        leaf.load = end.load
        leaf.load_at = now
    if end.ending in COMPLETED:
        _record_for_rollout(state, call, end, now)
    if end.ending is CallEnding.ANSWERED:
        leaf.answered(now)
        state.timings.record_total(route, leaf, now - call.sent_at)
        leaf.record_fault(False, now)
        leaf.record_slowness(state.timings.record_latency(route, leaf, elapsed_s, now), now)
        state.ran_well(call.part.query.request.fingerprint, leaf.name, now)
    elif end.ending in (CallEnding.REFUSED, CallEnding.FAILED):
        if end.wrong_leaf:
            leaf.displaced = True
            state.fleet.suspect(leaf, Availability.DOWN, now, "address now belongs to another leaf")
        else:
            leaf.answered(now)
        _record_fault(state, leaf, now)
    elif end.ending is CallEnding.BROKEN:
        leaf.record_broken_call(call.part.query.request.fingerprint, now)
        _record_fault(state, leaf, now)
    elif end.ending is CallEnding.NOT_SENT:
        state.fleet.suspect(leaf, Availability.DOWN, now, f"no connection: {end.detail}")
    elif end.ending is CallEnding.CANCELLED and now >= due:
        if not (call.left and leaf.is_slow(now)):
            is_dead = not call.left and elapsed_s >= CONNECT_DOWN_AFTER_S
            availability = Availability.DOWN if is_dead else Availability.SUSPECT
            state.fleet.suspect(
                leaf, availability, now, f"no answer in {1000.0 * elapsed_s:.0f} ms"
            )
        leaf.record_slowness(elapsed_s / state.timings.median_s(route), now)


def _record_for_rollout(state: FanoutState, call: Call, end: CallEnd, now: float) -> None:
    """Record a call as evidence for its service's rollout, if one is under way.

    The elapsed time includes the wait for a connection, as the median does, so delays caused by a
    busy node are part of both.
    """
    route = call.part.query.route
    limit_s = state.timings.rtt_s(call.leaf) + SLOW_RATIO * state.timings.median_total_s(route)
    limit_s += state.loop_lag.lag_s(now)
    elapsed_s = now - call.sent_at
    ok = end.ending is CallEnding.ANSWERED
    completed = CompletedCall(call.part.service, route.name, ok, elapsed_s, limit_s)
    state.rollouts.record_call(call.leaf, completed, now)


def _record_fault(state: FanoutState, leaf: Leaf, now: float) -> None:
    leaf.record_fault(True, now)
    state.fleet.hints.note(leaf, HintKind.FAULTS, 1.0)
