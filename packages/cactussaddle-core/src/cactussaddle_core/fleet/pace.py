"""How fast the host of a leaf works at a given moment, by the leaf's last report and its age.

Leaves share their hosts with other work, so a host's pace and a leaf's queue change many times a second,
while a node hears of a leaf only with its answers. A report therefore counts less the older it is, and
the leaf's typical values count instead. How fast reports age is learned from successive reports of all
leaves: the regression of the later deviation from the typical value on the earlier one, by the time
between them.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactussaddle_core.fleet.model import Load

# Bins of the time between two reports; each is twice as wide as the one before.
FIRST_AGE_S = 0.01
AGE_BINS = 10
# Older reports tell no more than those in the last bin.
MAX_AGE_S = 60.0
# Until enough pairs of reports are known, a report is assumed to lose half of its weight in this time.
ASSUMED_HALF_LIFE_S = 0.1
# Pairs of reports by whose number the assumption counts, and the share of the older ones that is kept.
ASSUMED_PAIRS = 8.0
KEPT_OF_PAIRS = 0.99
ASSUMED_WEIGHTS = tuple(
    math.pow(0.5, FIRST_AGE_S * (2.0**index - 1.0) / ASSUMED_HALF_LIFE_S)
    for index in range(AGE_BINS)
)
# Weight of the newest call in what is learned of the effect of paces; calls slower than `MAX_RATIO` times
# the usual have met something else. Until enough calls are known, the whole time is taken to depend on it.
EFFECT_WEIGHT = 0.002
MAX_RATIO = 5.0
PRIOR_VARIANCE = 10.0
MIN_EFFECTIVE_PACE = 0.1
# Weight of the newest report in a leaf's typical values, and in the first of them.
TYPICAL_WEIGHT = 0.1
FIRST_WEIGHT = 0.5
# Without new reports, the typical values turn to the usual pace and an empty queue with this half-life.
FORGET_HALF_LIFE_S = 5.0
# Reports closer to each other than this describe the same moment, so that each counts for less.
MOMENT_S = 0.1


class PaceEffect:
    """Learns how much of the time that this node sees depends on the pace of a leaf's host.

    The rest of the time is spent on the way and in this node. The `share` is the slope of the relative work
    time over the pace that was expected as the call was sent, divided by the time at the usual pace.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._pace = 0.0
        self._ratio = 0.0
        self._square = 0.0
        self._product = 0.0
        self.share = 1.0

    def learn(self, pace: float, ratio: float) -> None:
        """Record the pace that was expected for a call, and its work time relative to the route's median."""
        if ratio > MAX_RATIO:
            return
        excess = pace - 1.0
        self._count += 1.0
        weight = max(EFFECT_WEIGHT, 1.0 / self._count)
        self._pace += weight * (excess - self._pace)
        self._ratio += weight * (ratio - self._ratio)
        self._square += weight * (excess * excess - self._square)
        self._product += weight * (excess * ratio - self._product)
        variance = self._square - self._pace * self._pace + PRIOR_VARIANCE / self._count
        covariance = self._product - self._pace * self._ratio + PRIOR_VARIANCE / self._count
        slope = covariance / variance if variance > 0.0 else 1.0
        at_usual_pace = self._ratio - slope * self._pace
        if at_usual_pace > 0.0:
            self.share = min(max(slope / at_usual_pace, 0.0), 1.0)

    def effective(self, pace: float) -> float:
        """Return by how much a pace stretches the time that this node sees."""
        return max(MIN_EFFECTIVE_PACE, 1.0 + self.share * (pace - 1.0))


class Aging:
    """Learns how much a report that is some time old still tells; `effect` is that of the pace on calls."""

    def __init__(self) -> None:
        self.effect = PaceEffect()
        self._products = [0.0] * AGE_BINS
        self._squares = [0.0] * AGE_BINS
        self._mean_square = 0.0
        self._weights = list(ASSUMED_WEIGHTS)

    def learn(self, age_s: float, earlier: float, later: float) -> None:
        """Record the deviations of two reports of a leaf from its typical value."""
        index = _age_bin(age_s)
        square = earlier * earlier
        self._mean_square += (1.0 - KEPT_OF_PAIRS) * (square - self._mean_square)
        self._products[index] = KEPT_OF_PAIRS * self._products[index] + earlier * later
        self._squares[index] = KEPT_OF_PAIRS * self._squares[index] + square
        prior = ASSUMED_PAIRS * self._mean_square
        total = prior + self._squares[index]
        if total > 0.0:
            learned = (prior * ASSUMED_WEIGHTS[index] + self._products[index]) / total
            self._weights[index] = min(max(learned, 0.0), 1.0)

    def weight(self, age_s: float) -> float:
        """Return how much a report of this age counts, from 0 to 1."""
        return self._weights[_age_bin(age_s)]


class HostPace:
    """What the load reports of one leaf tell about its host's pace and its queue.

    `sent_since` is the number of this node's calls sent since the last report, which the report does not
    include. `pace` and `calls` are as last reported, `typical_pace` and `typical_calls` moving averages,
    and `pace_spread` is the mean deviation of a report from the typical pace.
    """

    def __init__(self, *, aging: Aging) -> None:
        self._aging = aging
        self._reports = 0
        self.at = -math.inf
        self.pace = 1.0
        self.typical_pace = 1.0
        self.pace_spread = 0.0
        self.calls = 0.0
        self.typical_calls = 0.0
        self.sent_since = 0
        self._weighed_at = -math.inf
        self._weight = 0.0
        self._kept = 0.0

    def report(self, load: Load, now: float) -> None:
        """Record a report; one that names no pace changes the queue only."""
        pace = self.typical_pace if load.pace is None else load.pace
        calls = float(load.running + load.waiting)
        earlier = self.pace - self.typical_pace
        age_s = min(max(0.0, now - self.at), MAX_AGE_S)
        if self._reports:
            self._aging.learn(age_s, earlier, pace - self.typical_pace)
        self._reports += 1
        weight = max(TYPICAL_WEIGHT, FIRST_WEIGHT / self._reports) * min(1.0, age_s / MOMENT_S)
        self.pace_spread += weight * (abs(pace - self.typical_pace) - self.pace_spread)
        self.typical_pace += weight * (pace - self.typical_pace)
        self.typical_calls += weight * (calls - self.typical_calls)
        self.pace = pace
        self.calls = calls
        self.at = now
        self.sent_since = 0
        self._weighed_at = -math.inf

    def expected_pace(self, now: float) -> float:
        """Return the expected pace of the host: the last one, and by its age more of the typical one."""
        self._weigh(now)
        typical = 1.0 + self._kept * (self.typical_pace - 1.0)
        return typical + self._weight * (self.pace - typical)

    def stretch(self, now: float) -> float:
        """Return by how much the expected pace stretches the time of a call."""
        return self._aging.effect.effective(self.expected_pace(now))

    def doubt(self, now: float) -> float:
        """Return by how much that may be wrong; it grows with the report's age."""
        self._weigh(now)
        return (
            self._aging.effect.share
            * self.pace_spread
            * math.sqrt(1.0 - self._weight * self._weight)
        )

    def expected_calls(self, in_flight: int, now: float) -> float:
        """Return the calls running or queued at the leaf, of which this node has `in_flight`."""
        self._weigh(now)
        typical = self._kept * self.typical_calls
        reported = typical + self._weight * (self.calls - typical)
        return max(float(in_flight), reported + min(self.sent_since, in_flight))

    def _weigh(self, now: float) -> None:
        """Compute how much the last report and the typical values count at `now`."""
        if now == self._weighed_at:
            return
        age_s = min(max(0.0, now - self.at), MAX_AGE_S)
        self._weighed_at = now
        self._weight = self._aging.weight(age_s)
        self._kept = math.pow(0.5, age_s / FORGET_HALF_LIFE_S)


def _age_bin(age_s: float) -> int:
    return min(int(age_s / FIRST_AGE_S).bit_length(), AGE_BINS - 1)
