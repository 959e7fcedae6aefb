"""Checks whether a version move lasts long enough to gather evidence at the current traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.moves.versions import CANARY_SHARE
from cactussaddle_core.moves.versions import FULL_SHARE
from cactussaddle_core.moves.versions import TYPICAL_PACE
from cactussaddle_core.moves.versions import evidence_cap
from cactussaddle_core.moves.versions import planned_share
from cactussaddle_core.moves.versions import settle_s

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Move

STEPS = 200


def full_share_at(move: Move, wall: float, calls: float, rate: float) -> float | None:
    """Return when a good version would reach `FULL_SHARE`, None if not before the move's finish.

    The new version has had `calls` calls by `wall`; the service gets `rate` calls per second. This
    is a lower bound, since cold starts and suspicion delay the move.
    """
    at = max(wall, move["start"])
    step_s = max(move["finish"] - at, 0.0) / STEPS
    for _ in range(STEPS):
        share = min(planned_share(move, at), evidence_cap(calls, calls))
        if share >= FULL_SHARE:
            return at
        calls += rate * share * step_s
        at += step_s
    return None


def too_short_reason(move: Move, wall: float, calls: float, rate: float) -> str:
    """Return why the move can't be done by its finish at this rate, empty if it can."""
    at = full_share_at(move, wall, calls, rate)
    if at is not None and at + settle_s(move) < move["finish"]:
        return ""
    left_s = move["finish"] - max(wall, move["start"])
    if calls < TYPICAL_PACE.enough_calls:
        needed = TYPICAL_PACE.enough_calls - calls
        need = f"{needed:.0f} calls at a share of {CANARY_SHARE:.0%}, and more at larger shares"
    else:
        need = "enough calls at larger shares"
    return (
        f"at risk: needs {need}; at {rate:.1f} calls a second to the service"
        f" {left_s:.0f} s are too short"
    )
