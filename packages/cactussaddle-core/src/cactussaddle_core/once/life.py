"""The transitions of one attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.once.book import Phase
from cactussaddle_core.once.effects import Answer
from cactussaddle_core.once.effects import AskPeer
from cactussaddle_core.once.effects import Dispatch
from cactussaddle_core.once.events import AttemptState

if TYPE_CHECKING:
    from cactussaddle_core.once.book import Attempt
    from cactussaddle_core.once.book import OnceBook
    from cactussaddle_core.once.book import Waiter
    from cactussaddle_core.once.effects import Effect
    from cactussaddle_core.once.record import AttemptId

INTENT_TTL_S = 5.0
ASK_TIMEOUT_S = 1.0
LATE_ANSWER_S = 30.0
STORE_RETRY_S = 2.0
IN_PROGRESS_RETRY_S = 1.0

_CODE_OF_STATE = {
    AttemptState.RUNNING: ResultCode.IN_PROGRESS,
    AttemptState.DONE: ResultCode.RECORDED,
    AttemptState.UNKNOWN: ResultCode.OUTCOME_UNKNOWN,
    AttemptState.GONE: ResultCode.OUTCOME_UNKNOWN,
    AttemptState.UNREACHABLE: ResultCode.OUTCOME_UNKNOWN,
}


def may_dispatch(attempt: Attempt, now: float) -> bool:
    """Return whether the attempt is recent enough to be sent to a leaf."""
    return now < attempt.deadline and now - attempt.created <= INTENT_TTL_S


def start(state: OnceBook, attempt: Attempt, now: float, effects: list[Effect]) -> None:
    """Dispatch an attempt whose intent is stored, or abandon it permanently."""
    if may_dispatch(attempt, now):
        dispatch(attempt, effects)
    else:
        close_not_run(state, attempt, 0.0, effects)


def dispatch(attempt: Attempt, effects: list[Effect]) -> None:
    """Send the attempt to a leaf."""
    name = attempt.id.text()
    require(attempt.revision > 0, Promise.AT_MOST_ONCE, f"{name} dispatched without an intent")
    require(not attempt.in_flight, Promise.AT_MOST_ONCE, f"{name} dispatched while in flight")
    require(
        attempt.phase in (Phase.WRITING, Phase.RUNNING),
        Promise.AT_MOST_ONCE,
        f"{name} dispatched while {attempt.phase.name}",
    )
    attempt.phase = Phase.RUNNING
    attempt.try_no += 1
    attempt.in_flight = True
    req_id = attempt.waiters[0].req_id if attempt.waiters else ""
    effects.append(Dispatch(req_id, attempt.key, name, attempt.try_no, attempt.deadline))


def ask(state: OnceBook, attempt: Attempt, other: AttemptId, now: float) -> AskPeer:
    """Wait for the state of another node's attempt, as reported by that node."""
    attempt.phase = Phase.ASKING
    attempt.asked_attempt = other.text()
    attempt.ask_until = now + ASK_TIMEOUT_S
    state.set_timer(attempt.id.seq, attempt.ask_until)
    return AskPeer(attempt.id.text(), other.node, other.incarnation, other.text())


def on_attempt_state(
    state: OnceBook,
    attempt: Attempt,
    status: AttemptState,
    answer: bytes,
    effects: list[Effect],
) -> None:
    """Continue according to the state of the other attempt that holds the key."""
    if status is AttemptState.NEVER:
        attempt.phase = Phase.WRITING
        attempt.expect_revision = attempt.asked_revision
        state.intents.queue.append(attempt.id.seq)
        return
    if status is AttemptState.DONE:
        attempt.answer = answer
        state.remember(attempt)
    retry = IN_PROGRESS_RETRY_S if status is AttemptState.RUNNING else 0.0
    code = _CODE_OF_STATE[status]
    finish(attempt, code, effects, answer=attempt.answer, retry_after_s=retry)
    drop(state, attempt)


def local_state(state: OnceBook, seq: int) -> AttemptState:
    """Return the state of an attempt of this incarnation.

    An attempt that is not known was abandoned before dispatch, or its outcome is in the store, so that
    a write conditional on its intent fails.
    """
    attempt = state.attempts.get(seq)
    if attempt is None:
        return AttemptState.NEVER if seq < state.next_seq else AttemptState.UNKNOWN
    if attempt.phase is Phase.NOT_RUN:
        return AttemptState.NEVER
    if attempt.phase is Phase.DONE:
        return AttemptState.DONE
    if attempt.phase is Phase.UNKNOWN:
        return AttemptState.UNKNOWN
    return AttemptState.RUNNING


def close_not_run(
    state: OnceBook, attempt: Attempt, retry_after_s: float, effects: list[Effect]
) -> None:
    """Abandon an attempt that certainly did not run, and record this."""
    require(not attempt.in_flight, Promise.NOT_RUN, f"{attempt.id.text()} is at a leaf")
    attempt.phase = Phase.NOT_RUN
    attempt.recorded = False
    if state.by_key.get(attempt.key) == attempt.id.seq:
        del state.by_key[attempt.key]
    state.outcomes.queue.append(attempt.id.seq)
    for waiter in attempt.waiters:
        code = ResultCode.NOT_RUN
        effects.append(Answer(waiter.req_id, code, retry_after_s=retry_after_s))
    attempt.waiters.clear()


def close_unknown(state: OnceBook, attempt: Attempt, now: float, effects: list[Effect]) -> None:
    """Report to the callers that the outcome is unknown, and record this."""
    attempt.phase = Phase.UNKNOWN
    attempt.recorded = False
    state.outcomes.queue.append(attempt.id.seq)
    state.set_timer(attempt.id.seq, max(now, attempt.forget_at))
    finish(attempt, ResultCode.OUTCOME_UNKNOWN, effects)


def finish(
    attempt: Attempt,
    code: ResultCode,
    effects: list[Effect],
    *,
    answer: bytes = b"",
    retry_after_s: float = 0.0,
) -> None:
    """Answer all requests that wait for the attempt."""
    for waiter in attempt.waiters:
        if code is ResultCode.NOT_RUN:
            repeat = waiter.repeat or attempt.seen_other
            effects.append(refusal(waiter._replace(repeat=repeat), code, retry_after_s))
        elif code is ResultCode.COMPLETE and not waiter.first:
            effects.append(Answer(waiter.req_id, ResultCode.RECORDED, answer))
        else:
            effects.append(Answer(waiter.req_id, code, answer, retry_after_s))
    attempt.waiters.clear()


def refusal(waiter: Waiter, code: ResultCode, retry_after_s: float) -> Answer:
    """Refuse a request that did not run.

    A repeat is not answered with "not run", since an earlier request with its key may have run.
    """
    if waiter.repeat:
        code = ResultCode.OUTCOME_UNKNOWN
    return Answer(waiter.req_id, code, retry_after_s=retry_after_s)


def drop(state: OnceBook, attempt: Attempt) -> None:
    """Remove an attempt that is answered and either recorded or never dispatched."""
    require(not attempt.waiters, Promise.OWN_ANSWER, f"{attempt.id.text()} left unanswered")
    state.attempts.pop(attempt.id.seq, None)
    if state.by_key.get(attempt.key) == attempt.id.seq:
        del state.by_key[attempt.key]
