"""The budget for calls beyond the first of each request, in sliding windows.

All nodes together may make, for each service, extra calls up to a share of its requests and a
fixed allowance. The share is kept by each node for its own requests, and the allowance is divided
evenly, so the sum holds without messages.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

BUCKETS = 20
# Part of the budget that is used: windows of nodes that restarted since are forgotten.
SAFETY = 0.8


class BudgetRules(NamedTuple):
    """What all nodes may spend on one service in any window of `window_s` seconds."""

    ratio: float
    allowance: float
    window_s: float


class _Window:
    """Counts of one service in the last window."""

    def __init__(self) -> None:
        self.buckets: deque[list[int]] = deque()
        self.requests = 0
        self.extras = 0

    def roll(self, index: int) -> None:
        """Forget the buckets that the window has left behind."""
        while self.buckets and self.buckets[0][0] < index - BUCKETS:
            _, requests, extras = self.buckets.popleft()
            self.requests -= requests
            self.extras -= extras

    def current(self, index: int) -> list[int]:
        """Return the bucket of the present time."""
        if not self.buckets or self.buckets[-1][0] != index:
            self.buckets.append([index, 0, 0])
        return self.buckets[-1]


class RetryBudget:
    """Extra calls that this node may still make, by service."""

    def __init__(self, *, rules: BudgetRules, nodes: int) -> None:
        self.rules = rules
        self.nodes = max(1, nodes)
        self.denied = 0
        self._bucket_s = rules.window_s / BUCKETS
        self._windows: dict[str, _Window] = {}

    def request(self, service: str, now: float) -> None:
        """Count a request for a service, sent to it or not."""
        window, index = self._window(service, now)
        window.current(index)[1] += 1
        window.requests += 1

    def left(self, service: str, now: float) -> float:
        """Return how many extra calls are left in this window."""
        window, _ = self._window(service, now)
        allowance = SAFETY * self.rules.allowance / self.nodes
        return SAFETY * self.rules.ratio * window.requests + allowance - window.extras

    def take(self, service: str, now: float, *, reserve: float = 0.0) -> bool:
        """Spend one extra call if more than `reserve` would be left for others."""
        if self.left(service, now) - 1.0 < reserve:
            self.denied += 1
            return False
        window, index = self._window(service, now)
        window.current(index)[2] += 1
        window.extras += 1
        return True

    def give_back(self, service: str, now: float) -> None:
        """Take back an extra call that never left this node."""
        window, index = self._window(service, now)
        if window.extras > 0:
            window.current(index)[2] -= 1
            window.extras -= 1

    def _window(self, service: str, now: float) -> tuple[_Window, int]:
        index = int(now / self._bucket_s)
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.roll(index)
        return window, index
