"""The concurrency limit of one leaf, adapted to the results of its calls.

Health and load endpoints are not used. A leaf starts cold, and its limit rises by one after a number
of answered calls, since it warms up by answering. A reset, a new incarnation or a step in its
latency resets the limit at once. After each reset a step takes twice as many calls, until the leaf
has been warm again.
"""

from __future__ import annotations

import enum
import random

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require

if TYPE_CHECKING:
    from collections.abc import Callable

# Answered calls before the limit rises by one, and the maximum factor on that number.
STEP_CALLS = 25
MAX_PACE = 16
BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# A leaf is taken for cold if all recent answers are slower than its usual latency by this factor.
LATENCY_STEP = 1.8
LATENCY_WINDOW = 5
# Weight of the newest answer in the moving average of the latency of a warm leaf.
FLOOR_WEIGHT = 0.05
LATE_IN_A_ROW = 3
PAST_INCARNATIONS = 8
# A leaf that has not answered for this long may have restarted.
UNSEEN_S = 2.0


class LeafHealth(enum.StrEnum):
    """State of a leaf as seen by this node."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    DOWN = "down"


class Health(NamedTuple):
    """State of a leaf; `retry_in_s` is positive while no calls are sent to it."""

    state: LeafHealth
    limit: int
    retry_in_s: float


def whole(total: int) -> int:
    """Return the share of a node that is the only one to use the leaf."""
    return total


class LeafLimit:
    """The concurrency limit of one leaf at one node.

    `seed` makes the retry times of different nodes differ.
    """

    def __init__(self, *, slots: int, cold_slots: int = 1, seed: str = "") -> None:
        self.in_flight = 0
        self.incarnation = ""
        self._slots = max(1, slots)
        self._cold = max(1, min(cold_slots, slots))
        self._rng = random.Random(seed)
        self._limit = self._cold
        self._pace = 1
        self._answered = 0
        self._failures = 0
        self._late = 0
        self._retry_at = 0.0
        self._floor_s: float | None = None
        self._recent: deque[float] = deque(maxlen=LATENCY_WINDOW)
        self._past: deque[str] = deque(maxlen=PAST_INCARNATIONS)
        self._seen_at: float | None = None
        self._unsure = False

    def configure(self, *, slots: int, cold_slots: int) -> None:
        """Apply the limits of a newer configuration."""
        self._slots = max(1, slots)
        self._cold = max(1, min(cold_slots, slots))
        self._limit = min(self._limit, self._slots)

    def limit(self, now: float, share: Callable[[int], int] = whole) -> int:
        """Return how many calls this node may have in flight; 0 during a back-off.

        `share` returns this node's part of a limit that holds for all nodes together. A leaf that
        has not answered for `UNSEEN_S` may have restarted, so it is limited as if cold until it
        answers again.
        """
        if now < self._retry_at:
            return 0
        if self._failures:
            return min(1, share(self._cold))
        unseen = self._seen_at is None or now - self._seen_at > UNSEEN_S
        if unseen or self._unsure:
            return min(share(self._limit), self._cold)
        return share(self._limit)

    def health(self, now: float) -> Health:
        """Return the state of the leaf."""
        limit = self.limit(now)
        retry_in_s = max(0.0, self._retry_at - now)
        if self._failures or retry_in_s > 0.0:
            return Health(LeafHealth.DOWN, limit, retry_in_s)
        if self._limit >= self._slots:
            return Health(LeafHealth.WARM, limit, 0.0)
        if self._limit > self._cold:
            return Health(LeafHealth.WARMING, limit, 0.0)
        return Health(LeafHealth.COLD, limit, 0.0)

    def begin(self, now: float, share: Callable[[int], int] = whole) -> bool:
        """Count a call that is about to be dispatched; return whether the limit allows it."""
        if self.in_flight >= self.limit(now, share):
            return False
        self.in_flight += 1
        require(
            self.in_flight <= self._limit and (not self._failures or self.in_flight == 1),
            Promise.COLD_LIMIT,
            f"{self.in_flight} calls at a leaf that bears {self._limit}",
        )
        return True

    def observe(self, outcome: CallOutcome, latency_s: float, incarnation: str, now: float) -> None:
        """Record the end of a call; `incarnation` is empty if the leaf did not report it."""
        self.in_flight = max(0, self.in_flight - 1)
        if incarnation and not self._is_current(incarnation):
            return
        if outcome is CallOutcome.OK:
            self._seen_at = now
            self._unsure = False
            self._on_answer(latency_s)
        elif outcome is CallOutcome.SHED:
            self._on_shed(now)
        elif outcome is CallOutcome.RESET:
            self._fall()
            self._back_off(now)
        elif outcome is CallOutcome.REFUSED:
            self._go_cold()
            self._back_off(now)
        elif outcome is CallOutcome.LATE:
            self._on_late(latency_s)

    def connection_reset(self, now: float) -> None:
        """Record that an idle connection was reset rather than closed: the leaf has restarted."""
        self._fall()

    def connection_closed(self) -> None:
        """Record that the leaf closed an idle connection, as a leaf that stops does.

        It is limited as if cold until the incarnation in its next answer shows whether it restarted.
        """
        self._unsure = True

    def take_hint(self, limit: int, incarnation: str, now: float | None = None) -> None:
        """Apply the limit last observed by the owner, if this node has no recent answer itself.

        Without `now`, the hint is applied only if this node has never had an answer.
        """
        seen_at = self._seen_at
        if seen_at is not None and now is not None and now - seen_at > UNSEEN_S:
            seen_at = None
        if seen_at is None and incarnation and not self.in_flight:
            self._seen_at = None
            self._failures = self._answered = 0
            self.incarnation = incarnation
            self._limit = max(1, min(limit, self._slots))

    def _is_current(self, incarnation: str) -> bool:
        """Record the incarnation that answered; return False for an answer of an earlier one."""
        if incarnation in self._past:
            return False
        if self.incarnation and incarnation != self.incarnation:
            self._past.append(self.incarnation)
            self._fall()
        self.incarnation = incarnation
        return True

    def _on_answer(self, latency_s: float) -> None:
        self._failures = 0
        self._late = 0
        self._retry_at = 0.0
        if self._latency_stepped_up(latency_s):
            self._go_cold()
            self._floor_s = None
            return
        self._answered += 1
        if self._limit < self._slots and self._answered >= STEP_CALLS * self._pace:
            self._limit += 1
            self._answered = 0
        if self._limit >= self._slots:
            self._pace = 1

    def _latency_stepped_up(self, latency_s: float) -> bool:
        """Record the latency of an answer; only several slow ones in a row count."""
        self._recent.append(latency_s)
        if self._limit >= self._slots:
            floor = latency_s if self._floor_s is None else self._floor_s
            self._floor_s = floor + FLOOR_WEIGHT * (min(latency_s, 2 * floor) - floor)
        if self._floor_s is None or len(self._recent) < LATENCY_WINDOW:
            return False
        return self._limit > self._cold and min(self._recent) > LATENCY_STEP * self._floor_s

    def _on_late(self, latency_s: float) -> None:
        self._late += 1
        slow = self._floor_s is None or latency_s > LATENCY_STEP * self._floor_s
        if self._late >= LATE_IN_A_ROW and slow:
            self._late = 0
            self._go_cold()

    def _on_shed(self, now: float) -> None:
        self._answered = 0
        if self._limit > 1:
            self._limit = max(1, min(self._limit, self.in_flight + 1) - 1)
        else:
            self._back_off(now)

    def _fall(self) -> None:
        """Reset the limit after a crash; calls that were reset together count once."""
        if self._answered or self._limit > self._cold:
            self._pace = min(self._pace * 2, MAX_PACE)
        self._go_cold()

    def _go_cold(self) -> None:
        self._limit = self._cold
        self._answered = 0
        self._recent.clear()

    def _back_off(self, now: float) -> None:
        if now < self._retry_at:
            return
        self._failures += 1
        wait_s = min(BACKOFF_S * 2 ** (self._failures - 1), MAX_BACKOFF_S)
        self._retry_at = max(self._retry_at, now + wait_s * self._rng.uniform(0.5, 1.0))
