"""Gates that limit the leaf calls a node runs, one for each policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.owner.book import Gate
from cactussaddle_core.warmup import LeafLimit

if TYPE_CHECKING:
    from cactussaddle_core.node.state import NodeState
    from cactussaddle_core.owner.book import CallEnd


def static_gate(state: NodeState) -> Gate:
    """Return a gate with an equal static share of each leaf's slots (the baseline policy)."""

    def is_open(leaf: str) -> bool:
        return leaf in state.plan.serving

    def allowed(leaf: str, now: float) -> int:
        entry = state.leaves.get(leaf)
        if entry is None:
            return 0
        slots = state.cfg.services[entry["service"]]["slots"]
        return max(1, slots // max(1, len(state.hosts)))

    def admit(leaf: str, call_id: str, now: float, time_limit_s: float) -> bool:
        return len(state.owner.work(leaf).running) < allowed(leaf, now)

    def ended(leaf: str, call_id: str, end: CallEnd, now: float) -> None:
        return

    return Gate(is_open, allowed, admit, ended)


def adaptive_gate(state: NodeState) -> Gate:
    """Return a gate that limits calls by the placement's slots and each leaf's adaptive limit."""

    def is_open(leaf: str) -> bool:
        return leaf in state.plan.serving

    def allowed(leaf: str, now: float) -> int:
        share = state.slots.share(leaf, now)
        return min(state.slots.usable(leaf, now), leaf_limit(state, leaf).limit(now, share.of))

    def admit(leaf: str, call_id: str, now: float, time_limit_s: float) -> bool:
        limit = leaf_limit(state, leaf)
        share = state.slots.share(leaf, now, time_limit_s)
        if limit.in_flight >= limit.limit(now, share.of):
            return False
        if not state.slots.acquire(leaf, call_id, now, time_limit_s):
            return False
        return limit.begin(now, share.of)

    def ended(leaf: str, call_id: str, end: CallEnd, now: float) -> None:
        state.slots.release(leaf, call_id, now)
        leaf_limit(state, leaf).observe(end.outcome, end.latency_s, end.incarnation, now)

    return Gate(is_open, allowed, admit, ended)


def leaf_limit(state: NodeState, leaf: str) -> LeafLimit:
    """Return a leaf's adaptive limit, created on first use."""
    found = state.limits.get(leaf)
    if found is None:
        slots, cold_slots = _configured_slots(state, leaf)
        seed = f"{state.me.node}/{leaf}"
        found = state.limits[leaf] = LeafLimit(slots=slots, cold_slots=cold_slots, seed=seed)
    return found


def reconfigure(state: NodeState) -> None:
    """Apply a new configuration's limits to the leaves; drop the limits of removed leaves."""
    for leaf in list(state.limits):
        if leaf not in state.leaves:
            del state.limits[leaf]
            continue
        slots, cold_slots = _configured_slots(state, leaf)
        state.limits[leaf].configure(slots=slots, cold_slots=cold_slots)


def _configured_slots(state: NodeState, leaf: str) -> tuple[int, int]:
    entry = state.leaves.get(leaf)
    if entry is None:
        return 1, 1
    service = state.cfg.services[entry["service"]]
    return service["slots"], service.get("cold_slots", 1)
