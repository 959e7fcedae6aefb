"""Operators' moves at one node: serving leaves, traffic share of each version, final states."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from cactussaddle_core import moves
from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.verdict import row_text
from cactussaddle_core.moves.domains import SERVING
from cactussaddle_core.node import intake
from cactussaddle_core.node import spread
from cactussaddle_core.node.effects import RecordMove
from cactussaddle_core.warmup import LeafHealth

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.calls import LeafCall
    from cactussaddle_core.config.model import Move
    from cactussaddle_core.node.events import FinalSeen
    from cactussaddle_core.node.state import NodeState
    from cactussaddle_core.owner.book import CallEnd
    from cactussaddle_core.query.view import LeafView


EVIDENCE_KEY = "evidence"
LATCH_KEY = "latch"
FINALS_KEY = "finals"
MAX_FINALS = 200
IDLE_REFRESH_S = 1.0
# Call outcomes that are evidence on the version that ran the call.
_OUTCOMES = frozenset({CallOutcome.OK, CallOutcome.FAILED, CallOutcome.RESET, CallOutcome.LATE})


_finals_decoder = msgspec.msgpack.Decoder(list[tuple[str, str]])


class PlanView(NamedTuple):
    """State of the plan at one time: the leaves that may get new work and each version's share."""

    serving: frozenset[str]
    weights: dict[str, dict[str, float]]
    move_of: dict[str, str]
    at: float


NO_PLAN = PlanView(frozenset(), {}, {}, 0.0)


def config_applied(state: NodeState, now: float, wall: float) -> list[Any]:
    """Pass a new configuration to the moves reducer."""
    state.leaves = moves.planned_leaves(state.cfg)
    return _run(state, moves.reduce(state.moves, moves.ConfigApplied(state.cfg), now, wall), now)


def tick(state: NodeState, now: float, wall: float) -> list[Any]:
    """Update the view of the plan and run the due steps of the moves."""
    if now < state.plan_check_at:
        return []
    state.plan_check_at = now + moves.TICK_S
    nodes = tuple(sorted([state.me.node, *(record.name for record in state.members.live())]))
    effects = moves.reduce(state.moves, moves.Members(nodes), now, wall)
    for move in state.cfg.moves.values():
        if move["kind"] != MoveKind.VERSION and wall >= move["start"]:
            complete = moves.LocalComplete(move["id"], _is_complete(state, move, now))
            effects += moves.reduce(state.moves, complete, now, wall)
    effects += moves.reduce(state.moves, moves.Tick(), now, wall)
    state.plan_in_motion = _in_motion(state, wall)
    if state.plan_in_motion or now - state.plan.at >= IDLE_REFRESH_S:
        refresh(state, now, wall)
        state.traffic.fold(now)
    intake.refresh_limits(state, now)
    state.update_ready(now)
    return _run(state, effects, now)


def _in_motion(state: NodeState, wall: float) -> bool:
    """Return whether the view of the plan may change from one tick to the next."""
    return any(
        move["id"] not in state.moves.finals
        and move["start"] - IDLE_REFRESH_S <= wall <= move["finish"] + 2 * IDLE_REFRESH_S
        for move in state.cfg.moves.values()
    )


def refresh(state: NodeState, now: float, wall: float) -> None:
    """Recompute the view of the plan."""
    taken_back = state.moves.taken_back()
    weights = {service: state.moves.share(service, wall) for service in state.cfg.services}
    serving = frozenset(
        name
        for name, leaf in state.leaves.items()
        if moves.leaf_state(state.cfg, name, wall, taken_back) in SERVING
        and weights.get(leaf["service"], {}).get(leaf["version"], 0.0) > 0.0
    )
    move_of = {service: state.moves.move_of(service, wall) for service in state.cfg.services}
    state.plan = PlanView(serving, weights, move_of, now)


def eligible(
    state: NodeState,
) -> Callable[[str, list[LeafView], Callable[[], float]], list[LeafView]]:
    """Return the function that draws a version by the shares and selects its leaves."""

    def pick(service: str, leaves: list[LeafView], rand: Callable[[], float]) -> list[LeafView]:
        weights = state.plan.weights.get(service, {})
        if len(weights) < 2:
            return leaves
        version = _draw(weights, rand())
        chosen = [leaf for leaf in leaves if state.leaves[leaf.name]["version"] == version]
        return chosen or leaves

    return pick


def check_dispatch(state: NodeState, call: LeafCall, now: float, wall: float) -> None:
    """Assert that the plan allows new work at a leaf."""
    leaf = state.leaves.get(call.leaf)
    if leaf is None:
        return
    moves.require_in_service(state.cfg, call.leaf, wall, state.moves.taken_back())
    state.moves.require_may_send(leaf["service"], leaf["version"], now)


def outcome_seen(
    state: NodeState, leaf: str, route: str, end: CallEnd, now: float, wall: float
) -> None:
    """Record a call's outcome as evidence on the version that ran it.

    A leaf that is not warm yet may be slower whatever its version, so its successful calls are
    marked as cold. Its failures count in full, since it gets no more load than it can handle.
    """
    entry = state.leaves.get(leaf)
    move = state.plan.move_of.get(entry["service"], "") if entry is not None else ""
    if entry is not None:
        state.traffic.add(entry["service"])
    if entry is None or not move or end.outcome not in _OUTCOMES:
        return
    limit = state.limits.get(leaf)
    warm = limit is None or limit.health(now).state is LeafHealth.WARM
    ok = end.outcome is CallOutcome.OK
    cold = ok and not warm
    outcome = moves.OutcomeSeen(move, route, entry["version"], ok, end.latency_s, cold, leaf)
    moves.reduce(state.moves, outcome, now, wall)


def evidence_heard(state: NodeState, value: bytes, now: float, wall: float) -> list[Any]:
    """Handle evidence from a peer."""
    return _run(state, moves.reduce(state.moves, moves.PeerEvidence(value), now, wall), now)


def latch_heard(state: NodeState, value: bytes, now: float, wall: float) -> list[Any]:
    """Handle latches from a peer."""
    effects = moves.reduce(state.moves, moves.PeerLatch(value), now, wall)
    refresh(state, now, wall)
    return _run(state, effects, now)


def final_seen(state: NodeState, event: FinalSeen, now: float, wall: float) -> list[Any]:
    """Record the final state of a move as stored in the key-value store."""
    known = event.move in state.moves.finals
    effects = moves.reduce(state.moves, moves.FinalRecorded(event.move, event.state), now, wall)
    refresh(state, now, wall)
    out = _run(state, effects, now)
    return out if known else out + _spread_finals(state, now)


def finals_heard(state: NodeState, value: bytes, now: float, wall: float) -> list[Any]:
    """Record final states that a peer has read from the store."""
    effects: list[moves.Effect] = []
    for move, final in _finals_decoder.decode(value):
        recorded = moves.FinalRecorded(move, MoveState(final))
        effects += moves.reduce(state.moves, recorded, now, wall)
    refresh(state, now, wall)
    return _run(state, effects, now)


def _spread_finals(state: NodeState, now: float) -> list[Any]:
    """Send the final states of the plan's moves to all nodes, only the last if there are many."""
    finals = [
        (move, final.value) for move, final in state.moves.finals.items() if move in state.cfg.moves
    ]
    value = msgspec.msgpack.encode(finals[-MAX_FINALS:])
    return spread.put(state, FINALS_KEY, value, now, urgent=True)


def _run(state: NodeState, effects: list[moves.Effect], now: float) -> list[Any]:
    out: list[Any] = []
    for effect in effects:
        match effect:
            case moves.PutEvidence():
                out += spread.put(state, EVIDENCE_KEY, effect.data, now, urgent=effect.urgent)
            case moves.PutLatch():
                out += spread.put(state, LATCH_KEY, effect.data, now, urgent=True)
            case moves.RecordFinal():
                row = row_text(state.cfg.moves[effect.move])
                out.append(RecordMove(effect.move, effect.state, effect.reason, row))
    return out


def _draw(weights: dict[str, float], point: float) -> str:
    total = 0.0
    for version, weight in weights.items():
        total += weight
        if point < total:
            return version
    return max(weights, key=lambda version: weights[version])


def _is_complete(state: NodeState, move: Move, now: float) -> bool:
    affected = [name for name in state.leaves if _affects(state, move, name)]
    if move["kind"] in (MoveKind.DOMAIN_OUT, MoveKind.LEAVE):
        return not any(state.owner.work(name).running for name in affected)
    owned = set(state.slots.owned()).intersection(affected)
    return all(state.owner.gate.allowed(name, now) > 0 and _is_up(state, name) for name in owned)


def _is_up(state: NodeState, leaf: str) -> bool:
    health = state.seen.get(leaf)
    return health is not None and health.ready


def _affects(state: NodeState, move: Move, leaf: str) -> bool:
    if move["kind"] in (MoveKind.DOMAIN_OUT, MoveKind.DOMAIN_IN):
        return state.leaves[leaf]["domain"] == move["target"]
    if move["kind"] == MoveKind.LEAVE:
        return leaf == move["target"]
    return any(added["name"] == leaf for added in move.get("leaves", []))
