"""Whether a version move's time is enough for the traffic that its evidence comes from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.moves.versions import CANARY_SHARE
from cactussaddle_core.moves.versions import FULL_SHARE
from cactussaddle_core.moves.versions import USUAL_PACE
from cactussaddle_core.moves.versions import evidence_cap
from cactussaddle_core.moves.versions import planned_share
from cactussaddle_core.moves.versions import settle_s

if TYPE_CHECKING:
    from cactussaddle_core.config.model import Move

STEPS = 200


def full_at(move: Move, wall: float, calls: float, rate: float) -> float | None:
    """Return when a good version gets all it can before it is final; None: not in the move's time.

    `calls` of the new version have been seen by `wall`; the service gets `rate` calls a second.
    Cold starts and suspicion make it later, so this is the earliest.
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


def too_short(move: Move, wall: float, calls: float, rate: float) -> str:
    """Say why the move can't be done in its time at this rate, empty where it can."""
    at = full_at(move, wall, calls, rate)
    if at is not None and at + settle_s(move) < move["finish"]:
        return ""
    left_s = move["finish"] - max(wall, move["start"])
    if calls < USUAL_PACE.enough_calls:
        needed = USUAL_PACE.enough_calls - calls
        what = f"{needed:.0f} calls at a share of {CANARY_SHARE:.0%}, and more at larger shares"
    else:
        what = "enough calls at larger shares"
    return (
        f"at risk: needs {what}; at {rate:.1f} calls a second to the service"
        f" {left_s:.0f} s are too short"
    )
