"""A decaying estimate of a latency's quantile over logarithmic buckets."""

from __future__ import annotations

import math

BUCKETS_PER_DOUBLING = 8
SMALLEST_S = 0.0005
BUCKETS = 160
DECAY_EVERY = 512


class LatencySketch:
    """Counts in logarithmic buckets, halved every `DECAY_EVERY` samples. Times in seconds."""

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.total = 0.0
        self._since_decay = 0
        self._found: dict[float, float] = {}

    def add(self, seconds: float) -> None:
        """Record one sample."""
        self.counts[_bucket(seconds)] += 1.0
        self.total += 1.0
        self._found.clear()
        self._since_decay += 1
        if self._since_decay >= DECAY_EVERY:
            self._decay()

    def quantile(self, q: float, default: float) -> float:
        """Return the upper bound of the bucket that holds quantile `q`, or `default` if empty."""
        if self.total <= 0.0:
            return default
        found = self._found.get(q)
        if found is None:
            found = self._found[q] = self._find(q)
        return found

    def _find(self, q: float) -> float:
        wanted = q * self.total
        seen = 0.0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= wanted:
                return _upper_bound(index)
        return _upper_bound(BUCKETS - 1)

    def _decay(self) -> None:
        self.counts = [count * 0.5 for count in self.counts]
        self.total *= 0.5
        self._since_decay = 0


def _bucket(seconds: float) -> int:
    if seconds <= SMALLEST_S:
        return 0
    index = int(math.log2(seconds / SMALLEST_S) * BUCKETS_PER_DOUBLING)
    return min(index, BUCKETS - 1)


def _upper_bound(index: int) -> float:
    return SMALLEST_S * math.exp2((index + 1) / BUCKETS_PER_DOUBLING)
