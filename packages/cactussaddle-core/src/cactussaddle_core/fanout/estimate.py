"""Estimates of how long a call at a leaf will take, from its speed, its queue and its distance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Route

# Load reports older than this, which include other nodes' calls, are ignored.
LOAD_REPORT_MAX_AGE_S = 1.0
# Rounds of work assumed at a leaf that is almost full, so that calls go to the least busy one.
PARTLY_BUSY_ROUNDS = 0.1


def expected_s(state: FanoutState, route: Route, leaf: Leaf, now: float) -> float:
    """Return the expected time of a call, given the leaf's speed and queue."""
    work_s = state.timings.median_s(route) * leaf.slowness(now) * leaf.pace(now)
    return state.timings.rtt_s(leaf) + work_s * (1.0 + queue_rounds(leaf, now))


def has_free_slot(leaf: Leaf, now: float) -> bool:
    """Return whether, as far as is known, a call would run without queueing."""
    if leaf.in_flight >= leaf.connection_limit:
        return False
    return _calls_ahead(leaf, now) < leaf.entry.slots


def free_slots(leaf: Leaf, now: float) -> float:
    """Return how many slots of a leaf are likely to be free."""
    return leaf.entry.slots - _calls_ahead(leaf, now)


def queue_rounds(leaf: Leaf, now: float) -> float:
    """Return how many rounds of work a new call would wait for.

    It waits for one of the leaf's slots, for which all nodes compete, and for one of this node's own
    connections, of which there may be fewer: each queue is compared with its own limit.
    """
    at_leaf = _rounds(_calls_ahead(leaf, now), leaf.entry.slots)
    for_connection = _rounds(leaf.in_flight, leaf.connection_limit)
    return max(at_leaf, for_connection)


def _rounds(ahead: float, limit: int) -> float:
    limit = max(1, limit)
    if ahead < limit:
        return PARTLY_BUSY_ROUNDS * ahead / limit
    return (1 + ahead - limit) / limit


def _calls_ahead(leaf: Leaf, now: float) -> float:
    """Return the calls running or queued at a leaf: this node's, or more by its last report."""
    if leaf.host_pace is not None:
        return leaf.host_pace.expected_calls(leaf.in_flight, now)
    if leaf.load is not None and now - leaf.load_at < LOAD_REPORT_MAX_AGE_S:
        return max(leaf.in_flight, leaf.load.running + leaf.load.waiting)
    return leaf.in_flight
