"""Choice of the leaf for a call: the lowest expected time plus penalties."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.fanout.distance import Distance
from cactussaddle_core.fanout.distance import Need
from cactussaddle_core.fanout.distance import Offer
from cactussaddle_core.fanout.distance import Reason
from cactussaddle_core.fanout.distance import is_safe
from cactussaddle_core.fanout.distance import leaving
from cactussaddle_core.fanout.estimate import expected_s
from cactussaddle_core.fanout.estimate import free_slots
from cactussaddle_core.fanout.estimate import queue_rounds
from cactussaddle_core.fanout.state import Choice
from cactussaddle_core.fleet.model import Availability

if TYPE_CHECKING:
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Route

# Expected remaining time of a pause of the leaf, once a call is overdue.
STALL_COST_S = 0.25
# A leaf that is down or suspect is used only as a last resort.
SUSPECT_COST_S = 5.0
DOWN_COST_S = 10.0
# Cost of a refused or failed call: another round trip and another queue.
FAULT_COST_S = 0.4
# Traffic between regions or failure domains is expensive, so a call to another one costs this fraction
# of the route's objective: a slower leaf nearby is preferred while it is well within the objective.
# Where leaves report the pace of their hosts, `distance` decides instead.
DISTANCE_COST_FRACTION = {Distance.OWN: 0.0, Distance.REGION: 0.05, Distance.BEYOND: 0.3}
# Connections to leaves that are far away are closed after about this time without a call.
KEPT_CONNECTION_S = 1.0
# Random part of the cost, so that nodes don't all choose the same one of equally good leaves.
COST_JITTER = 0.1


class _Rated(NamedTuple):
    """A leaf, its expected time, and that with its random part, by which leaves are compared."""

    cost_s: float
    time_s: float
    leaf: Leaf


def choose(state: FanoutState, part: Part, now: float) -> Choice | None:
    """Return the best leaf that the part has not tried yet, or None if there is none."""
    leaves = candidates(state, part, now)
    if not leaves:
        return None
    if any(leaf.host_pace is not None for leaf in leaves):
        return _choose_by_distance(state, part, leaves, now)
    costs = [(cost_s(state, part.query.route, leaf, now), leaf) for leaf in leaves]
    cost, leaf = min(costs, key=_cost_of)
    return Choice(leaf, cost, len(costs), queue_rounds(leaf, now))


def _choose_by_distance(state: FanoutState, part: Part, leaves: list[Leaf], now: float) -> Choice:
    """Return the best of the nearest leaves, or a farther one if leaving them is worth it."""
    query = part.query
    placed = place(state, query.route, part.service, leaves, query.answer_by - now, now)
    if not part.calls:
        state.leavings.chosen(query.route.name, part.service, placed.reason)
    rounds = queue_rounds(placed.leaf, now)
    return Choice(placed.leaf, placed.cost_s, len(leaves), rounds, placed.distance, placed.reason)


class Placement(NamedTuple):
    """The leaf that a call goes to, its cost, how far it is, and why the call goes there."""

    leaf: Leaf
    cost_s: float
    distance: Distance
    reason: Reason


def place(
    state: FanoutState,
    route: Route,
    service: str,
    leaves: list[Leaf],
    left_s: float,
    now: float,
    *,
    drawn: bool = True,
) -> Placement:
    """Return where a call with `left_s` until its answer is late goes; random parts are `drawn` or left out."""
    near_to_far: dict[Distance, list[Leaf]] = {}
    for leaf in leaves:
        near_to_far.setdefault(distance_of(state, leaf), []).append(leaf)
    need = Need(
        left_s=left_s,
        objective_s=route.objective_s,
        answer_bytes=state.timings.answer_bytes(route),
        has_left=state.leavings.has_left(route.name, service),
    )
    chosen, *farther = sorted(near_to_far)
    best, why = _best(state, route, near_to_far[chosen], now, drawn=drawn), Reason.NEAREST
    near = _offer(state, best, chosen, now)
    for distance in farther:
        # Most calls stay, so farther leaves are rated only where they may be chosen.
        if is_safe(near, need):
            break
        other = _best(state, route, near_to_far[distance], now, drawn=drawn)
        far = _offer(state, other, distance, now)
        reason = leaving(near, far, need)
        if reason is not None:
            best, near, chosen, why = other, far, distance, reason
    return Placement(best.leaf, best.cost_s, chosen, why)


def _best(
    state: FanoutState, route: Route, leaves: list[Leaf], now: float, *, drawn: bool
) -> _Rated:
    """Return the leaf with the least expected time, with a `drawn` random part if there are several."""
    if len(leaves) == 1:
        time_s = time_cost_s(state, route, leaves[0], now)
        return _Rated(time_s, time_s, leaves[0])
    rated = []
    for leaf in leaves:
        time_s = time_cost_s(state, route, leaf, now)
        random_s = jitter_s(state, route, leaf, now) if drawn else 0.0
        rated.append(_Rated(time_s + random_s, time_s, leaf))
    return min(rated, key=_rated_cost)


def _rated_cost(rated: _Rated) -> float:
    return rated.cost_s


def _offer(state: FanoutState, rated: _Rated, distance: Distance, now: float) -> Offer:
    _, time_s, leaf = rated
    rtt_s = state.timings.rtt_s(leaf)
    # A leaf far away that has not answered for a while has no open connection any more.
    is_unconnected = distance is Distance.BEYOND and now - leaf.last_answer_at > KEPT_CONNECTION_S
    setup_s = rtt_s if is_unconnected else 0.0
    return Offer(time_s + setup_s, rtt_s + setup_s, free_slots(leaf, now), leaf.entry.slots)


def distance_of(state: FanoutState, leaf: Leaf) -> Distance:
    """Return how far a leaf is from this node."""
    domain = leaf.entry.domain
    if domain == state.own_domain:
        return Distance.OWN
    region = state.region_of.get(domain)
    is_near = region is not None and region == state.region_of.get(state.own_domain)
    return Distance.REGION if is_near else Distance.BEYOND


def _cost_of(pair: tuple[float, Leaf]) -> float:
    return pair[0]


def candidates(state: FanoutState, part: Part, now: float) -> list[Leaf]:
    """Return the leaves that the part may still be sent to: usable and not yet tried."""
    regions = part.query.regions
    tried = [call.leaf for call in part.calls]
    usable = [
        leaf
        for leaf in state.fleet.leaves_of(part.service)
        if leaf not in tried
        and state.may_call(leaf, now)
        and (regions is None or state.region_of.get(leaf.entry.domain, "") in regions)
    ]
    if part.calls:
        return state.rollouts.leaves_for_extra_call(usable, part.service, now)
    return state.rollouts.leaves_for_first_call(
        usable, part.service, part.query.request.request_id, now
    )


def cost_s(state: FanoutState, route: Route, leaf: Leaf, now: float) -> float:
    """Return the expected time of a call, with penalties for problems of the leaf and its distance."""
    distance_s = DISTANCE_COST_FRACTION[distance_of(state, leaf)] * route.objective_s
    jitter = jitter_s(state, route, leaf, now)
    return time_cost_s(state, route, leaf, now) + distance_s + jitter


def time_cost_s(state: FanoutState, route: Route, leaf: Leaf, now: float) -> float:
    """Return the expected time of a call in seconds, with penalties for problems of the leaf."""
    cost = expected_s(state, route, leaf, now)
    cost += _fault_cost_s(route) * leaf.faults(now)
    if leaf.is_stalled(now - state.own_delay_s(now)):
        cost += STALL_COST_S
    if leaf.availability is Availability.DOWN:
        cost += DOWN_COST_S
    elif leaf.availability is Availability.SUSPECT:
        cost += SUSPECT_COST_S
    return cost


def jitter_s(state: FanoutState, route: Route, leaf: Leaf, now: float) -> float:
    """Return the random part of a leaf's cost; it grows with the age of the leaf's report."""
    jitter = COST_JITTER
    if leaf.host_pace is not None:
        jitter += leaf.host_pace.doubt(now)
    return jitter * state.timings.median_s(route) * state.rng.random()


def _fault_cost_s(route: Route) -> float:
    """Return the cost of a failed call; a request that can't be repeated is lost with it."""
    return FAULT_COST_S if route.idempotent else route.timeout_s
