"""What can't be served is refused before it runs, with the time after which to come back.

A query over many shards is worth little once it is late, and while one shard's queues are full of
queries that will be late, no other gets through in time either; the work of the other shards is then
lost as well. So such a query is begun only while the queues of enough shards let it end in time.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.fanout.choose import candidates
from cactussaddle_core.fanout.choose import expected_s
from cactussaddle_core.fanout.choose import has_free_slot
from cactussaddle_core.fleet.model import Standing

if TYPE_CHECKING:
    from cactussaddle_core.fanout.state import FanoutBook
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fanout.state import Query

# When to come back where no leaf can be asked; its next probe is due within a second or two.
NO_LEAF_RETRY_S = 0.3
# Bounds of the time to come back after a queue has drained.
LEAST_RETRY_S = 0.1
MOST_RETRY_S = 1.0
# Callers refused together are told times that differ by this part, so as not to come back together.
RETRY_SPREAD = 0.25


class Refusal(NamedTuple):
    """Why a query isn't begun, and when its caller may come back."""

    reason: str
    retry_after_s: float


def refusal(book: FanoutBook, query: Query, now: float) -> Refusal | None:
    """Return why a query can't be served, None when it can."""
    waits = [_wait_s(book, part, now) for part in query.parts]
    servable = sum(1 for wait_s in waits if wait_s is not None)
    if servable < query.needed():
        reason = f"{servable} of {len(waits)} services can be asked"
        return Refusal(reason, spread_retry(book, NO_LEAF_RETRY_S))
    if not query.gathers:
        return None
    in_time_s = query.answer_by - now
    late = sorted(wait_s for wait_s in waits if wait_s is not None and wait_s > in_time_s)
    in_time = servable - len(late)
    lacking = query.needed() - in_time
    if lacking <= 0:
        return None
    over_s = late[lacking - 1] - in_time_s
    reason = f"queues of {lacking} services are too long by {1000.0 * over_s:.0f} ms"
    return Refusal(reason, spread_retry(book, min(max(over_s, LEAST_RETRY_S), MOST_RETRY_S)))


def _wait_s(book: FanoutBook, part: Part, now: float) -> float | None:
    """Return how long a part would wait and run at its best leaf: 0 where no queue is full.

    None where no leaf can be asked.
    """
    ready = [leaf for leaf in candidates(book, part, now) if leaf.standing is not Standing.DOWN]
    if not ready:
        return None
    if any(has_free_slot(leaf, now) for leaf in ready):
        return 0.0
    route = part.query.route
    return min((expected_s(book, route, leaf, now) for leaf in ready), default=math.inf)


def spread_retry(book: FanoutBook, retry_s: float) -> float:
    """Return a time to come back, a little different for each caller."""
    return retry_s * (1.0 + RETRY_SPREAD * book.rng.random())
