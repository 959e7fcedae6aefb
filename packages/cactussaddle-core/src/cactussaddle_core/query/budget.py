"""One budget for hedges and retries together."""

from __future__ import annotations

EXTRA_SHARE = 0.05
BURST_CALLS = 30.0


class ExtraBudget:
    """Allows extra leaf calls up to a ratio of the first calls, with a bounded burst.

    A call that was never sent is no load for the leaf, so the call that replaces it is not extra.
    """

    def __init__(self, *, share: float = EXTRA_SHARE, burst: float = BURST_CALLS) -> None:
        self.share = share
        self.burst = burst
        self.tokens = burst
        self.first_calls = 0
        self.hedges = 0
        self.retries = 0
        self.denied = 0

    def first(self, count: int) -> None:
        """Record `count` first calls, which earn tokens."""
        self.first_calls += count
        self.tokens = min(self.burst, self.tokens + count * self.share)

    def take_hedge(self) -> bool:
        """Spend one token on a hedge; hedges leave half of the burst to retries."""
        if self.tokens < self.burst / 2:
            self.denied += 1
            return False
        self.tokens -= 1
        self.hedges += 1
        return True

    def take_retry(self) -> bool:
        """Spend one token on a retry."""
        if self.tokens < 1:
            self.denied += 1
            return False
        self.tokens -= 1
        self.retries += 1
        return True

    def give_back(self) -> None:
        """Return the token of an extra call that was never sent to the leaf."""
        self.tokens = min(self.burst, self.tokens + 1)
