"""What the end of a call shows about its leaf: load, availability, faults and speed."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fanout.sending import is_overdue
from cactussaddle_core.fleet.hints import HintKind
from cactussaddle_core.fleet.leaf import SLOW_RATIO
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.rollouts.rollouts import CompletedCall

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import CallEnd
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fleet.leaf import Leaf

# A leaf is considered down if a connection to it could not be opened for this long.
CONNECT_DOWN_AFTER_S = 0.25
# One call in so many is enough to learn the size of answers and the effect of paces.
SAMPLED = 4
COMPLETED = (CallEnding.ANSWERED, CallEnding.FAILED, CallEnding.BROKEN)


def record_call_end(state: FanoutState, call: Call, end: CallEnd, now: float) -> None:
    """Update a leaf's load, availability, faults and timings from the end of a call."""
    leaf = call.leaf
    route = call.part.query.route
    elapsed_s = now - (call.left_at if call.left else call.sent_at)
    was_overdue = is_overdue(state, call, now)
    leaf.waiting.pop(call.call_id, None)
    expected_pace = leaf.pace(now)
    if end.load is not None:
        state.fleet.load_reported(leaf, end.load, now)
    if end.notice is not None:
        state.fleet.notice_given(leaf, end.notice, now)
        if now < leaf.pause_until:
            _review_unsent_calls(state, leaf, now)
    if end.ending in COMPLETED:
        _record_for_rollout(state, call, end, now)
    if end.ending is CallEnding.ANSWERED:
        leaf.answered(now)
        state.timings.record_total(route, leaf, now - call.sent_at)
        if call.call_id % SAMPLED == 0 and end.reply is not None:
            state.timings.record_answer_bytes(route, len(end.reply.body))
        leaf.record_fault(False, now)
        if call.call_id % SAMPLED == 0 and not math.isnan(call.pace):
            # Not relative to the leaf's slowness, which takes up what is not ascribed to the pace.
            relative = state.timings.ratio(route, leaf, elapsed_s) / (1.0 + call.queue_rounds)
            state.fleet.aging.effect.learn(call.pace, relative)
        own_s = state.room.own_share_s(call.busy_mark_s)
        median_s = state.timings.median_s(route)
        pace = leaf.pace(now)
        ratio = state.timings.record_latency(
            route, leaf, elapsed_s, now, pace=pace, expected_pace=expected_pace
        )
        ratio = max(0.0, ratio - own_s / median_s / pace)
        if state.room.is_on:
            state.timings.record_leaf_time(route, leaf, elapsed_s - own_s)
        # The wait in the queue is no part of the leaf's speed; estimates add it again.
        leaf.record_slowness(ratio / (1.0 + call.queue_rounds), now)
        state.ran_well(call.part.query.request.fingerprint, leaf.name, now)
    elif end.ending in (CallEnding.REFUSED, CallEnding.FAILED):
        if end.wrong_leaf:
            leaf.displaced = True
            state.fleet.suspect(leaf, Availability.DOWN, now, "address now belongs to another leaf")
        else:
            leaf.answered(now)
        _record_fault(state, leaf, now)
    elif end.ending is CallEnding.BROKEN:
        leaf.record_broken_call(call.part.query.request.fingerprint, now)
        state.fleet.call_lost(leaf)
        _record_fault(state, leaf, now)
    elif end.ending is CallEnding.NOT_SENT:
        state.fleet.suspect(leaf, Availability.DOWN, now, f"no connection: {end.detail}")
    elif end.ending is CallEnding.CANCELLED and was_overdue:
        _record_overdue(state, call, elapsed_s, now)


def _record_overdue(state: FanoutState, call: Call, elapsed_s: float, now: float) -> None:
    """Record a call that this node ended because it was overdue."""
    leaf = call.leaf
    if call.left:
        leaf.record_unanswered_call(call.part.query.request.fingerprint, now)
        state.fleet.call_lost(leaf)
        idle_s = elapsed_s - state.room.own_share_s(call.busy_mark_s)
    else:
        # Opening a connection takes this node several steps, each behind its other work.
        idle_s = elapsed_s - state.room.busy_since_s(call.busy_mark_s)
        if state.room.is_on and idle_s < state.timings.connect_overdue_s(leaf):
            return
    if not (call.left and leaf.is_slow(now)):
        is_dead = not call.left and idle_s >= CONNECT_DOWN_AFTER_S
        availability = Availability.DOWN if is_dead else Availability.SUSPECT
        state.fleet.suspect(leaf, availability, now, f"no answer in {1000.0 * elapsed_s:.0f} ms")
    ratio = idle_s / state.timings.median_s(call.part.query.route) / leaf.pace(now)
    leaf.record_slowness(ratio, now)


def _review_unsent_calls(state: FanoutState, leaf: Leaf, now: float) -> None:
    """Have the calls that wait for a connection to a leaf sent elsewhere."""
    for call in [state.calls[call_id] for call_id in leaf.waiting if call_id in state.calls]:
        if not call.left and not call.abandoned:
            call.part.hedge_at = now
            state.review_at(call.part.query, now)


def _record_for_rollout(state: FanoutState, call: Call, end: CallEnd, now: float) -> None:
    """Record a call as evidence for its service's rollout, if one is under way.

    The elapsed time includes the wait for a connection, as the median does, so delays caused by a
    busy node are part of both.
    """
    if not state.rollouts.is_ordered(call.part.service):
        return
    route = call.part.query.route
    limit_s = state.timings.rtt_s(call.leaf) + SLOW_RATIO * state.timings.median_total_s(route)
    limit_s += state.loop_lag.lag_s(now)
    elapsed_s = now - call.sent_at
    ok = end.ending is CallEnding.ANSWERED
    completed = CompletedCall(call.part.service, route.name, ok, elapsed_s, limit_s)
    state.rollouts.record_call(call.leaf, completed, now)


def _record_fault(state: FanoutState, leaf: Leaf, now: float) -> None:
    leaf.record_fault(True, now)
    state.fleet.hints.note(leaf, HintKind.FAULTS, 1.0)
