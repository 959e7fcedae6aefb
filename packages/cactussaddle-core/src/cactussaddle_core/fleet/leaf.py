"""One leaf: its registry entry, its pending calls, and its recent latency and faults."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.fleet.pace import HostPace
from cactussaddle_core.limits.cold import ColdMeter

if TYPE_CHECKING:
    from cactussaddle_core.fleet.model import LeafEntry
    from cactussaddle_core.fleet.model import Load
    from cactussaddle_core.fleet.pace import Aging
    from cactussaddle_core.fleet.probeplan import ProbePlan
    from cactussaddle_core.limits.leaflimit import Quota

# Weight of the newest call in the moving average of the slowness.
SLOWNESS_WEIGHT = 0.25
MAX_SLOWNESS = 30.0
# The slowness decays towards 1 with this half-life while no calls complete.
SLOWNESS_HALF_LIFE_S = 2.5
# A call slower than usual by this factor triggers a probe; a probe slower by the same factor shows
# that the leaf itself is slow, since by then a pause or a single long request is over.
SLOW_RATIO = 2.5
# Validity of a probe result; a slow leaf is probed again before it expires.
PROBE_VALID_S = 1.2
SLOW_PROBE_INTERVAL_S = 0.5
# Weight of the newest call in the moving average of refused and failed calls.
FAULT_WEIGHT = 0.3
FAULT_HALF_LIFE_S = 2.0
# A call broken within this time before its leaf was found down may have crashed the leaf.
BROKEN_CALL_RETENTION_S = 2.0
# A leaf that crashed silently is known to be gone after three missed heartbeats and the store's lag.
LOST_CALL_RETENTION_S = 8.0
# Where leaves report the pace of their hosts, so many slow calls in a row cause a probe: a single one may
# have met a pause, or a pace that is not known yet.
SLOW_CALLS = 2
INITIAL_SUSPECT_BACKOFF_S = 0.3
MAX_SUSPECT_BACKOFF_S = 2.0


class Leaf:
    """A leaf as seen by this node. Times are in seconds of the node's monotonic clock.

    `slowness` is the ratio of its latency to the usual latency of its routes. `waiting` maps each
    pending call to the time from which it is overdue. `connect_s` is the shortest connect time
    seen, about one round trip. `connection_limit` is the number of connections that this node may open to it.
    `limit_per_s` is how many requests a second the leaf says that it takes from all nodes together, as
    last said at `limit_named_at`; `quota` is this node's share of it. `said_leaving` is set when it says in
    an answer that it is about to stop. Until `pause_until` it wants nothing from this node.
    `displaced` is set when another leaf answers at its address. `broken` holds the time and request
    fingerprint of calls that broke recently, `unanswered` those of calls that this node ended after
    the leaf had sent nothing since they left. `host_pace` is None unless the leaf reports the pace of its
    host.
    `baseline_only` is set while a probe is scheduled for no other reason than to learn its usual time.
    `doubted_at` is when this node last saw a sign that the leaf may have started again (infinitely long ago if a
    probe has shown since whether it is cold), and `probing_since` when the probe under way was sent.
    """

    def __init__(
        self,
        *,
        entry: LeafEntry,
        probes: ProbePlan,
        now: float,
        cold_meter: ColdMeter | None = None,
    ) -> None:
        self.entry = entry
        self.probes = probes
        self.listed = True
        self.drop_at = math.inf
        self.cold_until = now + entry.cold_left_s if entry.cold_left_s > 0.0 else 0.0
        self.cold_meter = cold_meter if cold_meter is not None else ColdMeter()
        self.doubted_at = -math.inf
        self.probing_since = math.inf
        self.waiting: dict[int, float] = {}
        self.connection_limit = 1
        self.displaced = False
        self.broken: list[tuple[float, str]] = []
        self.unanswered: list[tuple[float, str]] = []
        self.connect_s: float | None = None
        self.load: Load | None = None
        self.load_at = -math.inf
        self.host_pace: HostPace | None = None
        self.baseline_only = False
        self.limit_per_s: float | None = None
        self.limit_named_at = -math.inf
        self.quota: Quota | None = None
        self.said_leaving = False
        self.pause_until = -math.inf
        self.availability = Availability.READY
        self.suspect_until = 0.0
        self.suspect_backoff_s = INITIAL_SUSPECT_BACKOFF_S
        self.last_answer_at = -math.inf
        self.min_probe_s: float | None = None
        self._probed_slowness = 1.0
        self._probed_at = -math.inf
        self._last_probe_at = -math.inf
        self._slowness = 1.0
        self._slowness_at = now
        self._faults = 0.0
        self._faults_at = now
        self._slow_calls = 0

    @property
    def name(self) -> str:
        """The leaf's id."""
        return self.entry.leaf

    @property
    def is_leaving(self) -> bool:
        """Whether the leaf drains, by its entry or by its own answers."""
        return self.entry.draining or self.said_leaving

    @property
    def in_flight(self) -> int:
        """Number of this node's calls that are still unanswered."""
        return len(self.waiting)

    def is_cold(self, now: float) -> bool:
        """Return whether the leaf is still limited to its cold rate."""
        return now < self.cold_until

    @property
    def is_doubted(self) -> bool:
        """Whether the leaf may have started again, and nothing has shown since whether it is cold."""
        return math.isfinite(self.doubted_at)

    def may_be_cold(self, now: float) -> bool:
        """Return whether the leaf is cold, or may have started again."""
        return now < self.cold_until or self.is_doubted

    def doubt(self, now: float) -> None:
        """Record a sign that the leaf may have started again.

        An answer to a call does not tell whether it is cold, a probe does.
        """
        self.doubted_at = now

    def probe_began(self, now: float) -> None:
        """Record that a probe is sent."""
        self.probing_since = now

    def probe_ended(self) -> None:
        """Record that the probe under way has ended."""
        self.probing_since = math.inf

    def confirm(self, now: float) -> None:
        """Have a probe show whether the leaf is cold, unless one is under way that will."""
        if not self.doubted_at <= self.probing_since < math.inf:
            self.baseline_only = False
            self.probes.schedule(self.name, now)

    def temperature_shown(self) -> None:
        """Record that the probe under way, if sent since the last doubt, has shown whether the leaf is cold."""
        if self.doubted_at <= self.probing_since < math.inf:
            self.doubted_at = -math.inf

    def is_stalled(self, now: float) -> bool:
        """Return whether a call is overdue: the leaf may be paused or unreachable."""
        return any(overdue_at <= now for overdue_at in self.waiting.values())

    def report_load(self, load: Load, aging: Aging, now: float) -> None:
        """Record the leaf's own report of its load."""
        self.load = load
        self.load_at = now
        if self.host_pace is None and load.pace is not None:
            self.host_pace = HostPace(aging=aging)
        if self.host_pace is not None:
            self.host_pace.report(load, now)

    def call_sent(self) -> None:
        """Count a call that the last load report does not include."""
        if self.host_pace is not None:
            self.host_pace.sent_since += 1

    def pace(self, now: float) -> float:
        """Return by how much the pace of the leaf's host stretches calls; 1 if it does not report it."""
        return 1.0 if self.host_pace is None else self.host_pace.stretch(now)

    def slowness(self, now: float) -> float:
        """Return the slowness, which decays towards 1 without new measurements."""
        aged = max(0.0, now - self._slowness_at) / SLOWNESS_HALF_LIFE_S
        faded = 1.0 + (self._slowness - 1.0) * math.pow(0.5, aged)
        if now - self._probed_at < PROBE_VALID_S:
            return max(faded, self._probed_slowness)
        return faded

    def record_slowness(self, ratio: float, now: float, weight: float = SLOWNESS_WEIGHT) -> None:
        """Record a call that took `ratio` times the usual time."""
        before = self.slowness(now)
        self._slowness = before + weight * (min(ratio, MAX_SLOWNESS) - before)
        self._slowness_at = now
        self._slow_calls = self._slow_calls + 1 if ratio >= SLOW_RATIO else 0
        if ratio >= SLOW_RATIO and (self.host_pace is None or self._slow_calls >= SLOW_CALLS):
            self.request_probe(now)

    def request_probe(self, now: float) -> None:
        """Schedule a probe right away, unless a probe has completed recently."""
        if not self.probed_recently(now):
            self.baseline_only = False
            self.probes.schedule(self.name, now)

    def probed_recently(self, now: float) -> bool:
        """Return whether a probe has completed recently."""
        return now - self._last_probe_at < SLOW_PROBE_INTERVAL_S

    def record_queued_probe(self, now: float) -> None:
        """Record a probe that waited in the leaf's queue, so that its time does not show the speed."""
        self._last_probe_at = now

    def record_probe(self, ratio: float, now: float) -> bool:
        """Record a probe that took `ratio` times the usual time; return whether to send a hint.

        A single slow probe may have hit a pause, so the next one follows at once; two in a row show
        a slow leaf.
        """
        was_slow = self.is_slow(now)
        self._probed_at = now
        self._last_probe_at = now
        self._probed_slowness = min(ratio, MAX_SLOWNESS)
        if ratio < SLOW_RATIO:
            self._slowness = min(self.slowness(now), SLOW_RATIO)
            self._slowness_at = now
            return was_slow
        self.probes.schedule(self.name, now + SLOW_PROBE_INTERVAL_S if was_slow else now)
        return was_slow

    def faults(self, now: float) -> float:
        """Return the share of refused or failed calls, which decays without new calls."""
        aged = max(0.0, now - self._faults_at) / FAULT_HALF_LIFE_S
        return self._faults * math.pow(0.5, aged)

    def record_fault(self, fault: bool, now: float, weight: float = FAULT_WEIGHT) -> None:
        """Record whether a call was refused or failed."""
        before = self.faults(now)
        self._faults = before + weight * (float(fault) - before)
        self._faults_at = now

    def record_broken_call(self, fingerprint: str, now: float) -> None:
        """Record that a call of the request broke; schedule a probe to check that the leaf is up."""
        self.broken = [entry for entry in self.broken if now - entry[0] < LOST_CALL_RETENTION_S]
        self.broken.append((now, fingerprint))
        self.doubt(now)
        self.baseline_only = False
        self.probes.schedule(self.name, now)

    def record_unanswered_call(self, fingerprint: str, now: float) -> None:
        """Record that this node ended a call of the request, and the leaf had sent nothing since."""
        since = now - LOST_CALL_RETENTION_S
        self.unanswered = [entry for entry in self.unanswered if entry[0] > since]
        self.unanswered.append((now, fingerprint))

    def recently_unanswered(self, now: float) -> list[str]:
        """Return the fingerprints of the requests whose calls were recently ended unanswered."""
        since = now - LOST_CALL_RETENTION_S
        return [entry[1] for entry in self.unanswered if entry[0] > since]

    def recently_broken(self, now: float, within_s: float = BROKEN_CALL_RETENTION_S) -> list[str]:
        """Return the fingerprints of the requests whose calls broke within a time."""
        return [entry[1] for entry in self.broken if now - entry[0] < within_s]

    def is_slow(self, now: float) -> bool:
        """Return whether the latest probe is still valid and found the leaf slow."""
        return now - self._probed_at < PROBE_VALID_S and self._probed_slowness >= SLOW_RATIO

    def answered(self, now: float) -> None:
        """Record an answer of any kind: the leaf is reachable."""
        self.last_answer_at = now
        self.displaced = False
        self.availability = Availability.READY
        self.suspect_until = 0.0
        self.suspect_backoff_s = INITIAL_SUSPECT_BACKOFF_S

    def suspect(self, availability: Availability, now: float) -> None:
        """Avoid the leaf with exponential back-off, and schedule a probe for the end of it."""
        self.availability = availability
        self.doubt(now)
        self.suspect_until = now + self.suspect_backoff_s
        self.baseline_only = False
        self.probes.schedule(self.name, self.suspect_until)
        self.suspect_backoff_s = min(MAX_SUSPECT_BACKOFF_S, 2.0 * self.suspect_backoff_s)

    def set_cold_left(self, left_s: float, now: float) -> None:
        """Set for how much longer the leaf is cold, as reported by the leaf."""
        self.cold_until = now + left_s if left_s > 0.0 else 0.0
