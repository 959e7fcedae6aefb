"""State dump of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_core.config.verdict import row_text
from cactussaddle_core.membership.model import NodeState as MemberState

if TYPE_CHECKING:
    from cactussaddle_core.membership.model import MemberRecord
    from cactussaddle_core.node.state import NodeState


MAX_LISTED = 100


def dump(state: NodeState, now: float, wall: float) -> dict[str, Any]:
    """Return the node's state for operators, as JSON-serializable values."""
    return {
        "node": state.me._asdict(),
        "wall": wall,
        "policy": state.policy,
        "stopping": state.stopping,
        "store_up": state.store_up,
        "config": {"revision": state.cfg.revision, "change_id": state.cfg.change_id},
        "hosts": {name: entry._asdict() for name, entry in state.hosts.items()},
        "queries": {
            "under_way": len(state.queries.queries),
            "leaf_calls": len(state.queries.pending),
            "intake": {
                group: {
                    "running": admission.running,
                    "queued": admission.queued,
                    "limits": admission.limits._asdict(),
                }
                for group, admission in state.admissions.items()
            },
        },
        "members": [_member(record) for record in state.members.members()],
        "placement": {
            "epoch": state.slots.epoch,
            "settled": state.slots.settled_epoch(now),
            "stale": state.slots.stale(now),
            "owned": state.slots.owned(),
            "pending": [
                {"leaf": name, **item}
                for name, entry in state.slots.placement["entries"].items()
                for item in entry["pending"]
            ],
        },
        "moves": {name: _move(state, name, wall) for name in state.cfg.moves},
        "orders": {"under_way": len(state.orders), "attempts": len(state.once.attempts)},
        "held": {
            name: state.hold.verdict(name, now) for name in list(state.hold.suspects)[:MAX_LISTED]
        },
        "traffic": {name: round(rate, 3) for name, rate in state.traffic.rates(now).items()},
        "budget": _budget(state),
        "leaves": {name: _leaf(state, name, now) for name in state.leaves},
    }


def _member(record: MemberRecord) -> dict[str, Any]:
    return {**record._asdict(), "state": MemberState(record.state).name.lower()}


def _move(state: NodeState, name: str, wall: float) -> dict[str, Any]:
    move = state.cfg.moves[name]
    status = state.moves.status(move, wall)
    shares = state.plan.weights.get(move["target"], {})
    return {
        **status._asdict(),
        "kind": move["kind"],
        "target": move["target"],
        "row": row_text(move),
        "latched": name in state.moves.latches,
        "at_risk": state.moves.at_risk(move, wall),
        "shares": shares,
    }


def _budget(state: NodeState) -> dict[str, Any]:
    budget = state.queries.budget
    return {
        "first_calls": budget.first_calls,
        "hedges": budget.hedges,
        "retries": budget.retries,
        "denied": budget.denied,
        "tokens": budget.tokens,
        "outcomes": {kind.name: n for kind, n in state.queries.view.outcomes.items()},
    }


def _leaf(state: NodeState, name: str, now: float) -> dict[str, Any]:
    view = state.queries.view.leaves[name]
    work = state.owner.leaves.get(name)
    entry = state.slots.placement["entries"].get(name)
    return {
        "owner": entry["owner"] if entry else "",
        "deputy": entry["deputy"] if entry else "",
        "allowed": state.owner.gate.allowed(name, now),
        "health": state.limits[name].health(now)._asdict() if name in state.limits else None,
        "connections_allowed": state.connections(name, now),
        "queued": len(work.waiting) if work else 0,
        "running": len(work.running) if work else 0,
        "peak": work.peak if work else 0,
        "latency_s": view.latency_s,
        "snapshots": sorted(view.snapshots),
        "avoided": view.avoid_until > now,
    }
