"""Overload control for callers' queries at their root node, with one queue for each group."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.admission import Admission
from cactussaddle_core.admission import Admitted
from cactussaddle_core.admission import Limits
from cactussaddle_core.admission import Refused
from cactussaddle_core.admission import Request
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.node import orders
from cactussaddle_core.query import reduce as query

if TYPE_CHECKING:
    from typing import Any

    from cactussaddle_core.admission import Decision
    from cactussaddle_core.node.effects import Answer
    from cactussaddle_core.node.state import NodeState
    from cactussaddle_core.query.state import QueryAnswer
    from cactussaddle_core.query.state import QueryRequest


LIMITS_INTERVAL_S = 0.5
MIN_RUNNING = 2
RUNNING_PER_SHARE = 1.25
MAX_SHARES = 8.0
CAP_DECREASE = 0.8
# A query is refused on arrival if it would wait for more than this fraction of its deadline.
MAX_WAIT_FRACTION = 0.25
QUEUED_PER_RUNNING = 8


class Cap:
    """Concurrency limit of a group's queries: between a share of the slots and a multiple of it.

    It increases while leaves run the calls at once and decreases when their queues are full, so that
    one node can use the capacity that others leave unused. Until the first decrease it grows by one
    per query, because the slots don't show how long a query takes at this node, and therefore how
    many run at once.
    """

    def __init__(self) -> None:
        self.share = float(MIN_RUNNING)
        self.value = self.share
        self.decreased_at = -math.inf

    def set_share(self, share: float) -> None:
        """Update the share of the slots and keep the limit within its bounds."""
        self.share = max(float(MIN_RUNNING), share)
        self.value = min(max(self.value, self.share), MAX_SHARES * self.share)

    def ran(self) -> None:
        """Record a query that met no full queue, and increase the limit."""
        step = 1.0 / self.value if math.isfinite(self.decreased_at) else 1.0
        self.value = min(MAX_SHARES * self.share, self.value + step)

    def refused(self, sent_at: float, now: float) -> None:
        """Record a call that met a full queue; ignore those sent before the last decrease."""
        if sent_at <= self.decreased_at:
            return
        self.decreased_at = now
        self.value = max(self.share, CAP_DECREASE * self.value)


class OpenQuery(NamedTuple):
    """A query that is queued or running; `deadline` is a time of the node's monotonic clock."""

    request: QueryRequest
    group: str
    deadline: float


def offer(state: NodeState, request: QueryRequest, now: float) -> list[Any]:
    """Start, queue or refuse a query; returns effects of the query reducer and `Answer`."""
    group = request.services[0]
    opened = OpenQuery(request, group, now + request.deadline_s)
    state.open_queries[str(request.req_id)] = opened
    admission = _admission(state, group)
    patience_s = MAX_WAIT_FRACTION * request.deadline_s
    offered = Request(str(request.req_id), request.priority, opened.deadline, patience_s)
    return _carry_out(state, admission.offer(offered, now), now)


def ended(state: NodeState, answer: QueryAnswer, now: float) -> list[Any]:
    """Handle the answer of a query, and start the queued queries that may now run."""
    opened = state.open_queries.pop(str(answer.req_id), None)
    if opened is None:
        return []
    if answer.code is ResultCode.COMPLETE:
        state.caps[opened.group].ran()
    decisions = _admission(state, opened.group).done(str(answer.req_id), now)
    return _carry_out(state, decisions, now)


def queue_was_full(state: NodeState, call_id: int, now: float) -> None:
    """Handle a call refused by a leaf's full queue: run fewer queries of its group at once."""
    call = state.queries.pending.get(call_id)
    if call is None:
        return
    group = call.query.request.services[0]
    if group in state.caps:
        state.caps[group].refused(call.sent_at, now)
        _set_limits(state, group)


def gone(state: NodeState, req_id: int, now: float) -> list[Any]:
    """Cancel the query of a caller that disconnected."""
    opened = state.open_queries.pop(str(req_id), None)
    if opened is None:
        return []
    admission = _admission(state, opened.group)
    decisions = admission.cancel(str(req_id), now) + admission.done(str(req_id), now)
    return _carry_out(state, decisions, now)


def tick(state: NodeState, now: float) -> list[Any]:
    """Refuse queued queries that can no longer end in time, and start those that may run."""
    effects: list[Any] = []
    for admission in state.admissions.values():
        effects += _carry_out(state, admission.tick(now), now)
    return effects


def refresh_limits(state: NodeState, now: float) -> None:
    """Update the limits from this node's share of the slots of each group's smallest service."""
    if now < state.limits_check_at:
        return
    state.limits_check_at = now + LIMITS_INTERVAL_S
    nodes = 1 + len(state.members.live())
    for route in state.cfg.routes.values():
        if route["idempotent"]:
            group = route["services"][0]
            slots = min(_slots(state, service) for service in route["services"])
            _admission(state, group)
            state.caps[group].set_share(RUNNING_PER_SHARE * slots / nodes)
            _set_limits(state, group)


def _set_limits(state: NodeState, group: str) -> None:
    running = round(state.caps[group].value)
    state.admissions[group].limits = Limits(running, QUEUED_PER_RUNNING * running)


def _slots(state: NodeState, service: str) -> int:
    leaves = state.queries.view.by_service.get(service, ())
    return sum(leaf.limit for leaf in leaves if state.leaf_usable(leaf))


def _admission(state: NodeState, group: str) -> Admission:
    found = state.admissions.get(group)
    if found is None:
        limits = Limits(MIN_RUNNING, QUEUED_PER_RUNNING * MIN_RUNNING)
        found = Admission(limits=limits, seed=f"{state.me.node}/{group}")
        state.admissions[group] = found
        state.caps[group] = Cap()
    return found


def _carry_out(state: NodeState, decisions: list[Decision], now: float) -> list[Any]:
    effects: list[Any] = []
    for decision in decisions:
        if isinstance(decision, Admitted):
            effects += _start(state, decision.id, now)
        elif isinstance(decision, Refused):
            effects.append(_refuse(state, decision))
    return effects


def _start(state: NodeState, request_id: str, now: float) -> list[Any]:
    opened = state.open_queries[request_id]
    request = opened.request._replace(deadline_s=opened.deadline - now)
    return list(query.start_query(state.queries, request, now))


def _refuse(state: NodeState, refused: Refused) -> Answer:
    del state.open_queries[refused.id]
    message = "refused by overload control before it ran"
    return orders.answer(int(refused.id), ResultCode.OVERLOADED, message, refused.retry_after_s)
