"""Fan-out reducer: starts queries, handles the ends of their calls, and reviews them when due."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.fanout.admit import STOPPING
from cactussaddle_core.fanout.admit import refusal
from cactussaddle_core.fanout.choose import cost_s
from cactussaddle_core.fanout.effects import Declined
from cactussaddle_core.fanout.estimate import queue_rounds
from cactussaddle_core.fanout.evidence import record_call_end
from cactussaddle_core.fanout.finish import answer
from cactussaddle_core.fanout.finish import decline
from cactussaddle_core.fanout.finish import finish_if_settled
from cactussaddle_core.fanout.hedging import hedge
from cactussaddle_core.fanout.model import NEVER_ARRIVED
from cactussaddle_core.fanout.model import NOT_RUN
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fanout.runs import record_run
from cactussaddle_core.fanout.sending import FIRST
from cactussaddle_core.fanout.sending import end_all
from cactussaddle_core.fanout.sending import end_others
from cactussaddle_core.fanout.sending import overdue_at
from cactussaddle_core.fanout.sending import schedule_hedge
from cactussaddle_core.fanout.sending import send
from cactussaddle_core.fanout.sending import send_to
from cactussaddle_core.fanout.sending import uncount
from cactussaddle_core.fanout.state import Choice
from cactussaddle_core.fanout.state import Query
from cactussaddle_core.fanout.trial import send_next
from cactussaddle_core.fanout.trial import send_rest
from cactussaddle_core.fanout.trial import start_trial

if TYPE_CHECKING:
    from cactussaddle_core.access.admit import Terms
    from cactussaddle_core.fanout.effects import FanoutEffect
    from cactussaddle_core.fanout.model import CallEnd
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.routing.model import Route

# Reserve for merging the answer and for clock error, in addition to the caller's round trip.
ANSWER_MARGIN_S = 0.006
# A node whose event loop lags answers earlier, by at most this fraction of the objective.
MAX_LAG_FRACTION = 0.25
# A query ends this long before its caller's timeout.
DEADLINE_MARGIN_S = 0.02
# Base of the exponential backoff before a refused part is sent to the same leaves again.
REFUSAL_BACKOFF_S = 0.03
MAX_REFUSAL_RETRIES = 4


def begin(
    state: FanoutState,
    request: CallerRequest,
    route: Route,
    services: tuple[str, ...],
    table_version: int,
    waited_s: float,
    now: float,
    trial_of: frozenset[str] | None = None,
    terms: Terms | None = None,
) -> list[FanoutEffect]:
    """Start a query at one leaf of each service; it was queued on this node for `waited_s`.

    `trial_of` names the services whose leaves went down under the request, if this is its trial. `terms`
    are those of its team; without, it runs on those of its route.
    """
    arrived_at = now - waited_s
    answer_by, deadline = time_limits(state, request, route, arrived_at, now)
    query = Query(
        request=request,
        route=route,
        table_version=table_version,
        now=arrived_at,
        answer_by=answer_by,
        deadline=deadline,
        terms=terms,
    )
    query.waited_s = waited_s
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
    if trial_of is not None:
        effects += start_trial(state, query, trial_of, now)
    else:
        for part in query.parts:
            effects += send(state, part, FIRST, now)
    state.review_at(query, answer_by)
    state.review_at(query, deadline)
    return effects + finish_if_settled(state, query, now)


def time_limits(
    state: FanoutState, request: CallerRequest, route: Route, arrived_at: float, now: float
) -> tuple[float, float]:
    """Return by when a request should be answered, and when it ends in any case."""
    deadline = arrived_at + min(request.timeout_s, route.timeout_s) - DEADLINE_MARGIN_S
    deadline = min(deadline, state.give_up_at)
    lag_s = min(state.loop_lag.lag_s(now), MAX_LAG_FRACTION * route.objective_s)
    margin_s = request.caller_rtt_s + ANSWER_MARGIN_S + lag_s
    return min(deadline, arrived_at + route.objective_s - margin_s), deadline


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
    call.busy_mark_s = state.room.busy_s
    state.loop_lag.call_sent(call_id, now)
    state.room.part_sent()
    if now > call.sent_at:
        state.timings.record_connect_wait(now - call.sent_at)
    due = overdue_at(state, call, now)
    if call.call_id in call.leaf.waiting:
        call.leaf.waiting[call_id] = due
    if not call.abandoned:
        schedule_hedge(state, call, due, now)


def call_ended(state: FanoutState, end: CallEnd, now: float) -> list[FanoutEffect]:
    """Handle the end of a call: update its leaf, then answer or retry its part."""
    call = state.calls.pop(end.call_id, None)
    if call is None:
        return []
    state.loop_lag.call_ended(call.call_id)
    state.room.part_read()
    call.ended_at = now
    call.ending = end.ending
    call.detail = end.detail
    record_call_end(state, call, end, now)
    record_run(state, call)
    if call.abandoned:
        return []
    part = call.part
    part.open_calls.remove(call)
    reply = end.reply if end.ending is CallEnding.ANSWERED else None
    if reply is not None and part.query.take_reply(part, reply):
        effects = end_others(state, part, now)
        if part.query.held_back:
            effects += send_rest(state, part.query, now)
        return effects + _answer_if_enough(state, part.query, now)
    if end.ending in NOT_RUN:
        uncount(state, call, now, arrived=end.ending not in NEVER_ARRIVED)
    if end.ending is CallEnding.FAILED and end.reply is not None and not end.reply.denies_run:
        part.failure = end.reply
    if part.query.is_trial:
        effects = _continue_trial(state, part, end, now)
    else:
        effects = _retry(state, part, end, now)
    return effects + finish_if_settled(state, part.query, now)


def caller_gone(state: FanoutState, req_id: int, now: float) -> list[FanoutEffect]:
    """Cancel the query of a caller that disconnected, so that the leaves stop working on it."""
    query = state.queries.pop(req_id, None)
    return [] if query is None else end_all(state, query, now, linger=False)


def give_up(state: FanoutState, now: float) -> list[FanoutEffect]:
    """Answer all queries because the process exits, those with enough parts with what they have."""
    effects: list[FanoutEffect] = []
    for query in list(state.queries.values()):
        if query.answered() >= query.needed():
            effects += answer(state, query, now)
        else:
            effects += decline(state, query, STOPPING, now)
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
        is_stopping = now >= state.give_up_at
        return decline(state, query, STOPPING if is_stopping else "deadline exceeded", now)
    effects: list[FanoutEffect] = []
    for part in list(query.unanswered):
        if now >= part.retry_at:
            effects += _retry_refused(state, part, now)
        elif now >= part.hedge_at:
            effects += hedge(state, part, now)
    effects += finish_if_settled(state, query, now)
    if query.request.req_id in state.queries:
        _schedule_review(state, query, now)
    return effects


def _schedule_review(state: FanoutState, query: Query, now: float) -> None:
    due = query.answer_by if now < query.answer_by else query.deadline
    for part in query.unanswered:
        due = min(due, part.hedge_at, part.retry_at)
    state.review_at(query, due)


def _continue_trial(state: FanoutState, part: Part, end: CallEnd, now: float) -> list[FanoutEffect]:
    """After an unanswered call of a trial, go on only if no leaf has run it."""
    query = part.query
    if end.ending not in NOT_RUN:
        query.held_back = []
        return []
    effects = send(state, part, f"retry: {end.ending.value}", now)
    return effects or send_next(state, query, now)


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
            cost = cost_s(state, part.query.route, call.leaf, now)
            choice = Choice(call.leaf, cost, 1, queue_rounds(call.leaf, now))
            return send_to(state, part, choice, "retry: refused", now)
    return []
