"""The node's part in a graceful shutdown: its start, the requests that it gives up, and the exit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.delegating import end_overdue
from cactussaddle_core.edge.effects import CloseIdle
from cactussaddle_core.edge.effects import EndProcess
from cactussaddle_core.edge.effects import LogEvent
from cactussaddle_core.edge.starting import decline_stopping
from cactussaddle_core.fanout import reduce as fanout
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require

if TYPE_CHECKING:
    from cactussaddle_core.edge import events as ev
    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState


def stop_asked(state: EdgeState, event: ev.StopAsked, now: float) -> list[Effect]:
    """Begin a shutdown; another request to stop changes nothing."""
    if state.stopping.asked:
        return []
    state.stopping.request(event.grace_s, now - event.ago_s)
    state.fanout.give_up_at = state.stopping.give_up_at
    uptime_s = round(now - state.started_at, 2)
    ago_s = round(event.ago_s, 3)
    return [LogEvent(log.StopAsked(event.grace_s, ago_s, len(state.fanout.queries), uptime_s))]


def advance_stop(state: EdgeState, now: float) -> list[Effect]:
    """Do what is due in a shutdown, if there is one."""
    effects: list[Effect] = []
    if state.stopping.take_progress_due(now):
        effects.append(LogEvent(_progress(state, now)))
    if not state.stopping.is_closing(now):
        return effects
    if state.stopping.must_give_up(now):
        effects += _give_up(state, now)
    effects.append(CloseIdle())
    requests = _open_requests(state)
    if not state.stopping.may_exit(requests, now):
        return effects
    require(requests == 0, Promise.GRACEFUL_STOP, f"shutdown would abort {requests} open requests")
    return [*effects, EndProcess(state.stopping.must_end(now))]


def _open_requests(state: EdgeState) -> int:
    waiting = len(state.pending_requests) + state.crashes.trials.applicants()
    waiting += len(state.host_queue.waiting)
    return len(state.fanout.queries) + len(state.delegated) + waiting


def _give_up(state: EdgeState, now: float) -> list[Effect]:
    """Answer all open requests as well as is possible now."""
    effects: list[Effect] = [*fanout.give_up(state.fanout, now), *end_overdue(state, now)]
    waiting = [pending.request for pending in state.pending_requests.take_all()]
    waiting += [one.request for one in state.host_queue.waiting.take_all()]
    waiting += state.crashes.trials.take_all()
    return effects + [decline_stopping(request) for request in waiting]


def _progress(state: EdgeState, now: float) -> log.StopProgress:
    queries = state.fanout.queries.values()
    oldest = [query.request.request_id for query in queries][: log.MAX_LOGGED_REQUESTS]
    since_s = round(now - state.stopping.asked_at, 2)
    phase = state.stopping.phase(now).value
    return log.StopProgress(since_s, phase, len(queries), tuple(oldest))
