"""Starts callers' requests on their routes, or declines them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.access.admit import UNDECIDED
from cactussaddle_core.access.admit import admit
from cactussaddle_core.access.admit import for_leaves
from cactussaddle_core.access.admit import identify
from cactussaddle_core.access.credential import KeyFault
from cactussaddle_core.access.credential import credential_fingerprint
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.edge.delegating import delegate
from cactussaddle_core.fanout import reduce as fanout
from cactussaddle_core.fanout.admit import STOPPING
from cactussaddle_core.fanout.admit import STOPPING_RETRY_S
from cactussaddle_core.fanout.effects import Declined
from cactussaddle_core.fanout.needs import needs_of

if TYPE_CHECKING:
    from cactussaddle_core.access.admit import Terms
    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.routing.model import Route
    from cactussaddle_core.waiting.hostqueue import TurnedAway
    from cactussaddle_core.waiting.queue import WaitingRequest

# Retry delay for callers of a node that is not ready; the retry is likely to reach another node.
NOT_READY_RETRY_S = 0.2
NOT_LOADED = "routing table and leaf registry are not loaded yet"


def start_request(
    state: EdgeState,
    request: CallerRequest,
    arrived_at: float,
    now: float,
    *,
    may_delegate: bool = True,
) -> list[Effect]:
    """Start a request, hand it on, have it wait, ask for a trial if it is held, or decline it."""
    entry = _enter(state, request)
    if isinstance(entry, Declined):
        return [entry]
    request = entry.request
    if not state.crashes.is_held(request.fingerprint, now):
        return _start(state, entry, arrived_at, now, may_delegate=may_delegate)
    wait_s = state.crashes.trial_wait_s(request.fingerprint, now)
    if wait_s > 0.0:
        return [decline_held(request, wait_s)]
    return [state.crashes.apply_for_trial(request, arrived_at, now)]


def _start(
    state: EdgeState, entry: _Entry, arrived_at: float, now: float, *, may_delegate: bool
) -> list[Effect]:
    """Start a request that is not held, hand it on, have it wait, or refuse it as the host is busy."""
    if may_delegate:
        handed_on = delegate(state, entry.request, entry.route, arrived_at, now)
        if handed_on is not None:
            return handed_on
    held_up = _wait_for_host(state, entry, arrived_at, now)
    if held_up is not None:
        return held_up
    return _begin(state, entry, arrived_at, now)


def _wait_for_host(
    state: EdgeState, entry: _Entry, arrived_at: float, now: float
) -> list[Effect] | None:
    """Return None if a request begins now; else the effects of having it wait or of refusing it."""
    if not state.fanout.room.is_on:
        return None
    waiting = needs_of(state.fanout, entry.request, entry.route, arrived_at, now)
    waiting = waiting._replace(priority=entry.terms.priority)
    refused = state.host_queue.arrived(waiting, state.begun(), now)
    if refused is None:
        return None
    return [decline_busy(state, one) for one in refused]


def advance_waiting(state: EdgeState, now: float) -> list[Effect]:
    """Begin the requests for which there is room, and refuse those that are better refused by now."""
    effects: list[Effect] = [
        decline_busy(state, one) for one in state.host_queue.review(state.begun(), now)
    ]
    while (waiting := state.host_queue.take_next(state.begun(), now)) is not None:
        effects += _start_waiting(state, waiting, now)
    return effects


def _start_waiting(state: EdgeState, waiting: WaitingRequest, now: float) -> list[Effect]:
    """Start a request that has waited, unless it has come to be held meanwhile."""
    if state.crashes.is_held(waiting.request.fingerprint, now):
        return start_request(state, waiting.request, waiting.arrived_at, now)
    return begin_query(state, waiting.request, waiting.arrived_at, now)


def begin_query(
    state: EdgeState,
    request: CallerRequest,
    arrived_at: float,
    now: float,
    trial_of: frozenset[str] | None = None,
) -> list[Effect]:
    """Start a query here, on the route of a request; `trial_of` is set if it is a trial."""
    entry = _enter(state, request)
    if isinstance(entry, Declined):
        return [entry]
    return _begin(state, entry, arrived_at, now, trial_of)


class _Entry(NamedTuple):
    """A request that may run, with its route and terms in the routing table of `version`."""

    request: CallerRequest
    route: Route
    terms: Terms
    version: int


def _enter(state: EdgeState, request: CallerRequest) -> _Entry | Declined:
    """Find the route of a request and its team, or decline it."""
    table = state.current_table.table
    assert table is not None
    route = table.find(request.host, path_of(request))
    if route is None:
        return _decline(request, ResultCode.UNKNOWN_ROUTE, "no such route", 0.0)
    terms = admit(table.keys, route, request, state.key_trust())
    if isinstance(terms, KeyFault):
        return _decline_key(request, terms)
    return _Entry(identify(request, terms), route, terms, table.version)


def _begin(
    state: EdgeState,
    entry: _Entry,
    arrived_at: float,
    now: float,
    trial_of: frozenset[str] | None = None,
) -> list[Effect]:
    route = entry.route
    request = for_leaves(entry.request, entry.terms)
    services = route.shards or (state.round_robin.choose(route),)
    waited_s = now - arrived_at
    begun = fanout.begin(
        state.fanout,
        request,
        route,
        services,
        entry.version,
        waited_s,
        now,
        trial_of,
        entry.terms,
    )
    return [*begun]


def _decline_key(request: CallerRequest, fault: KeyFault) -> Declined:
    code = ResultCode.KEY_REFUSED
    retry_after_s = 0.0
    if fault in UNDECIDED:
        code = ResultCode.KEY_UNCONFIRMED
        retry_after_s = NOT_READY_RETRY_S
    declined = _decline(request, code, fault.value, retry_after_s)
    return declined._replace(key_fault=fault, key=credential_fingerprint(request.credential))


def _decline(
    request: CallerRequest, code: ResultCode, message: str, retry_after_s: float
) -> Declined:
    return Declined(
        req_id=request.req_id,
        request_id=request.request_id,
        code=code,
        message=message,
        ran=False,
        retry_after_s=retry_after_s,
        fingerprint=request.fingerprint,
        host=request.host,
        path=path_of(request),
    )


def path_of(request: CallerRequest) -> str:
    """Return the path of a request without its query."""
    return request.target.split(b"?", 1)[0].decode("latin-1")


def decline_not_loaded(request: CallerRequest) -> Declined:
    """Decline a request that came before the node knows routes and leaves."""
    return _decline(request, ResultCode.NOT_CONFIGURED, NOT_LOADED, NOT_READY_RETRY_S)


def decline_stopping(request: CallerRequest) -> Declined:
    """Decline a request that this node can't serve before it exits."""
    return _decline(request, ResultCode.STOPPING, STOPPING, STOPPING_RETRY_S)


def decline_held(request: CallerRequest, retry_after_s: float) -> Declined:
    """Decline a request that may run only as a trial."""
    message = "leaves went down under this request"
    return _decline(request, ResultCode.HELD, message, retry_after_s)


def decline_busy(state: EdgeState, refused: TurnedAway) -> Declined:
    """Decline a request for which this host has no room in time, or before it stops."""
    if state.stopping.asked:
        return decline_stopping(refused.request)
    reason = refused.reason.value
    return _decline(refused.request, ResultCode.OVERLOADED, reason, refused.retry_after_s)
