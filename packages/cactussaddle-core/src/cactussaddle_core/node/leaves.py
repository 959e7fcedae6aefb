"""Leaf calls on the node that runs them, and what this node learns about the leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import LeafResult
from cactussaddle_core.calls import LeafStatus
from cactussaddle_core.node import holding
from cactussaddle_core.node import planned
from cactussaddle_core.node import spread
from cactussaddle_core.node.effects import RunCall
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.effects import StopCall
from cactussaddle_core.node.state import PolicyName
from cactussaddle_core.owner import book as owner
from cactussaddle_core.owner.book import CallEnd

if TYPE_CHECKING:
    from cactussaddle_core.calls import LeafCall
    from cactussaddle_core.node.events import CallEnded
    from cactussaddle_core.node.events import HealthFailed
    from cactussaddle_core.node.events import HealthSeen
    from cactussaddle_core.node.events import IdleEnded
    from cactussaddle_core.node.events import PeerMessage
    from cactussaddle_core.node.state import NodeState


# A leaf that answered a call within this time is considered up even if its health check fails.
RECENT_ANSWER_S = 2.0


def call_arrived(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Handle a leaf call sent by another node."""
    return take(state, event.sender, event.message, now, wall)


def cancel_arrived(state: NodeState, event: PeerMessage, now: float, wall: float) -> list[Any]:
    """Handle a cancellation sent by another node."""
    return cancel(state, event.sender, event.message.call_id)


def take(state: NodeState, sender: str, call: LeafCall, now: float, wall: float) -> list[Any]:
    """Start, queue or refuse a call; it is refused if its request has become held since it was sent."""
    if holding.is_held(state, call.fingerprint, now):
        return [SendPeer(sender, owner.refusal(call, CallOutcome.HELD, 0.0))]
    return _run(state, owner.take_call(state.owner, sender, call, now), now, wall)


def cancel(state: NodeState, sender: str, call_id: int) -> list[Any]:
    """Cancel a queued or running call."""
    effects = owner.cancel_call(state.owner, sender, call_id)
    return [StopCall(*effect) for effect in effects if isinstance(effect, owner.Stop)]


def ended(state: NodeState, event: CallEnded, now: float, wall: float) -> list[Any]:
    """Handle the end of a call that this node ran."""
    result = LeafResult(
        call_id=event.call_id,
        outcome=event.outcome,
        body=event.body,
        latency_ms=event.latency_s * 1000.0,
        queue_ms=0.0,
        retry_after_ms=event.retry_after_s * 1000.0,
        snapshots=event.snapshots,
    )
    leaf = state.owner.where.get((event.sender, event.call_id), "")
    out = _record_outcome(state, event, leaf, now, wall)
    _, effects = owner.call_ended(
        state.owner, event.sender, result, event.incarnation, now, surely=event.surely
    )
    out += _run(state, effects, now, wall)
    if event.outcome in (CallOutcome.RESET, CallOutcome.REFUSED):
        out += send_status(state, leaf, now)
    return out


def _record_outcome(
    state: NodeState, event: CallEnded, leaf: str, now: float, wall: float
) -> list[Any]:
    """Record what a call's end shows about its leaf and request, before the end is reported."""
    running = state.owner.work(leaf).running.get((event.sender, event.call_id))
    if running is None:
        return []
    end = CallEnd(event.outcome, event.latency_s, event.incarnation)
    planned.outcome_seen(state, leaf, running.call.route, end, now, wall)
    if event.outcome is CallOutcome.OK:
        state.answered_at[leaf] = now
        return holding.succeeded(state, leaf, running.call.fingerprint, now)
    if event.outcome is CallOutcome.RESET:
        return holding.crashed(state, leaf, running.call.fingerprint, now)
    return []


def idle_ended(state: NodeState, event: IdleEnded, now: float, wall: float) -> list[Any]:
    """Handle the end of an idle connection: the leaf may have restarted with no call in flight."""
    limit = state.limits.get(event.leaf)
    if limit is None:
        return []
    if event.reset:
        limit.connection_reset(now)
    else:
        limit.connection_closed()
    return send_status(state, event.leaf, now)


def health_seen(state: NodeState, event: HealthSeen, now: float, wall: float) -> list[Any]:
    """Record a leaf's health report."""
    if state.policy is PolicyName.BASELINE:
        state.queries.view.set_snapshots(event.leaf, event.incarnation, event.snapshots)
        return []
    state.seen[event.leaf] = event
    return send_status(state, event.leaf, now)


def health_failed(state: NodeState, event: HealthFailed, now: float, wall: float) -> list[Any]:
    """Record that a leaf's health check failed."""
    seen = state.seen.get(event.leaf)
    if state.policy is PolicyName.BASELINE or seen is None:
        return []
    if state.answered_at.get(event.leaf, 0.0) > now - RECENT_ANSWER_S:
        return []
    state.seen[event.leaf] = seen._replace(ready=False)
    return send_status(state, event.leaf, now)


def send_status(state: NodeState, leaf: str, now: float) -> list[Any]:
    """Publish the status of a leaf that this node runs calls on."""
    seen = state.seen.get(leaf)
    if seen is None or leaf not in state.leaves:
        return []
    limit = state.owner.gate.allowed(leaf, now) if seen.ready else 0
    return spread.put_status(state, LeafStatus(leaf, seen.incarnation, limit, seen.snapshots), now)


def tick(state: NodeState, now: float, wall: float) -> list[Any]:
    """Check every queue again, since limits change with time."""
    return _run(state, owner.tick(state.owner, now), now, wall)


def _run(state: NodeState, effects: list[owner.OwnerEffect], now: float, wall: float) -> list[Any]:
    out: list[Any] = []
    for effect in effects:
        if isinstance(effect, owner.Start):
            planned.check_dispatch(state, effect.call, now, wall)
            connections = state.connections(effect.call.leaf, now)
            out.append(RunCall(effect.sender, effect.call, effect.timeout_s, connections))
        elif isinstance(effect, owner.Reply):
            out.append(SendPeer(effect.sender, effect.result))
        else:
            out.append(StopCall(*effect))
    return out
