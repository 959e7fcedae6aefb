"""Rate of calls per second to each service at the leaves of this node."""

from __future__ import annotations

import math

from collections import Counter

from cactussaddle_core.moves.verdict import DecayingCount

RECENT_S = 60.0


class Traffic:
    """Ended calls by service, counted individually and periodically folded into decaying rates."""

    def __init__(self) -> None:
        self.ended: Counter[str] = Counter()
        self.recent: dict[str, DecayingCount] = {}
        self.since: float | None = None

    def add(self, service: str) -> None:
        """Count a call that ended."""
        self.ended[service] += 1

    def fold(self, now: float) -> None:
        """Add the calls counted since the last fold to the rates."""
        if self.since is None:
            self.since = now
        for service, count in self.ended.items():
            self.recent.setdefault(service, DecayingCount(tau_s=RECENT_S)).add(count, now)
        self.ended.clear()

    def rates(self, now: float) -> dict[str, float]:
        """Return the calls per second of each service, averaged over about the last minute."""
        if self.since is None or now <= self.since:
            return {}
        window_s = RECENT_S * (1.0 - math.exp(-(now - self.since) / RECENT_S))
        return {service: recent.get(now) / window_s for service, recent in self.recent.items()}
