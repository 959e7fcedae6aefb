"""Hedging: a second call of a part whose first one is overdue."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.choose import choose
from cactussaddle_core.fanout.estimate import expected_s
from cactussaddle_core.fanout.estimate import has_free_slot
from cactussaddle_core.fanout.looplag import MAX_SEND_GAP_S
from cactussaddle_core.fanout.sending import HEDGE
from cactussaddle_core.fanout.sending import can_hedge
from cactussaddle_core.fanout.sending import end_unsent
from cactussaddle_core.fanout.sending import hedge_time
from cactussaddle_core.fanout.sending import overdue_at
from cactussaddle_core.fanout.sending import send
from cactussaddle_core.fanout.sending import send_to

if TYPE_CHECKING:
    from cactussaddle_core.fanout.effects import FanoutEffect
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Part
    from cactussaddle_core.fleet.leaf import Leaf

# Extra calls in the retry budget that hedges leave for retries of failed calls.
HEDGE_RESERVE = 1.0
# While a leaf still answers other calls, a hedge that would wait in another leaf's queue only makes
# that queue longer. The leaves are checked again after this interval.
FULL_QUEUES_RECHECK_S = 0.03
# A call overdue by this factor may be on a connection that no longer delivers data.
SILENT_FACTOR = 8.0


def hedge(state: FanoutState, part: Part, now: float) -> list[FanoutEffect]:
    """Send a second call of a part whose last one is overdue, if that may bring a better answer."""
    last = part.open_calls[-1] if part.open_calls else None
    if last is not None and _is_locally_delayed(state, last, now):
        state.review_at(part.query, part.hedge_at)
        return []
    part.hedge_at = math.inf
    effects = end_unsent(state, part, now)
    if not part.open_calls:
        return effects + send(state, part, HEDGE, now, reserve=HEDGE_RESERVE)
    choice = choose(state, part, now) if can_hedge(part) else None
    if choice is None:
        return effects
    if _is_being_served(state, part, now) and not _would_help(state, part, choice.leaf, now):
        part.hedge_at = now + FULL_QUEUES_RECHECK_S
        return effects
    return effects + send_to(state, part, choice, HEDGE, now, reserve=HEDGE_RESERVE)


def _is_being_served(state: FanoutState, part: Part, now: float) -> bool:
    """Return whether the part's leaf has answered other calls since, and may still answer this one."""
    last = part.open_calls[-1]
    overdue_s = state.timings.overdue_s(part.query.route, last.leaf, now)
    is_lost = now - last.left_at > SILENT_FACTOR * overdue_s
    return last.leaf.last_answer_at > last.left_at and not is_lost


def _would_help(state: FanoutState, part: Part, leaf: Leaf, now: float) -> bool:
    """Return whether a hedge would run at once at a leaf, and end by `answer_by` unless that is past."""
    query = part.query
    if not has_free_slot(leaf, now):
        return False
    ends_at = now + expected_s(state, query.route, leaf, now)
    return ends_at < query.answer_by or now >= query.answer_by


def _is_locally_delayed(state: FanoutState, call: Call, now: float) -> bool:
    """Return whether this node's own lag may explain a late call; if so, its hedge is deferred."""
    part = call.part
    if not call.left and now < call.leaf.pause_until:
        return False
    if not call.left and state.loop_lag.is_sending(now):
        part.hedge_at = now + MAX_SEND_GAP_S
        return True
    part.hedge_at = hedge_time(state, call, overdue_at(state, call, now), now)
    return part.hedge_at > now
