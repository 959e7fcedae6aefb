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


def cost_s(book: FanoutBook, route: Route, leaf: Leaf, now: float) -> float:
    """Return the expected time of a call in seconds, with costs for what speaks against the leaf."""
    cost = expected_s(book, route, leaf, now)
    cost += FAULT_COST_S * leaf.faults(now) + _distance_part(book, leaf) * route.objective_s
    if leaf.is_stalled(now):
        cost += STALL_COST_S
    if leaf.standing is Standing.DOWN:
        cost += DOWN_COST_S
    elif leaf.standing is Standing.SUSPECT:
        cost += SUSPECT_COST_S
    return cost + SPREAD * book.timings.usual_s(route) * book.rng.random()


def expected_s(book: FanoutBook, route: Route, leaf: Leaf, now: float) -> float:
    """Return how long a call is expected to take, by the leaf's speed and its queue."""
    work_s = book.timings.usual_s(route) * leaf.slowness(now)
    return book.timings.trip_s(leaf) + work_s * (1.0 + queue_rounds(leaf, now))


def _distance_part(book: FanoutBook, leaf: Leaf) -> float:
    domain = leaf.entry.domain
    if domain == book.own_domain:
        return 0.0
    region = book.region_of.get(domain)
    if region is not None and region == book.region_of.get(book.own_domain):
        return OTHER_DOMAIN_PART
    return OTHER_REGION_PART


def has_free_slot(leaf: Leaf, now: float) -> bool:
    """Return whether a call would run at once, as far as is known."""
    return _ahead(leaf, now) < _slots(leaf)


def queue_rounds(leaf: Leaf, now: float) -> float:
    """Return how many rounds of work are ahead of a new call."""
    slots = _slots(leaf)
    free = slots - _ahead(leaf, now)
    if free > 0:
        return 0.1 * (slots - free) / slots
    return (1 - free) / slots


def _slots(leaf: Leaf) -> int:
    return max(1, min(leaf.entry.slots, leaf.room))


def _ahead(leaf: Leaf, now: float) -> int:
    """Return the calls that run or wait at a leaf: this node's own, or all by its last report."""
    if leaf.load is not None and now - leaf.load_at < LOAD_REPORT_S:
        return max(leaf.in_flight, leaf.load.running + leaf.load.waiting)
    return leaf.in_flight
