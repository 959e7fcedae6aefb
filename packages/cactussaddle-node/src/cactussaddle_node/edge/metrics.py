"""Counters, gauges and latency histograms, rendered by aioprometheus for the metrics page.

To shorten start-up, the library is imported some seconds after the start, when callers no longer
wait for a restarted node. Samples recorded before that are queued and replayed in order.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Mapping

LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0]
MAX_QUEUED_SAMPLES = 20_000
# Routes beyond this number share one label value, to bound the scrape size of large configurations.
MAX_ROUTES = 64
OTHER_ROUTES = "other"
# The same for teams; each has one series for each outcome.
MAX_TEAMS = 100
OTHER_TEAMS = "other"

COUNTERS: Mapping[str, str] = {
    "cactussaddle_answers_total": "Answers by route and result.",
    "cactussaddle_extra_calls_total": "Calls beyond the first of a part, by reason.",
    "cactussaddle_breaches_total": "Broken promises by name.",
    "cactussaddle_crash_reports_total": "Requests running on leaves that went down, by source.",
    "cactussaddle_requests_held_total": "Requests newly held because they crash leaves.",
    "cactussaddle_requests_unanswered_total": "Requests that ended without an answer, by reason.",
    "cactussaddle_usage_reports_total": "Usage reports by outcome.",
    "cactussaddle_keys_refused_total": "Requests refused for their key, by reason.",
    "cactussaddle_team_requests_total": "Requests of teams, by team and outcome.",
    "cactussaddle_callers_closed_total": "Callers refused or closed for want of room, by reason.",
    "cactussaddle_busy_refusals_total": "Requests refused before they began, by reason.",
    "cactussaddle_waited_seconds_total": "Time that requests waited before they began.",
    "cactussaddle_errors_total": "Faults of the program, by the event that met one.",
}
GAUGES: Mapping[str, str] = {
    "cactussaddle_requests": "Requests under way.",
    "cactussaddle_waiting_requests": "Requests that wait for this host's processor.",
    "cactussaddle_host_backlog_seconds": "Time that this host needs for the calls that are open.",
    "cactussaddle_host_part_seconds": "Time that a part takes this host's processor.",
    "cactussaddle_leaves": "Leaves known, by standing.",
    "cactussaddle_limited_leaves": "Leaves that name a limit on their requests.",
    "cactussaddle_paced_leaves": "Leaves that report the pace of their hosts.",
    "cactussaddle_calls_by_distance": "Calls to such leaves since the start, by distance and reason.",
    "cactussaddle_distance_bytes": "Estimated bytes of these calls, by distance.",
    "cactussaddle_distance_switches": "Times that a service's calls began to leave or returned.",
    "cactussaddle_members": "Nodes registered.",
    "cactussaddle_sharing_nodes": "Nodes by which the common limits are divided.",
    "cactussaddle_retries": "Calls beyond the first since the start, spent and denied.",
    "cactussaddle_delegates": "Nodes that may run queries of this one.",
    "cactussaddle_delegated_requests": "Queries under way on other nodes.",
    "cactussaddle_table_version": "Version of the routing table in force.",
    "cactussaddle_store_calls": "Calls to the store since the start.",
    "cactussaddle_log_lines_dropped": "Log lines left out since the start.",
    "cactussaddle_caller_bytes": "Bytes held for callers, of them for requests in progress, and allowed.",
    "cactussaddle_caller_connections": "Connections of callers, other nodes and operators.",
    "cactussaddle_registry_age_seconds": "Time since the store confirmed what is known here.",
    "cactussaddle_duty_held": "Whether this node holds the duty to report usage.",
    "cactussaddle_usage_report_age_seconds": "Time since this node's last accepted usage report.",
}
LATENCY = "cactussaddle_answer_seconds"


class TeamOutcome(enum.StrEnum):
    """What became of a team's request; a refused one has not run."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


class Metrics:
    """The metrics of one node."""

    def __init__(self) -> None:
        self._queued: list[tuple[str, dict[str, str], float]] = []
        self._library: _PrometheusMetrics | None = None
        self._routes: set[str] = set()
        self._teams: set[str] = set()

    def answered(self, route: str, result: str, seconds: float) -> None:
        """Count an answer and observe its latency."""
        name = self._route(route)
        self.count("cactussaddle_answers_total", {"route": name, "result": result})
        self._record(LATENCY, {"route": name}, seconds)

    def team_answered(self, team: str, outcome: TeamOutcome) -> None:
        """Count a team's request by its outcome."""
        labels = {"team": self._team(team), "outcome": outcome.value}
        self.count("cactussaddle_team_requests_total", labels)

    def extra_calls(self, hedges: int, retries: int) -> None:
        """Count a request's hedged and retried calls."""
        for reason, amount in (("hedge", hedges), ("retry", retries)):
            if amount:
                self.count("cactussaddle_extra_calls_total", {"reason": reason}, amount)

    def count(self, name: str, labels: dict[str, str], amount: float = 1.0) -> None:
        """Add to one of `COUNTERS`."""
        self._record(name, labels, amount)

    def load(self) -> None:
        """Import the library and replay the queued samples."""
        if self._library is None:
            self._library = _PrometheusMetrics()
            kept, self._queued = self._queued, []
            for name, labels, amount in kept:
                self._library.record(name, labels, amount)

    def render(self, gauges: Mapping[str, Mapping[str, float]]) -> tuple[bytes, str]:
        """Return the exposition text of all metrics and its content type.

        `gauges` holds the current values of `GAUGES`, each keyed by the value of its single label,
        or by the empty string for a gauge without labels.
        """
        self.load()
        assert self._library is not None
        return self._library.render(gauges)

    def _record(self, name: str, labels: dict[str, str], amount: float) -> None:
        if self._library is not None:
            self._library.record(name, labels, amount)
        elif len(self._queued) < MAX_QUEUED_SAMPLES:
            self._queued.append((name, labels, amount))

    def _route(self, route: str) -> str:
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                return OTHER_ROUTES
            self._routes.add(route)
        return route

    def _team(self, team: str) -> str:
        if team not in self._teams:
            if len(self._teams) >= MAX_TEAMS:
                return OTHER_TEAMS
            self._teams.add(team)
        return team


class _PrometheusMetrics:
    """The aioprometheus collectors, imported on construction."""

    def __init__(self) -> None:
        from aioprometheus.collectors import Counter
        from aioprometheus.collectors import Gauge
        from aioprometheus.collectors import Histogram
        from aioprometheus.collectors import Registry
        from aioprometheus.renderer import render

        self._render = render
        self._registry = Registry()
        self._counters: dict[str, Any] = {n: Counter(n, doc) for n, doc in COUNTERS.items()}
        self._gauges: dict[str, Any] = {n: Gauge(n, doc) for n, doc in GAUGES.items()}
        self._latency: Any = Histogram(LATENCY, "Time to answer.", buckets=LATENCY_BUCKETS_S)
        for collector in (*self._counters.values(), *self._gauges.values(), self._latency):
            self._registry.register(collector)

    def record(self, name: str, labels: dict[str, str], amount: float) -> None:
        """Add to a counter, or observe a latency."""
        if name == LATENCY:
            self._latency.observe(labels, amount)
        else:
            self._counters[name].add(labels, amount)

    def render(self, gauges: Mapping[str, Mapping[str, float]]) -> tuple[bytes, str]:
        """Return the exposition text and its content type."""
        for name, values in gauges.items():
            for label, value in values.items():
                self._gauges[name].set({"kind": label} if label else {}, value)
        content, headers = self._render(self._registry, [])
        return content, headers["Content-Type"]
