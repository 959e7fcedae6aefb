"""The node's part in trials of held requests: their records in the store, permits and outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.edge import logevents as log
from cactussaddle_core.edge.effects import LogEvent
from cactussaddle_core.edge.starting import begin_query
from cactussaddle_core.edge.starting import decline_held
from cactussaddle_core.hold.trials import RETRY_AFTER_S

if TYPE_CHECKING:
    from cactussaddle_core.edge import events as ev
    from cactussaddle_core.edge.effects import Effect
    from cactussaddle_core.edge.state import EdgeState


def trial_written(state: EdgeState, event: ev.TrialWritten, now: float) -> list[Effect]:
    """Run a held request that the store permits to be tried."""
    trials = state.crashes.trials
    waiting = trials.written(event.write, event.revision, now)
    if waiting is None:
        return []
    request, arrived_at = waiting
    if event.revision is None:
        return [decline_held(request, RETRY_AFTER_S)]
    permitted = event.write.record._replace(revision=event.revision)
    effects = begin_query(state, request, arrived_at, now, frozenset(permitted.services))
    trials.begin(permitted, state.fanout.queries.get(request.req_id))
    return effects


def trial_seen(state: EdgeState, event: ev.TrialSeen, now: float) -> list[Effect]:
    """Apply a suspect's record."""
    state.crashes.trials.seen(event.record, now)
    return []


def trial_removed(state: EdgeState, event: ev.TrialRemoved, now: float) -> list[Effect]:
    """Apply the removal of a suspect's record."""
    state.crashes.record_removed(event.fingerprint, event.revision)
    return []


def trials_listed(state: EdgeState, event: ev.TrialsListed, now: float) -> list[Effect]:
    """Apply the complete list of suspects' records."""
    state.crashes.records_listed(event.records, now)
    return []


def advance_trials(state: EdgeState, now: float) -> list[Effect]:
    """End finished trials, and return the due writes to the store."""
    trials = state.crashes.trials
    effects: list[Effect] = [
        decline_held(request, RETRY_AFTER_S) for request in trials.take_overdue(now)
    ]
    ended = state.crashes.advance_trials(state.fanout.queries, now)
    effects += [
        LogEvent(log.SuspectTried(trial.fingerprint, trial.outcome.value, trial.trials))
        for trial in ended
    ]
    return [*effects, *trials.take_due_writes(now)]
