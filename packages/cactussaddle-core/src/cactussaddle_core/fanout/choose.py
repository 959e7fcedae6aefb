"""Choice of the leaf for a call: the least expected time, with what speaks against a leaf added."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.state import Choice
from cactussaddle_core.fleet.model import Standing

if TYPE_CHECKING:
    from cactussaddle_core.fanout.state import FanoutBook
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Route

# Expected rest of a pause, once a call is overdue.
STALL_COST_S = 0.25
# A leaf that is down or suspect is the last resort.
SUSPECT_COST_S = 5.0
DOWN_COST_S = 10.0
# What a call that is refused or fails costs: another round trip and another queue.
FAULT_COST_S = 0.4
# What a call to another region, or to another failure domain, costs in bytes on dear links, as a
# part of the route's objective: a slower leaf nearby is preferred while it is well in time.
OTHER_REGION_PART = 0.3
OTHER_DOMAIN_PART = 0.05
# Queued calls of other nodes reported longer ago than this tell nothing any more.
LOAD_REPORT_S = 1.0
# Equally good leaves are told apart by chance, so that nodes don't all choose the same one.
SPREAD = 0.1


def choose(book: FanoutBook, part: Part, now: float) -> Choice | None:
    """Return the best leaf that the part has not tried yet; None when there is none."""
    costs = [
        (cost_s(book, part.query.route, leaf, now), leaf) for leaf in candidates(book, part, now)
    ]
    if not costs:
        return None
    cost, leaf = min(costs, key=_first)
    return Choice(leaf, cost, len(costs))


def _first(pair: tuple[float, Leaf]) -> float:
    return pair[0]


def candidates(book: FanoutBook, part: Part, now: float) -> list[Leaf]:
    """Return the leaves that the part may still be sent to."""
    regions = part.query.route.regions
    tried = [call.leaf for call in part.calls]
    usable = [
        leaf
        for leaf in book.fleet.of(part.service)
        if leaf not in tried
        and book.may_call(leaf, now)
        and (not regions or book.region_of.get(leaf.entry.domain, "") in regions)
    ]
    if part.calls:
        return book.rollouts.narrow_again(usable, part.service, now)
    return book.rollouts.narrow(usable, part.service, part.query.request.request_id, now)


def is_servable(book: FanoutBook, part: Part, now: float) -> bool:
    """Return whether some leaf of the part's service is not known to be down."""
    return any(leaf.standing is not Standing.DOWN for leaf in candidates(book, part, now))


def cost_s(book: FanoutBook, route: Route, leaf: Leaf, now: float) -> float:
    """Return the expected time of a call in seconds, with costs for what speaks against the leaf."""
    usual_s = book.timings.usual_s(route)
    cost = book.timings.trip_s(leaf) + usual_s * leaf.slowness(now) * (1.0 + _queue(leaf, now))
    cost += FAULT_COST_S * leaf.faults(now) + _distance_part(book, leaf) * route.objective_s
    if leaf.is_stalled(now):
        cost += STALL_COST_S
    if leaf.standing is Standing.DOWN:
        cost += DOWN_COST_S
    elif leaf.standing is Standing.SUSPECT:
        cost += SUSPECT_COST_S
    return cost + SPREAD * usual_s * book.rng.random()


def _distance_part(book: FanoutBook, leaf: Leaf) -> float:
    domain = leaf.entry.domain
    if domain == book.own_domain:
        return 0.0
    region = book.region_of.get(domain)
    if region is not None and region == book.region_of.get(book.own_domain):
        return OTHER_DOMAIN_PART
    return OTHER_REGION_PART


def _queue(leaf: Leaf, now: float) -> float:
    """Return how many rounds of work are ahead of a new call."""
    slots = max(1, min(leaf.entry.slots, leaf.room))
    ahead = leaf.in_flight
    if leaf.load is not None and now - leaf.load_at < LOAD_REPORT_S:
        ahead = max(ahead, leaf.load.running + leaf.load.waiting)
    free = slots - ahead
    if free > 0:
        return 0.1 * ahead / slots
    return (1 - free) / slots
