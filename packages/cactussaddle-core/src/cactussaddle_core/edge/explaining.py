"""Where a request would go now, and why, without sending it.

Random parts of the decisions are left out, so the request itself may go to another leaf of about the
same cost.
"""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.access.admit import allowed_regions
from cactussaddle_core.fanout.choose import DISTANCE_COST_FRACTION
from cactussaddle_core.fanout.choose import distance_of
from cactussaddle_core.fanout.choose import place
from cactussaddle_core.fanout.choose import time_cost_s
from cactussaddle_core.fanout.estimate import expected_s
from cactussaddle_core.fanout.estimate import queue_rounds

if TYPE_CHECKING:
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Regions
    from cactussaddle_core.routing.model import Route
    from cactussaddle_core.routing.table import RoutingTable

NOT_LOADED = "the routing table and the leaf registry are not loaded yet"
NO_ROUTE = "no such route"
NO_LEAF = "no leaf can be asked"
LOWEST_COST = "lowest cost"


class LeafView(NamedTuple):
    """One leaf of a service; `obstacle` is why it gets no call now, empty if it may get one.

    `cost_ms` is its expected time with the penalties for its faults, its standing and its distance.
    """

    leaf: str
    domain: str
    distance: str
    obstacle: str
    standing: str
    expected_ms: float
    cost_ms: float
    queue_rounds: float
    pace: float


class PartView(NamedTuple):
    """Where the call of one service would go, and why; `leaf` is empty if it could go nowhere."""

    service: str
    weight: float
    leaf: str
    reason: str
    leaves: tuple[LeafView, ...]


class RequestView(NamedTuple):
    """Where a request would go; `delegate` is the node that would run it for this one, empty if none.

    `obstacle` is why it would be refused, as far as routes and leaves decide that; empty if it would not.
    """

    node: str
    table_version: int
    route: str
    priority: int
    team: str
    obstacle: str
    delegate: str
    parts: tuple[PartView, ...]


def explain(state: EdgeState, host: str, path: str, team: str, now: float) -> RequestView:
    """Return where a request for a path would go, if it came from a team now; no team if that is empty."""
    table = state.current_table.table
    if table is None or not state.is_loaded():
        return RequestView(state.me.node, 0, "", 0, team, NOT_LOADED, "", ())
    route = table.find(host, path)
    if route is None:
        return RequestView(state.me.node, table.version, "", 0, team, NO_ROUTE, "", ())
    priority, regions = _terms(table, route, team)
    parts = tuple(
        _part(state, route, service, weight, regions, now) for service, weight in _services(route)
    )
    member = state.delegates.choose(route.name, len(route.shards), random.Random(0), now)
    is_delegated = member is not None and table.keys is None and not route.regions
    return RequestView(
        node=state.me.node,
        table_version=table.version,
        route=route.name,
        priority=priority,
        team=team,
        obstacle=_obstacle(route, parts),
        delegate=member.node if is_delegated and member is not None else "",
        parts=parts,
    )


def _terms(table: RoutingTable, route: Route, team: str) -> tuple[int, Regions]:
    """Return the priority and the regions of a team's request on a route."""
    teams = table.keys.teams if table.keys is not None else ()
    found = next((known for known in teams if known.name == team), None)
    if found is None or route.public:
        return route.priority, allowed_regions(route)
    priority = route.priority if found.priority is None else found.priority
    return priority, allowed_regions(route, found)


def _services(route: Route) -> list[tuple[str, float]]:
    if route.shards:
        return [(service, 1.0) for service in route.shards]
    return [(target.service, target.weight) for target in route.targets]


def _obstacle(route: Route, parts: tuple[PartView, ...]) -> str:
    """Return why the request would be refused."""
    served = sum(1 for part in parts if part.leaf)
    needed = route.least * len(parts) if route.shards else 1.0
    return "" if served >= needed - 1e-9 else f"{served} of {len(parts)} services can be asked"


def _part(
    state: EdgeState, route: Route, service: str, weight: float, regions: Regions, now: float
) -> PartView:
    leaves = state.fleet.leaves_of(service)
    views = tuple(_leaf(state, route, leaf, regions, now) for leaf in leaves)
    usable = [leaf for leaf, view in zip(leaves, views, strict=True) if not view.obstacle]
    if not usable:
        return PartView(service, weight, "", NO_LEAF, views)
    leaf, reason = _best(state, route, service, usable, now)
    return PartView(service, weight, leaf.name, reason, views)


def _best(
    state: EdgeState, route: Route, service: str, leaves: list[Leaf], now: float
) -> tuple[Leaf, str]:
    """Return the leaf that a call would go to, and why."""
    fanout = state.fanout
    if all(leaf.host_pace is None for leaf in leaves):
        return min(leaves, key=lambda leaf: _cost_s(state, route, leaf, now)), LOWEST_COST
    placed = place(fanout, route, service, leaves, route.objective_s, now, drawn=False)
    return placed.leaf, placed.reason.value


def _cost_s(state: EdgeState, route: Route, leaf: Leaf, now: float) -> float:
    fraction = DISTANCE_COST_FRACTION[distance_of(state.fanout, leaf)]
    return time_cost_s(state.fanout, route, leaf, now) + fraction * route.objective_s


def _leaf(state: EdgeState, route: Route, leaf: Leaf, regions: Regions, now: float) -> LeafView:
    return LeafView(
        leaf=leaf.name,
        domain=leaf.entry.domain,
        distance=distance_of(state.fanout, leaf).name.lower(),
        obstacle=_leaf_obstacle(state, leaf, regions, now),
        standing=leaf.availability.value,
        expected_ms=round(1000.0 * expected_s(state.fanout, route, leaf, now), 1),
        cost_ms=round(1000.0 * _cost_s(state, route, leaf, now), 1),
        queue_rounds=round(queue_rounds(leaf, now), 2),
        pace=round(leaf.pace(now), 2),
    )


def _leaf_obstacle(state: EdgeState, leaf: Leaf, regions: Regions, now: float) -> str:
    """Return why a leaf gets no call now, empty if it may get one."""
    region = state.me.region_of.get(leaf.entry.domain, "")
    if regions is not None and region not in regions:
        return "its region is not allowed"
    if leaf.entry.domain in state.fleet.domains_out:
        return "its failure domain is taken out"
    if leaf.is_leaving:
        return "it is leaving"
    if leaf.displaced:
        return "another leaf answers at its address"
    if now >= leaf.drop_at:
        return "its entry was removed"
    if now < leaf.pause_until:
        return "it has asked for a pause"
    if not state.may_call(leaf, now):
        return "its limit for this node is used up"
    return ""
