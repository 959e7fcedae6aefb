"""Graceful shutdown of a node: decides when it is complete and asserts that no request is cut."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.node import cluster
from cactussaddle_core.node.effects import EndProcess

if TYPE_CHECKING:
    from cactussaddle_core.node.events import StopAsked
    from cactussaddle_core.node.state import NodeState


BALANCER_LAG_S = 2.0
# Answers are made this long before the process ends at the latest.
ANSWER_MARGIN_S = 0.5
HANDOVER_S = 8.0
# The other nodes need this long to learn that this node no longer uses the slots it handed over.
SETTLED_HEARD_S = 2.0


def asked(state: NodeState, event: StopAsked, now: float, wall: float) -> list[Any]:
    """Begin a graceful shutdown, which may take at most `event.longest_s` seconds."""
    state.stopping = True
    state.stop_asked_at = now
    state.stop_by = now + event.longest_s
    return cluster.leave(state, now)


def tick(state: NodeState, now: float) -> list[Any]:
    """End the process when the shutdown is complete or its time limit is reached."""
    if not state.stopping or state.ended:
        return []
    if not may_stop(state, now) and now < state.stop_by:
        return []
    cut = len(state.unanswered)
    require(cut == 0, Promise.GRACEFUL_STOP, f"{cut} requests cut by the stop")
    state.ended = True
    return [EndProcess()]


def ends_before(state: NodeState, deadline: float) -> bool:
    """Return whether the process may end before a request with this deadline has its answer.

    Such requests are refused, as callers that keep coming would otherwise have some open at the end.
    """
    return state.stopping and deadline > state.stop_by - ANSWER_MARGIN_S


def may_stop(state: NodeState, now: float) -> bool:
    """Return whether a graceful shutdown is complete: no open requests and no slots held.

    The load balancer reacts with a delay, so the node continues to serve for `BALANCER_LAG_S`.
    Slots that it can't hand over within `HANDOVER_S`, for example while the store is unavailable,
    stay assigned to it.
    """
    if _holds_slots(state):
        state.slots_held_at = now
    waited_s = now - state.stop_asked_at
    if waited_s < BALANCER_LAG_S or not state.idle():
        return False
    return waited_s >= HANDOVER_S or now - state.slots_held_at >= SETTLED_HEARD_S


def _holds_slots(state: NodeState) -> bool:
    entries = state.slots.placement["entries"].values()
    return any(state.me.node in (entry["owner"], entry["deputy"]) for entry in entries)
