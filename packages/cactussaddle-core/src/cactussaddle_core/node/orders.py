"""Non-idempotent requests at their root: connects at-most-once state, leaves, store and peers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from cactussaddle_core import once
from cactussaddle_core.calls import CERTAINLY_NOT_RUN
from cactussaddle_core.calls import NEWEST_SNAPSHOT
from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import LeafCall
from cactussaddle_core.calls import LeafResult
from cactussaddle_core.calls import decode_answer
from cactussaddle_core.codes import CODE_INFO
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.hashing import hash64
from cactussaddle_core.hold import Verdict
from cactussaddle_core.node import holding
from cactussaddle_core.node.effects import Answer
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.effects import WriteRecords
from cactussaddle_core.wire import AttemptAnswer
from cactussaddle_core.wire import AttemptQuestion

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Route
    from cactussaddle_core.node.events import CallerRequest
    from cactussaddle_core.node.events import PeerMessage
    from cactussaddle_core.node.events import RecordsWritten
    from cactussaddle_core.node.events import StoreSeen
    from cactussaddle_core.node.state import NodeState
    from cactussaddle_core.query.view import LeafView


NO_LEAF_RETRY_S = 0.5
HELD_RETRY_S = 60.0
STORE_RETRY_S = 2.0
DEFAULT_RETRY_S = 1.0
RETRY_STATUSES = frozenset({409, 502, 503, 504})


class Order(NamedTuple):
    """An open request; `service` was chosen by its key from the services that may run it."""

    req_id: int
    route: str
    service: str
    priority: int
    fingerprint: int
    body: bytes


class OrderCall(NamedTuple):
    """A leaf call that makes one try of an attempt."""

    attempt: str
    try_no: int
    leaf: str
    node: str


def submit(
    state: NodeState, event: CallerRequest, route: Route, now: float, wall: float
) -> list[Any]:
    """Pass a caller's request to the at-most-once reducer."""
    if not event.key:
        message = f"route {event.route!r} needs the header Idempotency-Key"
        return [answer(event.req_id, ResultCode.BAD_REQUEST, message, 0.0)]
    fingerprint = hash64(event.route, event.body)
    if state.hold.verdict(holding.name_of(fingerprint), now) is Verdict.HOLD:
        message = "this request crashed the leaves that ran it"
        return [answer(event.req_id, ResultCode.HELD, message, HELD_RETRY_S)]
    key = f"{event.route}/{event.key}"
    if not state.store_up and not state.once.knows(key):
        message = "store is unreachable; this attempt was not run"
        code = ResultCode.OUTCOME_UNKNOWN if event.repeat else ResultCode.NOT_RUN
        return [answer(event.req_id, code, message, STORE_RETRY_S)]
    services = route["services"]
    service = services[hash64(event.key) % len(services)]
    order = Order(event.req_id, event.route, service, route["priority"], fingerprint, event.body)
    state.orders[str(event.req_id)] = order
    deadline_ms = event.deadline_ms if event.deadline_ms is not None else route["deadline_ms"]
    submitted = once.Submitted(
        req_id=str(event.req_id),
        key=key,
        fingerprint=holding.name_of(fingerprint),
        deadline=now + deadline_ms / 1000.0,
        wall=wall,
        repeat=event.repeat,
    )
    return run(state, once.reduce(state.once, submitted, now), now)


def result_arrived(state: NodeState, result: LeafResult, now: float) -> list[Any]:
    """Handle the result of a leaf call of an attempt."""
    call = state.order_calls.pop(result.call_id)
    state.queries.view.ended(call.leaf, "", result.outcome, result.latency_ms / 1000.0, now)
    ended = once.LeafAnswered(
        attempt=call.attempt,
        try_no=call.try_no,
        outcome=_leaf_outcome(result.outcome),
        answer=result.body,
        retry_after_s=result.retry_after_ms / 1000.0,
    )
    return run(state, once.reduce(state.once, ended, now), now)


def records_written(state: NodeState, event: RecordsWritten, now: float, wall: float) -> list[Any]:
    """Handle the end of a write to the store."""
    state.store_up = event.status is once.StoreStatus.OK
    kind = once.IntentsWritten if event.intents else once.OutcomesWritten
    written = kind(event.batch_id, event.status, event.results)
    return run(state, once.reduce(state.once, written, now), now)


def store_seen(state: NodeState, event: StoreSeen, now: float, wall: float) -> list[Any]:
    """Record whether the store answers."""
    state.store_up = event.up
    return []


def attempt_asked(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Answer a peer's question about an attempt of this node."""
    asked = once.AttemptAsked(event.sender, event.message.ask_id, event.message.attempt)
    return run(state, once.reduce(state.once, asked, now), now)


def attempt_answered(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Handle a peer's answer about its attempt."""
    received: AttemptAnswer = event.message
    reply = once.PeerAttemptReply(
        received.ask_id,
        received.attempt,
        once.AttemptState(received.state),
        received.answer,
    )
    return run(state, once.reduce(state.once, reply, now), now)


def tick(state: NodeState, now: float) -> list[Any]:
    """Run the at-most-once timers that are due."""
    due = state.once.next_wake()
    if due is None or due > now:
        return []
    return run(state, once.reduce(state.once, once.Tick(), now), now)


def run(state: NodeState, effects: list[once.Effect], now: float) -> list[Any]:
    """Convert the at-most-once reducer's effects to node effects."""
    out: list[Any] = []
    for effect in effects:
        match effect:
            case once.WriteIntents():
                out.append(WriteRecords(True, effect.batch_id, effect.writes))
            case once.WriteOutcomes():
                out.append(WriteRecords(False, effect.batch_id, effect.writes))
            case once.Dispatch():
                out += _dispatch(state, effect, now)
            case once.AskPeer():
                out += _ask(state, effect, now)
            case once.ReplyAttempt():
                message = AttemptAnswer(
                    effect.ask_id, effect.attempt, int(effect.state), effect.answer
                )
                out.append(SendPeer(effect.peer, message))
            case once.Answer():
                out.append(_answer(state, effect))
    return out


def answer(req_id: int, code: ResultCode, message: str, retry_after_s: float) -> Answer:
    """Return an answer that carries no result."""
    doc: dict[str, Any] = {"code": int(code), "name": code.name, "message": message}
    if retry_after_s <= 0.0 and CODE_INFO[code].status in RETRY_STATUSES:
        retry_after_s = DEFAULT_RETRY_S
    if retry_after_s > 0.0:
        doc["retry_after_ms"] = round(retry_after_s * 1000.0)
    return Answer(req_id, CODE_INFO[code].status, doc, retry_after_s)


def _dispatch(state: NodeState, effect: once.Dispatch, now: float) -> list[Any]:
    order = state.orders.get(effect.req_id)
    leaf = None if order is None else _choose(state, order, now)
    if order is None or leaf is None:
        refused = once.LeafAnswered(
            effect.attempt, effect.try_no, once.LeafOutcome.NOT_RUN, b"", NO_LEAF_RETRY_S
        )
        return run(state, once.reduce(state.once, refused, now), now)
    call_id = state.queries.next_call_id()
    node = state.node_for(leaf.name)
    state.order_calls[call_id] = OrderCall(effect.attempt, effect.try_no, leaf.name, node)
    state.queries.view.sent(leaf.name)
    call = LeafCall(
        call_id=call_id,
        leaf=leaf.name,
        route=order.route,
        snapshot=NEWEST_SNAPSHOT,
        budget_ms=max(0.0, effect.deadline - now) * 1000.0,
        priority=order.priority,
        fingerprint=order.fingerprint,
        key=effect.key,
        body=order.body,
    )
    return [SendPeer(node, call)]


def _choose(state: NodeState, order: Order, now: float) -> LeafView | None:
    leaves = state.queries.view.by_service.get(order.service, [])
    usable = [leaf for leaf in leaves if state.leaf_usable(leaf)]
    eligible = state.queries.eligible(order.service, usable, state.queries.rng.random)
    if not eligible:
        return None
    return state.queries.policy.choose(eligible, now, state.queries.rng.random)


def _leaf_outcome(outcome: CallOutcome) -> once.LeafOutcome:
    if outcome is CallOutcome.OK:
        return once.LeafOutcome.OK
    if outcome in CERTAINLY_NOT_RUN:
        return once.LeafOutcome.NOT_RUN
    return once.LeafOutcome.UNKNOWN


def _ask(state: NodeState, effect: once.AskPeer, now: float) -> list[Any]:
    record = state.members.get(effect.node)
    known = None
    if record is None or not state.reachable(effect.node):
        known = once.AttemptState.UNREACHABLE
    elif str(record.incarnation) != effect.incarnation:
        known = once.AttemptState.GONE
    if known is None:
        return [SendPeer(effect.node, AttemptQuestion(effect.ask_id, effect.attempt))]
    reply = once.PeerAttemptReply(effect.ask_id, effect.attempt, known)
    return run(state, once.reduce(state.once, reply, now), now)


def _answer(state: NodeState, effect: once.Answer) -> Answer:
    order = state.orders.pop(effect.req_id, None)
    result = answer(int(effect.req_id), effect.code, effect.message, effect.retry_after_s)
    leaf_answer = decode_answer(effect.answer) if effect.answer else None
    if order is not None and leaf_answer is not None:
        answered = len(leaf_answer.shards)
        result.doc["snapshot"] = leaf_answer.snapshot
        result.doc["coverage"] = answered / leaf_answer.of
        result.doc["shards"] = {"answered": answered, "of": leaf_answer.of}
        result.doc["hits"] = leaf_answer.hits
    return result
