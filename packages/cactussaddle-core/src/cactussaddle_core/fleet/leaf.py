"""One leaf: its entry, the calls under way, and how well it has answered of late."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.fleet.model import Standing
from cactussaddle_core.limits.cold import ColdMeter

if TYPE_CHECKING:
    from cactussaddle_core.fleet.model import LeafEntry
    from cactussaddle_core.fleet.model import Load
    from cactussaddle_core.fleet.probeplan import ProbePlan

# Weight of the newest call in a leaf's slowness.
SLOWNESS_WEIGHT = 0.25
MAX_SLOWNESS = 30.0
# A leaf that has not been called for this long is taken to be half as far from usual speed.
SLOWNESS_HALF_LIFE_S = 2.5
# A call this many times slower than usual asks for a probe, a probe that much slower shows a slow
# leaf: a pause or one long piece of work is over by then.
SLOW_RATIO = 2.5
# What a probe has shown holds for this long; a slow leaf is probed again before.
PROBE_HOLDS_S = 1.2
SLOW_PROBE_EVERY_S = 0.5
# Weight of the newest call in the share of calls that a leaf refuses or fails.
FAULT_WEIGHT = 0.3
FAULT_HALF_LIFE_S = 2.0
# A call that broke this long before its leaf was found down may have crashed it.
BROKEN_KEPT_S = 2.0
FIRST_SUSPICION_S = 0.3
MAX_SUSPICION_S = 2.0


class Leaf:
    """A leaf as this node knows it. Times are seconds of this node's steady clock.

    `slowness` is how many times longer it takes than is usual on its routes. `waiting` holds the
    calls without an answer, with the time from which each is overdue. `connect_s` is the least
    time that a connection took, about one round trip. `room` is how many connections this node
    may have to it. `displaced` says that another leaf answers at its address. `broken` holds the calls that broke of late, by time and fingerprint.
    """

    def __init__(self, *, entry: LeafEntry, probes: ProbePlan, now: float) -> None:
        self.entry = entry
        self.probes = probes
        self.listed = True
        self.unlisted_at = math.inf
        self.cold_until = now + entry.cold_left_s if entry.cold_left_s > 0.0 else 0.0
        self.cold_meter = ColdMeter()
        self.waiting: dict[int, float] = {}
        self.room = 1
        self.displaced = False
        self.broken: list[tuple[float, str]] = []
        self.connect_s: float | None = None
        self.load: Load | None = None
        self.load_at = -math.inf
        self.standing = Standing.READY
        self.suspect_until = 0.0
        self.suspicion_s = FIRST_SUSPICION_S
        self.heard_at = -math.inf
        self.least_probe_s: float | None = None
        self._probed_slowness = 1.0
        self._probed_at = -math.inf
        self._slowness = 1.0
        self._slowness_at = now
        self._faults = 0.0
        self._faults_at = now

    @property
    def name(self) -> str:
        """The leaf's id."""
        return self.entry.leaf

    @property
    def in_flight(self) -> int:
        """This node's calls without an answer."""
        return len(self.waiting)

    def is_cold(self, now: float) -> bool:
        """Return whether the leaf still bears only its cold rate."""
        return now < self.cold_until

    def is_stalled(self, now: float) -> bool:
        """Return whether a call is overdue: the leaf may have paused or gone dark."""
        return any(overdue_at <= now for overdue_at in self.waiting.values())

    def slowness(self, now: float) -> float:
        """Return the slowness, which fades towards 1 while nothing is heard."""
        aged = max(0.0, now - self._slowness_at) / SLOWNESS_HALF_LIFE_S
        faded = 1.0 + (self._slowness - 1.0) * math.pow(0.5, aged)
        if now - self._probed_at < PROBE_HOLDS_S:
            return max(faded, self._probed_slowness)
        return faded

    def saw_slowness(self, ratio: float, now: float, weight: float = SLOWNESS_WEIGHT) -> None:
        """Take in a call that took `ratio` times the usual time."""
        before = self.slowness(now)
        self._slowness = before + weight * (min(ratio, MAX_SLOWNESS) - before)
        self._slowness_at = now
        if ratio >= SLOW_RATIO:
            self.doubt(now)

    def doubt(self, now: float) -> None:
        """Have the leaf probed at once, unless a probe has just told."""
        if not self.probed_lately(now):
            self.probes.ask(self.name, now)

    def probed_lately(self, now: float) -> bool:
        """Return whether a probe has just told how slow the leaf is."""
        return now - self._probed_at < SLOW_PROBE_EVERY_S

    def probed(self, ratio: float, now: float) -> bool:
        """Take in a probe that took `ratio` times the usual time; return whether to tell of it.

        One slow probe may have met a pause, so the next one follows at once; two show a slow leaf.
        """
        was_slow = self.is_slow(now)
        self._probed_at = now
        self._probed_slowness = min(ratio, MAX_SLOWNESS)
        if ratio < SLOW_RATIO:
            self._slowness = min(self.slowness(now), SLOW_RATIO)
            self._slowness_at = now
            return was_slow
        self.probes.ask(self.name, now + SLOW_PROBE_EVERY_S if was_slow else now)
        return was_slow

    def faults(self, now: float) -> float:
        """Return the share of calls that were refused or failed, fading while nothing is heard."""
        aged = max(0.0, now - self._faults_at) / FAULT_HALF_LIFE_S
        return self._faults * math.pow(0.5, aged)

    def saw_fault(self, fault: bool, now: float, weight: float = FAULT_WEIGHT) -> None:
        """Take in whether a call was refused or failed."""
        before = self.faults(now)
        self._faults = before + weight * (float(fault) - before)
        self._faults_at = now

    def saw_break(self, fingerprint: str, now: float) -> None:
        """Take in that a call of a request broke, and find out whether the leaf is still there."""
        self.broken = [entry for entry in self.broken if now - entry[0] < BROKEN_KEPT_S]
        self.broken.append((now, fingerprint))
        self.probes.ask(self.name, now)

    def broken_lately(self, now: float) -> list[str]:
        """Return the fingerprints of the requests whose calls broke of late."""
        return [entry[1] for entry in self.broken if now - entry[0] < BROKEN_KEPT_S]

    def is_slow(self, now: float) -> bool:
        """Return whether a probe has lately shown the leaf to be slow."""
        return now - self._probed_at < PROBE_HOLDS_S and self._probed_slowness >= SLOW_RATIO

    def answered(self, now: float) -> None:
        """Take in any answer: the leaf is there."""
        self.heard_at = now
        self.displaced = False
        self.standing = Standing.READY
        self.suspect_until = 0.0
        self.suspicion_s = FIRST_SUSPICION_S

    def suspect(self, standing: Standing, now: float) -> None:
        """Avoid the leaf for a while, longer each time in a row, and ask for its health then."""
        self.standing = standing
        self.suspect_until = now + self.suspicion_s
        self.probes.ask(self.name, self.suspect_until)
        self.suspicion_s = min(MAX_SUSPICION_S, 2.0 * self.suspicion_s)

    def grew_cold(self, left_s: float, now: float) -> None:
        """Take in for how much longer the leaf is cold, by its own word."""
        self.cold_until = now + left_s if left_s > 0.0 else 0.0
