"""Handles callers' requests at their root node: admission, fan-out and answers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import CancelCall
from cactussaddle_core.calls import LeafCall
from cactussaddle_core.calls import LeafResult
from cactussaddle_core.codes import CODE_INFO
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.hashing import hash64
from cactussaddle_core.node import intake
from cactussaddle_core.node import orders
from cactussaddle_core.node import stopping
from cactussaddle_core.node.effects import Answer
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.state import PolicyName
from cactussaddle_core.owner.book import refusal
from cactussaddle_core.query import reduce as query
from cactussaddle_core.query.state import QueryAnswer
from cactussaddle_core.query.state import QueryRequest
from cactussaddle_core.query.state import SendCall
from cactussaddle_core.query.state import SendCancel

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Route
    from cactussaddle_core.node.events import CallerGone
    from cactussaddle_core.node.events import CallerRequest
    from cactussaddle_core.node.events import LinkDown
    from cactussaddle_core.node.events import PeerMessage
    from cactussaddle_core.node.events import Unsent
    from cactussaddle_core.node.state import NodeState


RETRY_AFTER_S = 1.0
NODE_AVOID_S = 0.5


def request(state: NodeState, event: CallerRequest, now: float, wall: float) -> list[Any]:
    """Start or refuse a caller's request."""
    if state.cfg.revision == 0:
        return [
            orders.answer(
                event.req_id, ResultCode.NOT_CONFIGURED, "no configuration yet", RETRY_AFTER_S
            )
        ]
    route = state.cfg.routes.get(event.route)
    if route is None:
        return [
            orders.answer(event.req_id, ResultCode.UNKNOWN_ROUTE, f"no route {event.route!r}", 0.0)
        ]
    deadline_ms = event.deadline_ms if event.deadline_ms is not None else route["deadline_ms"]
    if stopping.ends_before(state, now + deadline_ms / 1000.0):
        return [orders.answer(event.req_id, ResultCode.STOPPING, "node is stopping", RETRY_AFTER_S)]
    if not route["idempotent"]:
        return orders.submit(state, event, route, now, wall)
    query_request = _query_request(event, route)
    if state.policy is PolicyName.BASELINE:
        return _run(state, query.start_query(state.queries, query_request, now), now)
    return _run(state, intake.offer(state, query_request, now), now)


def gone(state: NodeState, event: CallerGone, now: float, wall: float) -> list[Any]:
    """Cancel the request of a caller that closed its connection."""
    effects = query.caller_gone(state.queries, event.req_id)
    return _run(state, effects, now) + _run(state, intake.gone(state, event.req_id, now), now)


def tick(state: NodeState, now: float) -> list[Any]:
    """Run the timers that are due."""
    effects = _run(state, query.tick(state.queries, now), now)
    return effects + _run(state, intake.tick(state, now), now)


def result_arrived(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Handle the result of a call that an owner returned."""
    if event.message.call_id in state.order_calls:
        return orders.result_arrived(state, event.message, now)
    if event.message.outcome is CallOutcome.QUEUE_FULL:
        intake.queue_was_full(state, event.message.call_id, now)
    return _run(state, query.take_result(state.queries, event.message, now), now)


def link_down(state: NodeState, event: LinkDown, now: float, wall: float) -> list[Any]:
    """End all calls that are pending at a node whose stream ended."""
    if not event.node:
        return []
    state.down_until[event.node] = now + NODE_AVOID_S
    pending = state.queries.pending.values()
    effects: list[Any] = []
    for call_id in [call.call_id for call in pending if call.node == event.node]:
        effects += _run(state, query.take_result(state.queries, _link_lost(call_id), now), now)
    calls = state.order_calls.items()
    for call_id in [call_id for call_id, call in calls if call.node == event.node]:
        effects += orders.result_arrived(state, _link_lost(call_id), now)
    return effects


def unsent(state: NodeState, event: Unsent, now: float, wall: float) -> list[Any]:
    """End a call that could not be sent to its node."""
    if not isinstance(event.message, LeafCall):
        return []
    state.down_until[event.node] = now + NODE_AVOID_S
    if event.message.call_id in state.order_calls:
        refused = refusal(event.message, CallOutcome.REFUSED, 0.0)
        return orders.result_arrived(state, refused, now)
    lost = _link_lost(event.message.call_id)
    return _run(state, query.take_result(state.queries, lost, now), now)


def _run(state: NodeState, effects: list[Any], now: float) -> list[Any]:
    """Convert the query reducer's effects to node effects; an answer may start a queued query."""
    out: list[Any] = []
    pending = deque(effects)
    while pending:
        effect = pending.popleft()
        if isinstance(effect, QueryAnswer):
            out.append(_answer(effect))
            pending.extend(intake.ended(state, effect, now))
        elif isinstance(effect, Answer):
            out.append(effect)
        elif isinstance(effect, SendCall):
            out.append(SendPeer(effect.node, effect.call))
        elif isinstance(effect, SendCancel):
            out.append(SendPeer(effect.node, CancelCall(effect.call_id)))
    return out


def _link_lost(call_id: int) -> LeafResult:
    return LeafResult(call_id, CallOutcome.LINK_DOWN, b"", 0.0, 0.0, 0.0)


def _query_request(event: CallerRequest, route: Route) -> QueryRequest:
    deadline_ms = event.deadline_ms if event.deadline_ms is not None else route["deadline_ms"]
    coverage = event.min_coverage if event.min_coverage is not None else route["min_coverage"]
    return QueryRequest(
        req_id=event.req_id,
        route=event.route,
        services=tuple(route["services"]),
        priority=route["priority"],
        deadline_s=deadline_ms / 1000.0,
        min_coverage=coverage,
        limit=event.limit,
        fingerprint=hash64(event.route, event.body),
        body=event.body,
    )


def _answer(effect: QueryAnswer) -> Answer:
    doc: dict[str, Any] = {
        "code": int(effect.code),
        "name": effect.code.name,
        "snapshot": effect.snapshot,
        "coverage": effect.answered / effect.of if effect.of else 0.0,
        "shards": {"answered": effect.answered, "of": effect.of},
        "hits": effect.hits,
        "message": effect.message,
    }
    if effect.retry_after_s > 0.0:
        doc["retry_after_ms"] = round(effect.retry_after_s * 1000.0)
    return Answer(effect.req_id, CODE_INFO[effect.code].status, doc, effect.retry_after_s)
