"""How long a request for records waits for changes, and for its answer, by the age of the known records."""

from __future__ import annotations

from cactussaddle_core.spread.choice import STALE_S
from cactussaddle_core.spread.model import Poll
from cactussaddle_core.spread.timing import FAST_ANSWER_S
from cactussaddle_core.spread.timing import LATEST_AGE_S
from cactussaddle_core.spread.timing import LONG_POLL_S
from cactussaddle_core.spread.timing import MAX_WATCHED_AGE_S
from cactussaddle_core.spread.timing import MIN_LONG_POLL_S
from cactussaddle_core.spread.timing import MIN_NODE_TIMEOUT_S
from cactussaddle_core.spread.timing import NODE_TIMEOUT_S
from cactussaddle_core.spread.timing import SHORT_WATCH_S
from cactussaddle_core.spread.timing import SLOW_STORE_TIMEOUT_S
from cactussaddle_core.spread.timing import STORE_TIMEOUT_S
from cactussaddle_core.spread.timing import WATCH_S


def poll_of(after: int, age_s: float, era: int = 0) -> Poll:
    """Return the request to a node for the changes after a revision, by records `age_s` old.

    The older they are, the sooner the request is given up, so that another source is asked in time.
    """
    wait_s = min(LONG_POLL_S, max(MIN_LONG_POLL_S, STALE_S - age_s))
    timeout_s = min(NODE_TIMEOUT_S, max(MIN_NODE_TIMEOUT_S, LATEST_AGE_S - age_s - wait_s))
    return Poll(after, age_s, wait_s, timeout_s, era)


def watch_s(age_s: float, *, reads_store: bool) -> float:
    """Return how long a request to the store waits for changes, by records `age_s` old."""
    most_s = WATCH_S if reads_store else SHORT_WATCH_S
    return min(most_s, max(0.0, MAX_WATCHED_AGE_S - age_s))


class StoreTimeout:
    """The time-out of requests to the store, beyond the wait that they ask for.

    It is short, so that a lost answer is missed soon, and longer while the store is slow.
    """

    def __init__(self) -> None:
        self.seconds = STORE_TIMEOUT_S

    def missed(self) -> None:
        """Record that a request without a wait got no answer in time."""
        self.seconds = SLOW_STORE_TIMEOUT_S

    def answered(self, late_s: float) -> None:
        """Record that an answer came `late_s` after the wait of its request."""
        if late_s < FAST_ANSWER_S:
            self.seconds = STORE_TIMEOUT_S
