"""Builds the answer of a query, of which there is exactly one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.fanout.admit import with_jitter
from cactussaddle_core.fanout.effects import Declined
from cactussaddle_core.fanout.effects import Merged
from cactussaddle_core.fanout.effects import Relayed
from cactussaddle_core.fanout.promises import require_admits_run
from cactussaddle_core.fanout.promises import require_not_run
from cactussaddle_core.fanout.promises import require_one_snapshot
from cactussaddle_core.fanout.records import top_records
from cactussaddle_core.fanout.sending import end_all

if TYPE_CHECKING:
    from cactussaddle_core.fanout.effects import FanoutEffect
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Query

# Retry delay for a caller whose request has not run.
RETRY_AFTER_S = 0.3


def finish_if_settled(state: FanoutState, query: Query, now: float) -> list[FanoutEffect]:
    """Answer a query once it is complete or no better answer is possible."""
    if not query.unanswered:
        return answer(state, query, now)
    shortfall = query.needed() - query.answered()
    if shortfall <= 0:
        if now >= query.answer_by or not any(part.is_waiting() for part in query.unanswered):
            return answer(state, query, now)
        return []
    waiting = sum(1 for part in query.unanswered if part.is_waiting()) + len(query.held_back)
    if waiting < shortfall:
        return decline(state, query, "no untried leaf is available", now)
    return []


def answer(state: FanoutState, query: Query, now: float) -> list[FanoutEffect]:
    """Answer with the replies received so far."""
    effects = _remove_query(state, query, now)
    if not query.gathers:
        reply = query.parts[0].reply
        assert reply is not None
        return [Relayed(query, reply), *effects]
    replies = [part.reply for part in query.parts if part.reply is not None]
    signatures = tuple(reply.signature for reply in replies)
    require_one_snapshot(query)
    records = top_records((reply.body for reply in replies), query.route.top)
    missing = len(query.parts) - len(replies)
    state.merged(query, now)
    return [Merged(query, signatures, missing, records), *effects]


def decline(state: FanoutState, query: Query, message: str, now: float) -> list[FanoutEffect]:
    """Answer without a result: relay a leaf's failure, or report whether the request may have run.

    A failure whose status would deny the run is not relayed.
    """
    effects = _remove_query(state, query, now)
    ran = query.may_have_run()
    if not query.gathers:
        failure = query.parts[0].failure
        if ran and failure is not None:
            require_admits_run(query, failure)
            return [Relayed(query, failure), *effects]
    if not ran:
        require_not_run(query)
        code = ResultCode.NOT_RUN
    elif query.deadline <= now < state.give_up_at:
        code = ResultCode.DEADLINE_EXCEEDED
    elif query.route.idempotent:
        code = ResultCode.INSUFFICIENT_COVERAGE
    else:
        code = ResultCode.OUTCOME_UNKNOWN
    retry_after_s = 0.0 if ran else with_jitter(state, RETRY_AFTER_S)
    request = query.request
    declined = Declined(
        request.req_id, request.request_id, code, message, ran, retry_after_s, query
    )
    return [declined, *effects]


def _remove_query(state: FanoutState, query: Query, now: float) -> list[FanoutEffect]:
    state.queries.pop(query.request.req_id, None)
    return end_all(state, query, now)
