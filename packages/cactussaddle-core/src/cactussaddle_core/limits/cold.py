"""The rate at which this node may call a cold leaf.

A cold leaf bears some calls a second from all nodes together. Where that is less than one call a
node, the nodes that may call it are drawn by rendezvous hashing, so that they need not agree by
messages; each takes one call a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.hashing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

WINDOW_S = 1.0
# Part of the stated rate that is used: two nodes may for a moment see different members.
SAFETY = 0.7


class ColdRules(NamedTuple):
    """A cold leaf may get `rate * over + slack` calls in any second."""

    over: float
    slack: float


def calls_per_second(
    rules: ColdRules, rate: float, leaf: str, node: str, members: Sequence[str]
) -> int:
    """Return how many calls a second this node may send to a cold leaf."""
    allowed = int(SAFETY * (rate * rules.over + rules.slack))
    count = max(1, len(members))
    each = allowed // count
    if each >= 1:
        return each
    chosen = rendezvous(leaf, members)[:allowed]
    return 1 if node in chosen else 0


class ColdMeter:
    """The times of this node's calls to one leaf in the last second."""

    def __init__(self) -> None:
        self._sent: list[float] = []

    def sent(self, now: float) -> None:
        """Count a call."""
        self._sent = [at for at in self._sent if now - at < WINDOW_S]
        self._sent.append(now)

    def count(self, now: float) -> int:
        """Return the calls of the last second."""
        return sum(1 for at in self._sent if now - at < WINDOW_S)
