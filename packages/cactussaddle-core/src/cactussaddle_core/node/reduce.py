"""Node reducer: dispatches each event to its handler and collects the effects."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.calls import CancelCall
from cactussaddle_core.calls import LeafCall
from cactussaddle_core.calls import LeafResult
from cactussaddle_core.gossip.model import GossipMessage
from cactussaddle_core.hold import SuspectsReply
from cactussaddle_core.hold import SuspectsRequest
from cactussaddle_core.membership import model as membership
from cactussaddle_core.node import callers
from cactussaddle_core.node import cluster
from cactussaddle_core.node import documents
from cactussaddle_core.node import holding
from cactussaddle_core.node import leaves
from cactussaddle_core.node import orders
from cactussaddle_core.node import planned
from cactussaddle_core.node import stopping
from cactussaddle_core.node.effects import Answer
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.events import CallEnded
from cactussaddle_core.node.events import CallerGone
from cactussaddle_core.node.events import CallerRequest
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.node.events import FinalSeen
from cactussaddle_core.node.events import HealthFailed
from cactussaddle_core.node.events import HealthSeen
from cactussaddle_core.node.events import HostsSeen
from cactussaddle_core.node.events import IdleEnded
from cactussaddle_core.node.events import LinkDown
from cactussaddle_core.node.events import PeerMessage
from cactussaddle_core.node.events import RecordsWritten
from cactussaddle_core.node.events import StopAsked
from cactussaddle_core.node.events import StoreSeen
from cactussaddle_core.node.events import Tick
from cactussaddle_core.node.events import Unsent
from cactussaddle_core.slots.messages import PairPing
from cactussaddle_core.slots.messages import PairPong
from cactussaddle_core.wire import AttemptAnswer
from cactussaddle_core.wire import AttemptQuestion
from cactussaddle_core.wire import DocReply
from cactussaddle_core.wire import DocRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.node.state import NodeState

    Handler = Callable[[NodeState, Any, float, float], list[Any]]


def reduce(state: NodeState, event: Any, now: float, wall: float) -> list[Any]:
    """Handle one event at `now` (monotonic seconds) and `wall` (seconds since the epoch).

    A message that the node sends to itself is handled immediately instead of being returned.
    """
    state.now = now
    if isinstance(event, CallerRequest):
        state.unanswered.add(event.req_id)
    elif isinstance(event, CallerGone):
        state.unanswered.discard(event.req_id)
    pending = deque(_EVENT_HANDLERS[type(event)](state, event, now, wall))
    effects: list[Any] = []
    while pending:
        effect = pending.popleft()
        if isinstance(effect, SendPeer) and effect.node == state.me.node:
            to_self = PeerMessage(state.me.node, effect.message)
            pending.extend(_peer_message(state, to_self, now, wall))
            continue
        if isinstance(effect, Answer):
            state.unanswered.discard(effect.req_id)
        effects.append(effect)
    return effects + stopping.tick(state, now) if isinstance(event, Tick) else effects


def _peer_message(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    handler = _MESSAGE_HANDLERS.get(type(event.message))
    return [] if handler is None else handler(state, event, now, wall)


def _tick(state: NodeState, event: Tick, now: float, wall: float) -> list[Any]:
    state.ticked_at = now
    effects = planned.tick(state, now, wall)
    effects += callers.tick(state, now)
    effects += orders.tick(state, now)
    effects += leaves.tick(state, now, wall)
    effects += holding.tick(state, now)
    return effects + cluster.tick(state, now)


_EVENT_HANDLERS: dict[type[Any], Handler] = {
    CallerRequest: callers.request,
    CallerGone: callers.gone,
    CallEnded: leaves.ended,
    HealthSeen: leaves.health_seen,
    IdleEnded: leaves.idle_ended,
    HealthFailed: leaves.health_failed,
    HostsSeen: documents.hosts_seen,
    RecordsWritten: orders.records_written,
    FinalSeen: planned.final_seen,
    StoreSeen: orders.store_seen,
    DocSeen: documents.doc_seen,
    LinkDown: callers.link_down,
    Unsent: callers.unsent,
    PeerMessage: _peer_message,
    StopAsked: stopping.asked,
    Tick: _tick,
}

_MESSAGE_HANDLERS: dict[type[Any], Handler] = {
    LeafCall: leaves.call_arrived,
    CancelCall: leaves.cancel_arrived,
    LeafResult: callers.result_arrived,
    DocRequest: documents.doc_requested,
    DocReply: documents.doc_replied,
    AttemptQuestion: orders.attempt_asked,
    AttemptAnswer: orders.attempt_answered,
    SuspectsRequest: holding.suspects_requested,
    SuspectsReply: holding.suspects_received,
    membership.Ping: cluster.member_message,
    membership.Ack: cluster.member_message,
    membership.PingRequest: cluster.member_message,
    membership.Relayed: cluster.member_message,
    membership.Rumor: cluster.member_message,
    PairPing: cluster.pair_ping,
    PairPong: cluster.pair_pong,
    GossipMessage: cluster.gossip_message,
}
