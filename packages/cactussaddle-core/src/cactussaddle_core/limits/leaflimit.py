"""Limits that leaves name: the requests a second that a leaf takes from all nodes together.

Each node keeps to a share of the limit that follows its share of the traffic, so that the limit is
neither exceeded nor left unused where callers are turned away. Nodes tell each other their traffic
while any leaf is limited; of a node that is not heard, the average is assumed.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

# Time over which a node's own traffic is averaged.
AVERAGING_S = 4.0
# A node that has had no callers still gets this rate as its weight, in requests per second.
MIN_RATE_PER_S = 0.1
MAX_RATE_PER_S = 1e6
REPORT_INTERVAL_S = 2.0
REPORT_VALID_S = 7.0
# Weight of a node in another region than the leaf, if it has leaves of the service nearby.
OTHER_REGION_WEIGHT = 0.25
SHARE_VALID_S = 0.5
# Unused quota that a node may spend at once, as a time at its rate, but at least one call.
BURST_S = 1.0


class LimitNote(NamedTuple):
    """A leaf's limit as named in an answer; `born_ms` identifies the start of the leaf."""

    leaf: str
    born_ms: int
    per_s: float | None


class TrafficReport(NamedTuple):
    """The requests a second that a node gets from its callers.

    `has_limited` means that the node knows a limited leaf, and so needs the reports of all others.
    """

    node: str
    per_s: float
    has_limited: bool


class RequestRate:
    """The rate of this node's requests, as an exponential moving average."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = -math.inf

    def count(self, now: float) -> None:
        """Count a request."""
        self._count = self._count_at(now) + 1.0
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the requests per second."""
        return self._count_at(now) / AVERAGING_S

    def _count_at(self, now: float) -> float:
        return self._count * math.exp((self._at - now) / AVERAGING_S)


class Traffic:
    """The traffic of all nodes: this node's own, and the newest reports of the others."""

    def __init__(self, *, node: str) -> None:
        self.own = RequestRate()
        self._node = node
        self._reports: dict[str, tuple[float, float]] = {}
        self._report_at = 0.0
        self._needed_until = -math.inf

    def due_report(self, has_limited: bool, now: float) -> TrafficReport | None:
        """Return this node's report if this or another node needs it and it is due."""
        if now < self._report_at or not (has_limited or now < self._needed_until):
            return None
        self._report_at = now + REPORT_INTERVAL_S
        return TrafficReport(self._node, self.own.per_s(now), has_limited)

    def heard(self, report: TrafficReport, now: float) -> None:
        """Apply another node's report."""
        if not 0.0 <= report.per_s < MAX_RATE_PER_S:
            return
        if report.has_limited:
            self._needed_until = now + REPORT_VALID_S
        self._reports[report.node] = (report.per_s, now)
        for node, (_, at) in list(self._reports.items()):
            if now - at > REPORT_VALID_S:
                del self._reports[node]

    def rates(self, now: float) -> dict[str, float]:
        """Return the known rates by node, this one's included."""
        known = {
            node: rate for node, (rate, at) in self._reports.items() if now - at <= REPORT_VALID_S
        }
        known[self._node] = self.own.per_s(now)
        return known


class Audience(NamedTuple):
    """The nodes that share a leaf's limit.

    `region_of_node` holds the registered nodes, and `node_count` is how many nodes there may be, infinity if this
    node has no share. `leaf_region`
    is the leaf's region, `service_regions` those that have leaves of its service.
    """

    region_of_node: Mapping[str, str]
    node_count: float
    leaf_region: str
    service_regions: Collection[str]


def share(node: str, rates: Mapping[str, float], audience: Audience) -> float:
    """Return this node's share of a leaf's limit, from 0 to 1."""
    known = [max(MIN_RATE_PER_S, rate) for rate in rates.values()]
    average = sum(known) / len(known) if known else 1.0
    nodes = {*audience.region_of_node, *rates}
    weights = {
        name: max(MIN_RATE_PER_S, rates.get(name, average)) * _nearness(name, audience)
        for name in nodes
    }
    unknown = max(0, audience.node_count - len(nodes)) * average
    own = weights.get(node, average)
    return own / max(own, sum(weights.values()) + unknown)


def _nearness(node: str, audience: Audience) -> float:
    region = audience.region_of_node.get(node, "")
    if region == audience.leaf_region or region not in audience.service_regions:
        return 1.0
    return OTHER_REGION_WEIGHT


class Quota:
    """What this node may still send to one limited leaf: a token bucket with a changing rate."""

    def __init__(self, *, tokens: float, now: float) -> None:
        self.per_s = 0.0
        self.renewed_at = -math.inf
        self._tokens = tokens
        self._filled_at = now

    def set_rate(self, per_s: float, now: float) -> None:
        """Set the rate at which calls are granted."""
        self._fill(now)
        self.per_s = per_s
        self.renewed_at = now

    def is_outdated(self, now: float) -> bool:
        """Return whether the rate is due to be computed again."""
        return now - self.renewed_at > SHARE_VALID_S

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        self._fill(now)
        return self._tokens >= 1.0

    def take(self) -> None:
        """Count a call."""
        self._tokens -= 1.0

    def refund(self) -> None:
        """Return a call that has not reached the leaf."""
        self._tokens += 1.0

    @property
    def is_kept(self) -> bool:
        """Whether no more calls were counted than granted."""
        return self._tokens >= 0.0

    def _fill(self, now: float) -> None:
        most = max(1.0, BURST_S * self.per_s)
        gained = self.per_s * (now - self._filled_at)
        self._tokens = max(self._tokens, min(most, self._tokens + gained))
        self._filled_at = now
