"""Retry budget: limits calls beyond the first of each request, in sliding windows.

For each service, all nodes together may make extra calls up to a ratio of its requests plus a fixed
allowance. Each node applies the ratio to its own requests and gets an equal share of the allowance,
so the total stays within the limit without coordination. A node that has no share makes calls by its own requests
alone.
"""

from __future__ import annotations

import math

from collections import deque
from typing import NamedTuple

BUCKETS = 20
# Fraction of the budget that is used; the rest is for nodes that have restarted.
SAFETY_FACTOR = 0.8
# Fraction of its usual budget that a node has in its first window, as a reserve: what it spent before a restart
# still counts, and all nodes may restart at once. Without a grant of the reserve it has none.
RESTART_FACTOR = 0.25


class BudgetRules(NamedTuple):
    """Extra calls that all nodes may make to one service in any window of `window_s` seconds."""

    ratio: float
    allowance: float
    window_s: float


class BudgetAccount(NamedTuple):
    """One node's requests and extra calls for a service in the current window, and the calls left."""

    requests: int
    spent: int
    left: float


class _Window:
    """Counts of requests and extra calls for one service in the current window."""

    def __init__(self) -> None:
        self.buckets: deque[list[int]] = deque()
        self.requests = 0
        self.extras = 0

    def evict_old(self, index: int) -> None:
        """Drop the buckets that are older than the window."""
        while self.buckets and self.buckets[0][0] < index - BUCKETS:
            _, requests, extras = self.buckets.popleft()
            self.requests -= requests
            self.extras -= extras

    def current(self, index: int) -> list[int]:
        """Return the bucket for the current time, creating it if needed."""
        if not self.buckets or self.buckets[-1][0] != index:
            self.buckets.append([index, 0, 0])
        return self.buckets[-1]


class RetryBudget:
    """Tracks the extra calls that this node may still make, by service.

    The allowance is divided by `nodes`, infinity if this node has no share. The process started at
    `started_at`, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        rules: BudgetRules,
        nodes: float,
        started_at: float = -math.inf,
        has_reserve: bool = True,
    ) -> None:
        self.rules = rules
        self.has_reserve = has_reserve
        self._started_at = started_at
        self.nodes = max(1.0, nodes)
        self.denied = 0
        self.spent = 0
        self._bucket_s = rules.window_s / BUCKETS
        self._windows: dict[str, _Window] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request for a service, whether or not it is sent."""
        window, index = self._window(service, now)
        window.current(index)[1] += 1
        window.requests += 1

    def left(self, service: str, now: float) -> float:
        """Return how many extra calls remain in the current window."""
        window, _ = self._window(service, now)
        usable = SAFETY_FACTOR
        if now - self._started_at < self.rules.window_s:
            usable *= RESTART_FACTOR if self.has_reserve else 0.0
        budget = self.rules.ratio * window.requests + self.rules.allowance / self.nodes
        return usable * budget - window.extras

    def take(self, service: str, now: float, *, reserve: float = 0.0) -> bool:
        """Spend one extra call if at least `reserve` calls remain afterwards."""
        if self.left(service, now) - 1.0 < reserve:
            self.denied += 1
            return False
        window, index = self._window(service, now)
        window.current(index)[2] += 1
        window.extras += 1
        self.spent += 1
        return True

    def refund(self, service: str, now: float) -> None:
        """Return an extra call that never left this node to the budget."""
        window, index = self._window(service, now)
        if window.extras > 0:
            window.current(index)[2] -= 1
            window.extras -= 1

    def account(self, service: str, now: float) -> BudgetAccount:
        """Return what this node's budget for a service is made of now."""
        window, _ = self._window(service, now)
        return BudgetAccount(window.requests, window.extras, self.left(service, now))

    def _window(self, service: str, now: float) -> tuple[_Window, int]:
        index = int(now / self._bucket_s)
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.evict_old(index)
        return window, index
