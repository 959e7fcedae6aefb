"""Tells of each caller's request once when it began to run at a leaf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.model import NOT_RUN

if TYPE_CHECKING:
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.fanout.state import Query

# A leaf that refuses a call does so sooner than this.
SURELY_RUN_S = 0.3


def record_run(state: FanoutState, call: Call) -> None:
    """Tell that the request of a call that has ended began to run, unless the call shows the contrary."""
    if call.left and call.ending not in NOT_RUN:
        _tell(state, call.part.query)


def record_open_runs(state: FanoutState, now: float) -> None:
    """Tell of the requests whose calls have been at a leaf for so long that they surely began to run."""
    if state.run_began is None:
        return
    for query in state.queries.values():
        if not query.run_told and _is_at_leaf(query, now):
            _tell(state, query)


def _is_at_leaf(query: Query, now: float) -> bool:
    return any(
        call.left and now >= call.left_at + SURELY_RUN_S
        for part in query.parts
        for call in part.open_calls
    )


def _tell(state: FanoutState, query: Query) -> None:
    """Tell the time at which the first call began: as it was sent, plus half a round trip."""
    team = query.request.team
    if state.run_began is None or query.run_told or not team:
        return
    query.run_told = True
    began_at = min(
        call.left_at + 0.5 * state.timings.rtt_s(call.leaf)
        for part in query.parts
        for call in part.calls
        if call.left and call.ending not in NOT_RUN
    )
    state.run_began(team, began_at)
