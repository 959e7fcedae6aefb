"""Limits the rate at which this node calls a cold leaf.

A cold leaf accepts a limited number of calls per second from all nodes together. If that is less
than one call per node, rendezvous hashing selects the nodes that may call it, so no coordination is
needed; each of these nodes sends one call per second.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.hashing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection

WINDOW_S = 1.0
# Fraction of the configured rate that is used, because nodes may briefly disagree on the members.
SAFETY_FACTOR = 0.7


class ColdRules(NamedTuple):
    """A cold leaf may receive up to `rate * over + slack` calls in any second."""

    over: float
    slack: float


def calls_per_second(
    rules: ColdRules, rate: float, leaf: str, node: str, members: Collection[str]
) -> int:
    """Return how many calls per second this node may send to a cold leaf."""
    allowed = int(SAFETY_FACTOR * (rate * rules.over + rules.slack))
    count = max(1, len(members))
    each = allowed // count
    if each >= 1:
        return each
    chosen = rendezvous(leaf, members)[:allowed]
    return 1 if node in chosen else 0


class ColdMeter:
    """Counts this node's calls to one leaf in the last second.

    It counts all calls and outlives the leaf's restarts: those sent before the node has learned that the
    leaf is cold count as well.
    """

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def record_call(self, now: float) -> None:
        """Count a call."""
        self._evict_old(now)
        self._sent.append(now)

    def count(self, now: float) -> int:
        """Return the number of calls in the last second."""
        self._evict_old(now)
        return len(self._sent)

    def _evict_old(self, now: float) -> None:
        while self._sent and now - self._sent[0] >= WINDOW_S:
            self._sent.popleft()
