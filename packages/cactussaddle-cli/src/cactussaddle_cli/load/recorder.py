"""What a run saw: latencies, result codes and coverage."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from cactussaddle_cli.load.mix import MixEntry
    from cactussaddle_cli.load.model import LatencyFigures
    from cactussaddle_cli.load.model import Summary

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9}
COVERAGE_STEPS = (1.0, 0.999, 0.99, 0.95, 0.9, 0.5)
ANSWER_NAMES = frozenset({"COMPLETE", "PARTIAL", "RECORDED"})


class Outcome(NamedTuple):
    """The end of one request.

    `name` is the result code's, or a word of the tool's own where no answer came. `latency_s` and
    `late_s`, by which the request left too late, count from the intended start.
    """

    entry: MixEntry
    name: str
    latency_s: float
    late_s: float
    coverage: float | None
    snapshot: int | None


class Latencies:
    """A histogram of latencies."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)

    def add(self, seconds: float) -> None:
        """Count one latency."""
        value_us = max(LOWEST_US, min(HIGHEST_US, int(seconds * 1e6)))
        self._histogram.record_value(value_us)

    def figures(self) -> LatencyFigures:
        """Return the percentiles so far."""
        count = int(self._histogram.get_total_count())
        if count == 0:
            return {"count": 0, "ms": {}}
        values = {
            name: self._histogram.get_value_at_percentile(percent) / 1000.0
            for name, percent in PERCENTILES.items()
        }
        values["max"] = self._histogram.get_max_value() / 1000.0
        return {"count": count, "ms": values}


class _Route:
    def __init__(self, *, priority: int) -> None:
        self.priority = priority
        self.codes: Counter[str] = Counter()
        self.latency = Latencies()


class Recorder:
    """Collects the outcomes of a run."""

    def __init__(self) -> None:
        self.codes: Counter[str] = Counter()
        self.started = 0
        self._answers = Latencies()
        self._all = Latencies()
        self._late = Latencies()
        self._coverage: list[float] = []
        self._snapshots: Counter[str] = Counter()
        self._routes: dict[str, _Route] = {}

    @property
    def ended(self) -> int:
        """Requests that have ended."""
        return self.codes.total()

    def add(self, outcome: Outcome) -> None:
        """Count one outcome."""
        route = self._routes.get(outcome.entry.route)
        if route is None:
            route = _Route(priority=outcome.entry.priority)
            self._routes[outcome.entry.route] = route
        self.codes[outcome.name] += 1
        route.codes[outcome.name] += 1
        self._all.add(outcome.latency_s)
        self._late.add(outcome.late_s)
        if outcome.name not in ANSWER_NAMES:
            return
        self._answers.add(outcome.latency_s)
        route.latency.add(outcome.latency_s)
        if outcome.coverage is not None:
            self._coverage.append(outcome.coverage)
        if outcome.snapshot is not None:
            self._snapshots[str(outcome.snapshot)] += 1

    def now_ms(self, name: str) -> float:
        """Return a percentile of the answers so far, 0 without any."""
        return self._answers.figures()["ms"].get(name, 0.0)

    def summary(self) -> Summary:
        """Return all figures."""
        count = max(1, len(self._coverage))
        return {
            "sent": self.ended,
            "codes": dict(sorted(self.codes.items())),
            "latency": self._answers.figures(),
            "latency_all": self._all.figures(),
            "coverage_mean": sum(self._coverage) / count,
            "coverage_at_least": {
                str(step): sum(value >= step for value in self._coverage) / count
                for step in COVERAGE_STEPS
            },
            "late_ms": self._late.figures(),
            "snapshots": dict(sorted(self._snapshots.items())),
            "routes": {
                name: {
                    "priority": route.priority,
                    "sent": route.codes.total(),
                    "codes": dict(sorted(route.codes.items())),
                    "latency": route.latency.figures(),
                }
                for name, route in sorted(self._routes.items())
            },
        }
