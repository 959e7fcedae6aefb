"""Whether this node runs a query that another node hands to it.

A refusal costs the other node one round trip, and it then runs the query itself; a query that is begun
and comes late costs its caller the answer.
"""

from __future__ import annotations

import math

# Open queries for each core of this host, its own included; one more would wait for the processor.
MAX_QUERIES_PER_CORE = 12.0
# While the event loop lags by this much, queries that come are late already.
MAX_LAG_S = 0.03
# A host that did not run for this long may hold requests whose senders have given them up.
MAX_PAUSE_S = 0.25

STOPPING = "stopping"
OTHER_TABLE = "another routing table"
BUSY = "too many queries"
LATE = "event loop lags"
PAUSED = "was paused"


class PauseWatch:
    """Notices that the host stood still, by a clock that counts such times."""

    def __init__(self) -> None:
        self._ran_at = -math.inf
        self._woke_at = -math.inf

    def ran(self, boot_s: float) -> None:
        """Record that the process runs at a time of the clock that goes on while the host is suspended."""
        if math.isfinite(self._ran_at) and boot_s - self._ran_at > MAX_PAUSE_S:
            self._woke_at = boot_s
        self._ran_at = boot_s

    def was_paused(self, boot_s: float) -> bool:
        """Return whether the host may just have come back from a pause."""
        self.ran(boot_s)
        return boot_s - self._woke_at < MAX_PAUSE_S


def refusal(
    *, stopping: bool, same_table: bool, queries: int, cores: float, lag_s: float
) -> str | None:
    """Return why a query of another node is not run here, or None if it is."""
    if stopping:
        return STOPPING
    if not same_table:
        return OTHER_TABLE
    if queries >= MAX_QUERIES_PER_CORE * cores:
        return BUSY
    if lag_s > MAX_LAG_S:
        return LATE
    return None
