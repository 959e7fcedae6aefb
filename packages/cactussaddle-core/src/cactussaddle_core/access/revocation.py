"""For how long a node may trust the keys that it knows, by when the store confirmed them.

Load answered: keys are taken away while nodes are cut off from the store, frozen or suspended.

A configuration that was acknowledged before `confirmed_at` is known here. One that is not known was
acknowledged later, and forbids only requests sent more than `revoke_s` after that. So a request that was
sent by `confirmed_at + revoke_s` breaks no unknown configuration, whenever it runs: retries, hedges and
queues need no further allowance. Both times are of one clock that also counts the suspension of the host.
"""

from __future__ import annotations

# Covers a store that ends a wait early, rounded ages between nodes, and clocks of different rates.
CLOCK_MARGIN_S = 0.2


def longest_trust_s(revoke_s: float) -> float:
    """Return for how long after a confirmation the keys that it confirmed are trusted."""
    return max(0.0, revoke_s - CLOCK_MARGIN_S)


def may_trust_keys(sent_by: float, confirmed_at: float, revoke_s: float) -> bool:
    """Return whether the known keys decide about a request that was sent at `sent_by` or before.

    The store confirmed them at `confirmed_at`; `revoke_s` is infinite if keys need not end in time.
    """
    return sent_by - confirmed_at <= longest_trust_s(revoke_s)
