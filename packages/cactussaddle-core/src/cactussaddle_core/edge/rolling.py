"""The node's part in roll-outs: what the registry says of them in, messages and writings out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.effects import Note
from cactussaddle_core.edge.effects import TellEvidence
from cactussaddle_core.edge.effects import TellNews
from cactussaddle_core.rollouts import model as rollouts

if TYPE_CHECKING:
    from cactussaddle_core.edge import events as ev
    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState


def rollouts_listed(state: EdgeState, event: ev.RolloutsListed, now: float) -> list[Effect]:
    """Take in all orders and statuses."""
    state.rollouts.listed(event.orders, event.statuses, now)
    return []


def rollout_ordered(state: EdgeState, event: ev.RolloutOrdered, now: float) -> list[Effect]:
    """Take in an order."""
    state.rollouts.ordered(event.order, now)
    order = event.order
    return [Note(log.RolloutOrdered(order.service, order.version, order.lasts_s, order.revision))]


def rollout_cleared(state: EdgeState, event: ev.RolloutCleared, now: float) -> list[Effect]:
    """Take in that an order is gone."""
    state.rollouts.cleared(event.service, now)
    return []


def rollout_status_seen(state: EdgeState, event: ev.RolloutStatusSeen, now: float) -> list[Effect]:
    """Take in a status that was written."""
    state.rollouts.status_seen(event.status, now)
    status = event.status
    return [Note(log.RolloutStatus(status.service, status.version, status.state.value))]


def evidence_heard(state: EdgeState, event: ev.RolloutEvidenceHeard, now: float) -> list[Effect]:
    """Take in another node's counts."""
    state.rollouts.heard_evidence(event.data, now)
    return []


def news_heard(state: EdgeState, event: ev.RolloutNewsHeard, now: float) -> list[Effect]:
    """Take in what the leading node tells."""
    state.rollouts.heard_news(event.news, now)
    return []


def go_on_rolling(state: EdgeState, now: float) -> list[Effect]:
    """Judge the roll-outs under way; return what is to be told, written and logged."""
    effects: list[Effect] = []
    for effect in state.rollouts.tick(now):
        if isinstance(effect, rollouts.TellEvidence):
            judges = [state.members[name] for name in effect.nodes if name in state.members]
            effects.append(TellEvidence(tuple(judges), effect.data))
        elif isinstance(effect, rollouts.TellNews):
            others = [m for m in state.members.values() if m.node != state.me.node]
            effects.append(TellNews(tuple(others), effect.news))
        else:
            effects.append(effect)
    return effects + [Note(found) for found in _found_bad(state)]


def _found_bad(state: EdgeState) -> list[log.VersionBad]:
    """Return the versions found bad since asked last."""
    return [
        log.VersionBad(latch.move, latch.reason, latch.node)
        for latch in state.rollouts.take_latches()
    ]
