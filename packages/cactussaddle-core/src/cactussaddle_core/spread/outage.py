"""Tells an outage of the store from a time in which only this node's view of it was old.

Registry entries expire while the store is out of service, so an entry that is missing after an outage
may belong to a leaf that is well. A node whose own source was refused, killed, paused or cut off misses
changes too, but the store kept serving the leaves: what is missing then has been removed on purpose.
"""

from __future__ import annotations

import math

# Entries do not expire in shorter outages, since leaves renew them more often than this.
MIN_OUTAGE_S = 1.5


class OutageTracker:
    """The outages of the store, as far as this node knows; times are of the monotonic clock.

    `in_service_since` is the time since which the store is known to have been in service.
    `outage_ended_at` is when its last known outage ended, minus infinity if none is known.
    """

    def __init__(self) -> None:
        self.in_service_since = math.inf
        self.outage_ended_at = -math.inf
        self._confirmed_at = -math.inf
        self._failed_at = -math.inf

    def request_failed(self, now: float) -> None:
        """Record that a request of this node to the store failed."""
        self._failed_at = now

    def answered(self, asked_at: float, now: float) -> None:
        """Record that the store answered a request sent at `asked_at`.

        After a gap it was out of service if a request failed meanwhile, or if this request itself
        took so long that it may have waited for the end of an outage.
        """
        if self._has_gap(now):
            failed = self._failed_at >= self._confirmed_at
            if failed or now - asked_at >= MIN_OUTAGE_S:
                self._record_outage(now)
        self._confirm(now, now)

    def confirmed_by_node(self, confirmed_at: float, in_service_s: float, now: float) -> None:
        """Record that another node passed on data that the store confirmed at `confirmed_at`.

        That node knows the store to have been in service for `in_service_s`. If this covers the gap
        in this node's view, there was no outage.
        """
        since = now - in_service_s
        if self._has_gap(confirmed_at) and since > self._confirmed_at:
            self._record_outage(since)
        self._confirm(confirmed_at, since)

    def restored(self, now: float) -> None:
        """Record that the store has come back from an older copy: entries are missing as after an outage."""
        self._record_outage(now)

    def in_service_s(self, now: float) -> float:
        """Return for how long the store is known to have been in service, in seconds."""
        return max(0.0, now - self.in_service_since)

    def _has_gap(self, confirmed_at: float) -> bool:
        return MIN_OUTAGE_S <= confirmed_at - self._confirmed_at < math.inf

    def _record_outage(self, ended_at: float) -> None:
        self.in_service_since = ended_at
        self.outage_ended_at = ended_at

    def _confirm(self, confirmed_at: float, since: float) -> None:
        if math.isinf(self._confirmed_at):
            self.in_service_since = since
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
