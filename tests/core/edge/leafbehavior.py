"""Behaviours of leaves: functions of the time and a random generator that return a call's outcome."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from cactussaddle_core.fanout import model as fan
from cactussaddle_core.fleet.model import Load

if TYPE_CHECKING:
    import random

WORK_S = 0.04
PROBE_S = 0.007


class CallOutcome(NamedTuple):
    """The outcome of one call: its processing time, and how it ends after `work_s`."""

    work_s: float
    ending: fan.CallEnding = fan.CallEnding.ANSWERED
    load: Load | None = None
    wrong_leaf: bool = False


def usual(now: float, rng: random.Random) -> CallOutcome:
    return CallOutcome(WORK_S * rng.lognormvariate(0.0, 0.35))


def slow(factor: float) -> Any:
    return lambda now, rng: CallOutcome(factor * usual(now, rng).work_s)


def unresponsive(now: float, rng: random.Random) -> CallOutcome | None:
    return None


def pausing(offset_s: float, pause_s: float = 0.3, every_s: float = 7.5) -> Any:
    """Return a leaf that pauses at regular intervals."""

    def does(now: float, rng: random.Random) -> CallOutcome:
        into_s = (now + offset_s) % every_s
        wait_s = pause_s - into_s if into_s < pause_s else 0.0
        return CallOutcome(wait_s + usual(now, rng).work_s)

    return does


def shedding(share: float) -> Any:
    def does(now: float, rng: random.Random) -> CallOutcome:
        if rng.random() < share:
            return CallOutcome(0.001, fan.CallEnding.REFUSED)
        return usual(now, rng)

    return does


def ending(kind: fan.CallEnding, after_s: float = 0.002) -> Any:
    return lambda now, rng: CallOutcome(after_s, kind)


class QueueingLeaf:
    """A leaf with slots and a bounded queue.

    It refuses calls when both are full, and never cancels work.
    """

    def __init__(self, *, slots: int = 6, queue: int = 24, factor: float = 1.0) -> None:
        self.factor = factor
        self._queue = queue
        self._free_at = [0.0] * slots
        self._starts: list[float] = []

    def __call__(self, now: float, rng: random.Random) -> CallOutcome:
        self._starts = [at for at in self._starts if at > now]
        if len(self._starts) >= self._queue:
            return CallOutcome(0.001, fan.CallEnding.REFUSED, self._load(now))
        start = max(now, heapq.heappop(self._free_at))
        finish = start + self.factor * usual(now, rng).work_s
        heapq.heappush(self._free_at, finish)
        if start > now:
            self._starts.append(start)
        return CallOutcome(finish - now, load=self._load(now))

    def _load(self, now: float) -> Load:
        running = sum(1 for at in self._free_at if at > now)
        return Load(running, len(self._starts), len(self._free_at))

    def probe_factor(self, now: float) -> float:
        """Return the ratio of a probe's time to the usual one: probes queue like other requests."""
        return self.factor + max(0.0, min(self._free_at) - now) / PROBE_S
