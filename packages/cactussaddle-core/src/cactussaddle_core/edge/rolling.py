"""The node's part in roll-outs: handles their registry and peer events, and emits their effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.effects import LogEvent
from cactussaddle_core.edge.effects import SendEvidence
from cactussaddle_core.edge.effects import SendLeaderUpdate
from cactussaddle_core.rollouts import model as rollouts

if TYPE_CHECKING:
    from cactussaddle_core.edge import events as ev
    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState


def rollouts_listed(state: EdgeState, event: ev.RolloutsListed, now: float) -> list[Effect]:
    """Apply the complete lists of orders and statuses."""
    state.rollouts.listed(event.orders, event.statuses, now)
    return []


def rollout_ordered(state: EdgeState, event: ev.RolloutOrdered, now: float) -> list[Effect]:
    """Apply a roll-out order."""
    state.rollouts.ordered(event.order, now)
    order = event.order
    return [
        LogEvent(log.RolloutOrdered(order.service, order.version, order.lasts_s, order.revision))
    ]


def rollout_cleared(state: EdgeState, event: ev.RolloutCleared, now: float) -> list[Effect]:
    """Apply the removal of a roll-out order."""
    state.rollouts.cleared(event.service, now)
    return []


def rollout_status_seen(state: EdgeState, event: ev.RolloutStatusSeen, now: float) -> list[Effect]:
    """Apply a written roll-out status."""
    state.rollouts.status_seen(event.status, now)
    status = event.status
    return [LogEvent(log.RolloutStatus(status.service, status.version, status.state.value))]


def evidence_heard(state: EdgeState, event: ev.RolloutEvidenceHeard, now: float) -> list[Effect]:
    """Merge another node's call counts."""
    state.rollouts.merge_evidence(event.data, now)
    return []


def news_heard(state: EdgeState, event: ev.RolloutNewsHeard, now: float) -> list[Effect]:
    """Apply the traffic shares sent by the leading node."""
    state.rollouts.merge_leader_update(event.news, now)
    return []


def advance_rollouts(state: EdgeState, now: float) -> list[Effect]:
    """Evaluate the active roll-outs; return the messages, store writes and log events that result."""
    effects: list[Effect] = []
    for effect in state.rollouts.tick(now):
        if isinstance(effect, rollouts.SendEvidence):
            judges = [state.members[name] for name in effect.nodes if name in state.members]
            effects.append(SendEvidence(tuple(judges), effect.data))
        elif isinstance(effect, rollouts.SendLeaderUpdate):
            others = [m for m in state.members.values() if m.node != state.me.node]
            effects.append(SendLeaderUpdate(tuple(others), effect.news))
        else:
            effects.append(effect)
    return effects + [LogEvent(found) for found in _new_bad_versions(state)]


def _new_bad_versions(state: EdgeState) -> list[log.VersionBad]:
    """Return the versions found to be bad since the last call."""
    return [
        log.VersionBad(latch.move, latch.reason, latch.node)
        for latch in state.rollouts.take_latches()
    ]
