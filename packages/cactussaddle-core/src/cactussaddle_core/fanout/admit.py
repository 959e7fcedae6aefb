"""Admission: queries that can't be served are refused before they run, with a retry delay.

A late answer from many shards is worth little. While the queues of one shard are full of queries
that will be late, no other query gets through that shard in time, and the work that the other shards
do for them is wasted. So such a query is started only if the queues of enough shards allow it to end
in time.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.fanout.choose import candidates
from cactussaddle_core.fanout.estimate import expected_s
from cactussaddle_core.fanout.estimate import has_free_slot
from cactussaddle_core.fleet.model import Availability

if TYPE_CHECKING:
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fanout.state import Query

# Retry delay if no leaf is available; the next probe is due within a second or two.
NO_LEAF_RETRY_S = 0.3
# Bounds of the retry delay while a queue drains.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0
# Relative jitter of retry delays, so that callers refused together don't retry together.
RETRY_JITTER = 0.25


# While the node shuts down, a query is started only if this multiple of its expected time is left.
STOP_TIME_FACTOR = 2.0
# Retry delay for callers of a node that shuts down; the load balancer has others.
STOPPING_RETRY_S = 0.1
STOPPING = "node is shutting down"


class Refusal(NamedTuple):
    """Why a query was not started, and the delay after which its caller may retry."""

    reason: str
    retry_after_s: float


def refusal(state: FanoutState, query: Query, now: float) -> Refusal | None:
    """Return why a query can't be served, or None if it can."""
    waits = [_best_expected_s(state, part, now) for part in query.parts]
    servable = sum(1 for wait_s in waits if wait_s is not None)
    if servable < query.needed():
        reason = f"{servable} of {len(waits)} services can be asked"
        shortfall = query.needed() - servable
        retry_s = max(NO_LEAF_RETRY_S, _pause_left_s(state, query, shortfall, now))
        return Refusal(reason, with_jitter(state, retry_s))
    if _outlasts_node(state, query, now):
        return Refusal(STOPPING, with_jitter(state, STOPPING_RETRY_S))
    if not query.gathers:
        return None
    # A request that has waited for this host is answered late rather than refused after the wait.
    has_waited = state.room.is_on and query.waited_s > 0.0
    remaining_s = (query.deadline if has_waited else query.answer_by) - now
    late = sorted(wait_s for wait_s in waits if wait_s is not None and wait_s > remaining_s)
    in_time = servable - len(late)
    shortfall = query.needed() - in_time
    if shortfall <= 0:
        return None
    over_s = late[shortfall - 1] - remaining_s
    reason = f"queues of {shortfall} services are too long by {1000.0 * over_s:.0f} ms"
    return Refusal(reason, with_jitter(state, min(max(over_s, MIN_RETRY_S), MAX_RETRY_S)))


def _outlasts_node(state: FanoutState, query: Query, now: float) -> bool:
    """Return whether the node most likely exits before the query could be answered."""
    if math.isinf(state.give_up_at):
        return False
    times = sorted(_best_time_s(state, part, now) for part in query.parts)
    return now + STOP_TIME_FACTOR * times[query.needed() - 1] > state.give_up_at


def _best_time_s(state: FanoutState, part: Part, now: float) -> float:
    """Return the expected time of a part at its best leaf, in seconds; infinity if no leaf is available."""
    route = part.query.route
    times = (expected_s(state, route, leaf, now) for leaf in candidates(state, part, now))
    return min(times, default=math.inf)


def _pause_left_s(state: FanoutState, query: Query, shortfall: int, now: float) -> float:
    """Return the time until enough services have a leaf again that does not ask for a pause; 0 if none does."""
    ends = []
    for part in query.parts:
        pauses = [leaf.pause_until - now for leaf in state.fleet.leaves_of(part.service)]
        if pauses and min(pauses) > 0.0:
            ends.append(min(pauses))
    return sorted(ends)[shortfall - 1] if len(ends) >= shortfall else 0.0


def _best_expected_s(state: FanoutState, part: Part, now: float) -> float | None:
    """Return the expected time of a part at its best leaf, in seconds; 0 if a slot is free.

    Return None if no leaf is available.
    """
    ready = [
        leaf for leaf in candidates(state, part, now) if leaf.availability is not Availability.DOWN
    ]
    if not ready:
        return None
    if any(has_free_slot(leaf, now) for leaf in ready):
        return 0.0
    route = part.query.route
    return min((expected_s(state, route, leaf, now) for leaf in ready), default=math.inf)


def with_jitter(state: FanoutState, retry_s: float) -> float:
    """Return a retry delay with random jitter."""
    return retry_s * (1.0 + RETRY_JITTER * state.rng.random())
