"""Snapshot of a node's state for the `/state` page."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.limits.budget import BudgetAccount
    from cactussaddle_node.edge.duties import DutyRunner
    from cactussaddle_node.edge.follow import Follower


def dump(
    state: EdgeState, follower: Follower, now: float, duty: DutyRunner | None = None
) -> dict[str, Any]:
    """Return the state as JSON-compatible values; times are in seconds unless named `_ms`."""
    table = state.current_table.table
    age_s = follower.age_s(follower.clock())
    source = follower.choice.pick(follower.clock(), age_s)
    return {
        "node": state.me.node,
        "domain": state.me.domain,
        "ready": state.is_ready(),
        "stopping": state.stopping.asked,
        "table_version": table.version if table is not None else None,
        "teams": len(table.keys.teams) if table is not None and table.keys is not None else None,
        "registry": {
            "revision": follower.log.revision,
            "age_s": round(age_s, 2),
            "source": source.node if source is not None else "store",
            "reads_store": follower.choice.reads_store,
        },
        "duty": duty.dump() if duty is not None else None,
        "members": sorted(state.members),
        "counted_members": state.member_count(now),
        "limits": {
            "roster": sorted(state.roster.names),
            "divided_by": len(state.sharing_nodes(now)),
            "has_reserve": state.budget.has_reserve,
            "up_s": round(now - state.started_at, 2),
        },
        "domains_out": sorted(state.fleet.domains_out),
        "rollouts": [
            {
                "service": order.service,
                "version": order.version,
                "share": round(state.rollouts.share(order, now), 3),
                "ended": state.rollouts.final(order),
                "leads": state.rollouts.leads(now),
            }
            for order in state.rollouts.orders.values()
        ],
        "leaves": [_leaf(state, leaf, now) for leaf in state.fleet.leaves.values()],
        "budgets": {
            service: _budget(state.budget.account(service, now))
            for service in sorted(table.services_in_use() if table is not None else ())
        },
        "requests": [_request(query, now) for query in state.fanout.queries.values()],
    }


def _budget(account: BudgetAccount) -> dict[str, Any]:
    return {**account._asdict(), "left": round(account.left, 1)}


def _leaf(state: EdgeState, leaf: Leaf, now: float) -> dict[str, Any]:
    return {
        "leaf": leaf.name,
        "service": leaf.entry.service,
        "domain": leaf.entry.domain,
        "version": leaf.entry.version,
        "may_get_calls": state.may_call(leaf, now),
        "draining": leaf.entry.draining,
        "listed": leaf.listed,
        "cold_s": round(max(0.0, leaf.cold_until - now), 2),
        "doubted": leaf.is_doubted,
        "called_last_s": leaf.cold_meter.count(now),
        "standing": leaf.availability.value,
        "stalled": leaf.is_stalled(now),
        "slowness": round(leaf.slowness(now), 2),
        "faults": round(leaf.faults(now), 2),
        "in_flight": leaf.in_flight,
        "heard_s_ago": round(min(now - leaf.last_answer_at, 1e6), 2),
        "round_trip_ms": round(1000.0 * state.fanout.timings.rtt_s(leaf), 2),
    }


def _request(query: Any, now: float) -> dict[str, Any]:
    return {
        "request": query.request.request_id,
        "route": query.route.name,
        "team": query.request.team,
        "age_s": round(now - query.started_at, 3),
        "answered": query.answered(),
        "parts": len(query.parts),
    }
