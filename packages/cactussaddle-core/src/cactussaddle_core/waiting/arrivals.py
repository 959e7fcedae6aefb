"""How much of this host's processor requests of each priority ask for."""

from __future__ import annotations

import math

# Half-life of the average of the work that arrives.
HALF_LIFE_S = 1.0
# Less urgent requests are never expected to be held up by more than a factor of ten.
MAX_SHARE = 0.9


class Arrivals:
    """The work that arrives by priority, as a share of the processor, averaged over the last seconds."""

    def __init__(self) -> None:
        self._work_s: dict[int, float] = {}
        self._at: dict[int, float] = {}

    def saw(self, priority: int, work_s: float, now: float) -> None:
        """Record a request that has arrived."""
        self._work_s[priority] = self._faded_s(priority, now) + work_s
        self._at[priority] = now

    def slowdown(self, priority: int, now: float) -> float:
        """Return by which factor more urgent requests, still to arrive, hold up those of a priority."""
        above_s = sum(self._faded_s(rank, now) for rank in self._work_s if rank < priority)
        share = above_s * math.log(2.0) / HALF_LIFE_S
        return 1.0 / (1.0 - min(share, MAX_SHARE))

    def _faded_s(self, priority: int, now: float) -> float:
        aged = max(0.0, now - self._at.get(priority, now)) / HALF_LIFE_S
        return self._work_s.get(priority, 0.0) * math.pow(0.5, aged)
