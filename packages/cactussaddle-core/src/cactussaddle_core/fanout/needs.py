"""What a request needs of this node's own host, before it begins."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.reduce import ANSWER_MARGIN_S
from cactussaddle_core.fanout.reduce import time_limits
from cactussaddle_core.waiting.queue import WaitingRequest

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fanout.state import FanoutState
    from cactussaddle_core.routing.model import Route


def needs_of(
    state: FanoutState, request: CallerRequest, route: Route, arrived_at: float, now: float
) -> WaitingRequest:
    """Return a request with its time limits and the time that it takes on this host."""
    _, deadline = time_limits(state, request, route, arrived_at, now)
    # This host's lag is no part of the margin, as its backlog is counted besides.
    margin_s = request.caller_rtt_s + ANSWER_MARGIN_S
    answer_by = min(deadline, arrived_at + route.objective_s - margin_s)
    parts = max(1, len(route.shards))
    return WaitingRequest(
        request=request,
        route=route.name,
        arrived_at=arrived_at,
        priority=route.priority,
        answer_by=answer_by,
        deadline=deadline,
        work_s=state.room.work_s(parts),
        alone_s=state.room.alone_s(parts, state.timings.median_leaf_s(route)),
    )
