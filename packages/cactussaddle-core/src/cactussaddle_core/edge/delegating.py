"""Queries that this node hands to a stronger one, and what becomes of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.delegation.model import CancelDelegated
from cactussaddle_core.delegation.model import DelegateAnswered
from cactussaddle_core.delegation.model import Delegated
from cactussaddle_core.delegation.model import DelegateLost
from cactussaddle_core.delegation.model import SendDelegated
from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.effects import LogEvent
from cactussaddle_core.fanout.effects import Declined
from cactussaddle_core.fanout.reduce import DEADLINE_MARGIN_S

if TYPE_CHECKING:
    from cactussaddle_core.delegation.model import DelegateRefused
    from cactussaddle_core.delegation.model import DelegateReplied
    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.routing.model import Route

# A delegate that answers nothing is awaited for this fraction of the caller's time; the rest is enough
# for a new attempt. One that answers others ends the query in time by itself.
AWAIT_FRACTION = 0.6
# The delegate has to end a query this long before the caller's time is over.
RETURN_MARGIN_S = 0.01
# Larger requests are not worth a second copy on the way.
MAX_REQUEST_BYTES = 16 * 1024
NO_ANSWER = "no answer from the node that ran the query"


def delegate(
    state: EdgeState, request: CallerRequest, route: Route, arrived_at: float, now: float
) -> list[Effect] | None:
    """Hand a query to a stronger node; None if it should run here.

    A query that came from another node is never handed on. One whose route is bound to regions stays
    at the node that its caller has connected to, and so does one where requests need keys.
    """
    table = state.current_table.table
    assert table is not None
    if request.delegated or not route.idempotent or route.regions or table.keys is not None:
        return None
    if state.stopping.asked or _size(request) > MAX_REQUEST_BYTES:
        return None
    member = state.delegates.choose(route.name, len(route.shards), state.fanout.rng, now)
    if member is None:
        return None
    time_s = min(request.timeout_s, route.timeout_s) - DEADLINE_MARGIN_S
    delegated = Delegated(
        request=request,
        route=route,
        table_version=table.version,
        member=member,
        arrived_at=arrived_at,
        sent_at=now,
        give_up_at=arrived_at + AWAIT_FRACTION * time_s,
        end_at=arrived_at + time_s,
    )
    if delegated.give_up_at <= now:
        return None
    state.delegated[request.req_id] = delegated
    state.delegates.sent(member.node)
    return [SendDelegated(delegated)]


def _size(request: CallerRequest) -> int:
    withheld = request.credential.all_headers
    passed_on = request.headers if withheld is None else withheld.reveal()
    headers = sum(len(name) + len(value) for name, value in passed_on)
    return len(request.target) + headers + len(request.body)


def answered(
    state: EdgeState, delegated: Delegated, outcome: DelegateReplied | DelegateLost, now: float
) -> list[Effect]:
    """Answer the caller by what came of a query that a delegate has begun."""
    node = delegated.member.node
    if isinstance(outcome, DelegateLost):
        state.delegates.lost(node, now)
        return _give_up(delegated, outcome.reason, now)
    took_s = now - delegated.arrived_at
    state.delegates.answered(node, delegated.route.name, took_s, now)
    note = _note(delegated, f"status {outcome.status}", "", now)
    return [DelegateAnswered(delegated, outcome), note]


def caller_gone(state: EdgeState, req_id: int, now: float) -> list[Effect] | None:
    """End a delegated query whose caller has left; None if the request is not delegated."""
    delegated = state.delegated.pop(req_id, None)
    if delegated is None:
        return None
    state.delegates.cancelled(delegated.member.node)
    after_ms = round((now - delegated.arrived_at) * 1000.0, 1)
    left = log.CallerLeft(
        delegated.request.request_id, delegated.route.name, after_ms, 1, state.stopping.asked
    )
    return [LogEvent(left), CancelDelegated(req_id)]


def end_overdue(state: EdgeState, now: float) -> list[Effect]:
    """Give up the delegated queries that have been awaited for too long, or all as the process exits."""
    must_give_up = state.stopping.must_give_up(now)
    overdue = [
        delegated
        for delegated in state.delegated.values()
        if must_give_up or _is_overdue(state, delegated, now)
    ]
    effects: list[Effect] = []
    for delegated in overdue:
        del state.delegated[delegated.request.req_id]
        state.delegates.lost(delegated.member.node, now)
        effects += [CancelDelegated(delegated.request.req_id), *_give_up(delegated, NO_ANSWER, now)]
    return effects


def _is_overdue(state: EdgeState, delegated: Delegated, now: float) -> bool:
    if now < delegated.give_up_at:
        return False
    node, sent_at = delegated.member.node, delegated.sent_at
    return now >= delegated.end_at or not state.delegates.has_answered_since(node, sent_at)


def _give_up(delegated: Delegated, reason: str, now: float) -> list[Effect]:
    request = delegated.request
    declined = Declined(
        req_id=request.req_id,
        request_id=request.request_id,
        code=ResultCode.OUTCOME_UNKNOWN,
        message=NO_ANSWER,
        ran=True,
        retry_after_s=0.0,
        fingerprint=request.fingerprint,
        host=request.host,
        path=request.target.split(b"?", 1)[0].decode("latin-1"),
    )
    return [declined, _note(delegated, "lost", reason, now)]


def note_refused(delegated: Delegated, refused: DelegateRefused, now: float) -> LogEvent:
    """Return the log line for a query that a delegate has not begun; this node runs it."""
    return _note(delegated, "refused", refused.reason, now)


def _note(delegated: Delegated, result: str, message: str, now: float) -> LogEvent:
    event = log.QueryDelegated(
        request=delegated.request.request_id,
        route=delegated.route.name,
        delegate=delegated.member.node,
        result=result,
        message=message[: log.MAX_LOGGED_TEXT],
        table=delegated.table_version,
        took_ms=round((now - delegated.arrived_at) * 1000.0, 1),
    )
    return LogEvent(event)
