"""A sequential test of a new version against the old one.

Each pooled step of evidence adds a log likelihood ratio of two hypotheses: the new version fails
(or is slow) by a margin more often than the old one for the same node at the same time, or it does
not. The sum is kept at 0 or above (Page's CUSUM test), so a fault that starts late is detected as
fast as one present from the start. Besides the full sum, there is one sum with each group of nodes
left out and one with each group of leaves left out. The version is bad only if all sums exceed
their limits, so a single faulty node or straggling leaf can't cause a false verdict.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactussaddle_core.moves.evidence import Counts

GROUPS = 16
LIMIT = 13.5
LEFT_OUT_FAILING = 9.0
LEFT_OUT_SLOW = 11.5
LIMIT_ONE_GROUP = 28.0
ALL_REPORTED_S = 4.0
SUSPICION_LIMIT = 6.0
MIN_OTHER_CALLS = 8.0
MIN_OTHER_SHARE = 0.15
RECENT_S = 30.0
OLD_RATE_TAU_S = 20.0


class Margin(NamedTuple):
    """By how much a bad version's rate exceeds the old rate, which is at least `floor`."""

    floor: float
    margin: float


FAILING = Margin(floor=0.005, margin=0.05)
FAILING_OFTEN = Margin(floor=0.005, margin=0.5)
SLOW = Margin(floor=0.02, margin=0.25)
SLOW_OFTEN = Margin(floor=0.02, margin=0.6)
FAILING_COLD = Margin(floor=0.2, margin=0.4)


class Step(NamedTuple):
    """One node's new calls to one leaf since the last step, and the old version's rates."""

    node: str
    leaf: str
    counts: Counts
    old_failing: float
    old_slow: float


class Ratio(NamedTuple):
    """The log likelihood ratio of `calls` calls, with the node's and the leaf's group."""

    groups: tuple[str, str]
    ratio: float
    calls: int


class Kind(NamedTuple):
    """A kind of fault; `ratio` returns a step's log likelihood ratio and number of calls.

    `left_out_limit` is the limit for the sums with one group left out.
    """

    name: str
    reason: str
    left_out_limit: float
    ratio: Callable[[Step], tuple[float, int]]


def ratio_of_failures(margin: Margin) -> Callable[[Step], tuple[float, int]]:
    """Return the ratio function for failures, excluding those of cold leaves."""

    def ratio(step: Step) -> tuple[float, int]:
        counts = step.counts
        return log_ratio(counts.failures, counts.calls, step.old_failing, margin), counts.calls

    return ratio


def ratio_of_cold_failures(step: Step) -> tuple[float, int]:
    """Return the ratio for the failures of cold leaves."""
    counts = step.counts
    ratio = log_ratio(counts.cold_failures, counts.cold_calls, step.old_failing, FAILING_COLD)
    return ratio, counts.cold_calls


def ratio_of_slowness(margin: Margin) -> Callable[[Step], tuple[float, int]]:
    """Return the ratio function for calls slower than a cold start may excuse."""

    def ratio(step: Step) -> tuple[float, int]:
        counts = step.counts
        return log_ratio(counts.slow, counts.calls, step.old_slow, margin), counts.calls

    return ratio


KINDS = (
    Kind("failing", "fails", LEFT_OUT_FAILING, ratio_of_failures(FAILING)),
    Kind("failing much", "fails", LEFT_OUT_FAILING, ratio_of_failures(FAILING_OFTEN)),
    Kind("failing while cold", "fails", LEFT_OUT_FAILING, ratio_of_cold_failures),
    Kind("slow", "is slow", LEFT_OUT_SLOW, ratio_of_slowness(SLOW)),
    Kind("slow much", "is slow", LEFT_OUT_SLOW, ratio_of_slowness(SLOW_OFTEN)),
)


class DecayingCount:
    """A counter with exponential decay; `tau_s` is the time constant."""

    def __init__(self, *, tau_s: float) -> None:
        self.tau_s = tau_s
        self.value = 0.0
        self.at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add `amount` at `now`."""
        self.value = self.get(now) + amount
        self.at = now

    def get(self, now: float) -> float:
        """Return the decayed value at `now`."""
        return self.value * math.exp(-max(0.0, now - self.at) / self.tau_s)


class OldRate:
    """The recent failure and slow-call rates of the old version."""

    def __init__(self) -> None:
        self.calls = DecayingCount(tau_s=OLD_RATE_TAU_S)
        self.warm_calls = DecayingCount(tau_s=OLD_RATE_TAU_S)
        self.failures = DecayingCount(tau_s=OLD_RATE_TAU_S)
        self.slow = DecayingCount(tau_s=OLD_RATE_TAU_S)

    def add(self, counts: Counts, now: float) -> None:
        """Add calls to the old version."""
        self.calls.add(counts.calls + counts.cold_failures, now)
        self.warm_calls.add(counts.calls, now)
        self.failures.add(counts.failures + counts.cold_failures, now)
        self.slow.add(counts.slow, now)

    def failing(self, now: float) -> float:
        """Return a conservative (high) estimate of the failure rate."""
        return upper_rate(self.failures.get(now), self.calls.get(now))

    def slow_share(self, now: float) -> float:
        """Return a conservative (high) estimate of the rate of slow calls."""
        return upper_rate(self.slow.get(now), self.warm_calls.get(now))


def upper_rate(events: float, calls: float) -> float:
    """Return the rate plus one standard error, smoothed towards one half if calls are few."""
    rate = (events + 0.5) / (calls + 1.0)
    return min(1.0, rate + math.sqrt(rate * (1.0 - rate) / (calls + 1.0)))


def log_ratio(events: int, calls: int, old_rate: float, margin: Margin) -> float:
    """Return the log likelihood ratio of `events` among `calls`."""
    expected = min(0.9, max(margin.floor, old_rate))
    bad = min(0.97, expected + margin.margin)
    event_ratio = math.log(bad / expected)
    other_ratio = math.log((1.0 - bad) / (1.0 - expected))
    return events * event_ratio + (calls - events) * other_ratio


class Sums:
    """Page's test over all steps, and over the steps with each group left out."""

    def __init__(self, *, left_out_limit: float) -> None:
        self.left_out_limit = left_out_limit
        self.full_sum = 0.0
        self.left_out: dict[str, float] = {}
        self.recent: dict[str, DecayingCount] = {}
        self.recent_all = DecayingCount(tau_s=RECENT_S)
        self.first_at: float | None = None

    def add(self, ratios: Iterable[Ratio], now: float) -> None:
        """Add the ratios of one round."""
        if self.first_at is None:
            self.first_at = now
        total = 0.0
        by_group: dict[str, float] = {}
        for groups, ratio, calls in ratios:
            total += ratio
            self.recent_all.add(calls, now)
            for group in groups:
                by_group[group] = by_group.get(group, 0.0) + ratio
                self._recent(group).add(calls, now)
                self.left_out.setdefault(group, self.full_sum)
        self.full_sum = max(0.0, self.full_sum + total)
        for group, value in self.left_out.items():
            self.left_out[group] = max(0.0, value + total - by_group.get(group, 0.0))

    def bad(self, now: float) -> bool:
        """Return whether the version is bad even with any one group left out.

        Snapshots that show failures are sent urgently and arrive before others, so evidence from
        a single group is accepted only after `ALL_REPORTED_S`, when all groups could have reported.
        """
        if self.full_sum < LIMIT:
            return False
        all_reported = self.first_at is not None and now - self.first_at >= ALL_REPORTED_S
        for group, value in self.left_out.items():
            recent = self.recent_all.get(now)
            others = recent - self.recent[group].get(now)
            if others >= min(MIN_OTHER_CALLS, MIN_OTHER_SHARE * recent):
                if value < self.left_out_limit:
                    return False
            elif self.full_sum < LIMIT_ONE_GROUP or not all_reported:
                return False
        return True

    def suspicious(self) -> bool:
        """Return whether the share must not be raised for now."""
        return min([self.full_sum, *self.left_out.values()]) > SUSPICION_LIMIT

    def _recent(self, group: str) -> DecayingCount:
        return self.recent.setdefault(group, DecayingCount(tau_s=RECENT_S))


class VersionTest:
    """The tests of a new version, for one route or over all routes."""

    def __init__(self) -> None:
        self.sums = {kind.name: Sums(left_out_limit=kind.left_out_limit) for kind in KINDS}
        self.nodes: dict[str, str] = {}
        self.leaves: dict[str, str] = {}

    def add(self, steps: list[Step], now: float) -> None:
        """Add one round of pooled steps."""
        grouped = [(self._groups_of(step), step) for step in steps]
        for kind in KINDS:
            ratios = [Ratio(groups, *kind.ratio(step)) for groups, step in grouped]
            self.sums[kind.name].add(ratios, now)

    def bad_reason(self, now: float) -> str:
        """Return why the version is bad, empty if it is not known to be."""
        for kind in KINDS:
            if self.sums[kind.name].bad(now):
                return kind.reason
        return ""

    def suspicious(self) -> bool:
        """Return whether the share must not be raised for now."""
        return any(sums.suspicious() for sums in self.sums.values())

    def _groups_of(self, step: Step) -> tuple[str, str]:
        node = self.nodes.setdefault(step.node, f"node {len(self.nodes) % GROUPS}")
        leaf = self.leaves.setdefault(step.leaf, f"leaf {len(self.leaves) % GROUPS}")
        return node, leaf
