"""The reducer for requests that run at most once.

Three rules prevent a key from running twice:

- nothing is dispatched before the attempt's own intent is known to be in the store, which creates it
  only if there is none, or in place of one revision of a record that certainly did not run;
- only the incarnation that made an attempt reports it as never run, after it has abandoned it; that
  incarnation then never dispatches it;
- an attempt of an incarnation that has ended stays unknown permanently.
"""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.once.batches import flush
from cactussaddle_core.once.batches import on_intents_written
from cactussaddle_core.once.batches import on_outcomes_written
from cactussaddle_core.once.book import MAX_ATTEMPTS
from cactussaddle_core.once.book import Attempt
from cactussaddle_core.once.book import Phase
from cactussaddle_core.once.book import Waiter
from cactussaddle_core.once.effects import Answer
from cactussaddle_core.once.effects import ReplyAttempt
from cactussaddle_core.once.events import AttemptAsked
from cactussaddle_core.once.events import AttemptState
from cactussaddle_core.once.events import IntentsWritten
from cactussaddle_core.once.events import LeafAnswered
from cactussaddle_core.once.events import LeafOutcome
from cactussaddle_core.once.events import OutcomesWritten
from cactussaddle_core.once.events import PeerAttemptReply
from cactussaddle_core.once.events import Submitted
from cactussaddle_core.once.life import LATE_ANSWER_S
from cactussaddle_core.once.life import close_not_run
from cactussaddle_core.once.life import close_unknown
from cactussaddle_core.once.life import dispatch
from cactussaddle_core.once.life import drop
from cactussaddle_core.once.life import finish
from cactussaddle_core.once.life import local_state
from cactussaddle_core.once.life import may_dispatch
from cactussaddle_core.once.life import on_attempt_state
from cactussaddle_core.once.life import refusal
from cactussaddle_core.once.record import AttemptId
from cactussaddle_core.once.record import parse_attempt

if TYPE_CHECKING:
    from cactussaddle_core.once.book import OnceBook
    from cactussaddle_core.once.effects import Effect
    from cactussaddle_core.once.events import Event

MAX_TRIES = 3
OVERLOAD_RETRY_S = 1.0


def reduce(state: OnceBook, event: Event, now: float) -> list[Effect]:
    """Handle one event; return the effects in the order in which they must be carried out."""
    effects: list[Effect] = []
    match event:
        case Submitted():
            _on_submitted(state, event, now, effects)
        case IntentsWritten():
            on_intents_written(state, event, now, effects)
        case OutcomesWritten():
            on_outcomes_written(state, event, now)
        case LeafAnswered():
            _on_leaf_answered(state, event, now, effects)
        case AttemptAsked():
            _on_attempt_asked(state, event, effects)
        case PeerAttemptReply():
            _on_peer_reply(state, event, now, effects)
        case _:
            pass
    _run_timers(state, now, effects)
    flush(state, now, effects)
    return effects


def _on_submitted(state: OnceBook, event: Submitted, now: float, effects: list[Effect]) -> None:
    finished = state.recent.get(event.key)
    if finished is not None:
        same = finished.fingerprint == event.fingerprint
        code = ResultCode.RECORDED if same else ResultCode.BAD_REQUEST
        effects.append(Answer(event.req_id, code, finished.answer if same else b""))
        return
    waiter = Waiter(event.req_id, event.deadline, False, event.repeat)
    seq = state.by_key.get(event.key)
    if seq is not None:
        _join(state, state.attempts[seq], waiter, event.fingerprint, effects)
        return
    if now >= event.deadline:
        effects.append(refusal(waiter, ResultCode.NOT_RUN, 0.0))
        return
    if len(state.attempts) >= MAX_ATTEMPTS:
        effects.append(refusal(waiter, ResultCode.OVERLOADED, OVERLOAD_RETRY_S))
        return
    _begin(state, event, now)


def _begin(state: OnceBook, event: Submitted, now: float) -> None:
    attempt_id = AttemptId(state.node, state.incarnation, state.next_seq)
    state.next_seq += 1
    attempt = Attempt(
        id=attempt_id,
        key=event.key,
        fingerprint=event.fingerprint,
        deadline=event.deadline,
        created=now,
        wall=event.wall,
    )
    attempt.waiters.append(Waiter(event.req_id, event.deadline, True, event.repeat))
    state.attempts[attempt_id.seq] = attempt
    state.by_key[event.key] = attempt_id.seq
    state.intents.queue.append(attempt_id.seq)
    state.set_timer(attempt_id.seq, event.deadline)


def _join(
    state: OnceBook, attempt: Attempt, waiter: Waiter, fingerprint: str, effects: list[Effect]
) -> None:
    """Have another request with the same key wait for the attempt in progress."""
    if attempt.fingerprint != fingerprint:
        effects.append(Answer(waiter.req_id, ResultCode.BAD_REQUEST))
    elif attempt.phase is Phase.DONE:
        effects.append(Answer(waiter.req_id, ResultCode.RECORDED, attempt.answer))
    elif attempt.phase is Phase.UNKNOWN:
        effects.append(Answer(waiter.req_id, ResultCode.OUTCOME_UNKNOWN))
    else:
        attempt.waiters.append(waiter)
        state.set_timer(attempt.id.seq, waiter.deadline)


def _on_leaf_answered(
    state: OnceBook, event: LeafAnswered, now: float, effects: list[Effect]
) -> None:
    attempt = _own_attempt(state, event.attempt)
    if attempt is None or not attempt.in_flight or attempt.try_no != event.try_no:
        return
    require(
        attempt.phase in (Phase.RUNNING, Phase.UNKNOWN),
        Promise.AT_MOST_ONCE,
        f"{event.attempt} answered while {attempt.phase.name}",
    )
    attempt.in_flight = False
    if event.outcome is LeafOutcome.OK:
        _close_done(state, attempt, event.answer, effects)
    elif event.outcome is LeafOutcome.NOT_RUN:
        _on_leaf_refused(state, attempt, event, now, effects)
    elif attempt.phase is Phase.RUNNING:
        close_unknown(state, attempt, now, effects)
    elif attempt.recorded:
        drop(state, attempt)


def _on_leaf_refused(
    state: OnceBook, attempt: Attempt, event: LeafAnswered, now: float, effects: list[Effect]
) -> None:
    running = attempt.phase is Phase.RUNNING
    if running and attempt.try_no < MAX_TRIES and may_dispatch(attempt, now):
        dispatch(attempt, effects)
        return
    close_not_run(state, attempt, event.retry_after_s, effects)


def _close_done(state: OnceBook, attempt: Attempt, answer: bytes, effects: list[Effect]) -> None:
    attempt.phase = Phase.DONE
    attempt.answer = answer
    attempt.recorded = False
    state.remember(attempt)
    state.outcomes.queue.append(attempt.id.seq)
    finish(attempt, ResultCode.COMPLETE, effects, answer=answer)


def _on_attempt_asked(state: OnceBook, event: AttemptAsked, effects: list[Effect]) -> None:
    asked = parse_attempt(event.attempt)
    answer = b""
    if (asked.node, asked.incarnation) != (state.node, state.incarnation):
        status = AttemptState.GONE if asked.node == state.node else AttemptState.UNREACHABLE
    else:
        status = local_state(state, asked.seq)
    if status is AttemptState.DONE:
        answer = state.attempts[asked.seq].answer
    effects.append(ReplyAttempt(event.peer, event.ask_id, event.attempt, status, answer))


def _on_peer_reply(
    state: OnceBook, event: PeerAttemptReply, now: float, effects: list[Effect]
) -> None:
    attempt = _own_attempt(state, event.ask_id)
    if attempt is None or attempt.phase is not Phase.ASKING:
        return
    if attempt.asked_attempt != event.attempt:
        return
    on_attempt_state(state, attempt, event.state, event.answer, effects)


def _own_attempt(state: OnceBook, text: str) -> Attempt | None:
    attempt_id = parse_attempt(text)
    if (attempt_id.node, attempt_id.incarnation) != (state.node, state.incarnation):
        return None
    return state.attempts.get(attempt_id.seq)


def _run_timers(state: OnceBook, now: float, effects: list[Effect]) -> None:
    while state.timers and state.timers[0][0] <= now:
        _, seq = heapq.heappop(state.timers)
        attempt = state.attempts.get(seq)
        if attempt is not None:
            _on_timer(state, attempt, now, effects)


def _on_timer(state: OnceBook, attempt: Attempt, now: float, effects: list[Effect]) -> None:
    if attempt.phase is Phase.UNKNOWN:
        if attempt.recorded and now >= attempt.forget_at:
            drop(state, attempt)
        return
    if now >= attempt.deadline:
        _on_deadline(state, attempt, now, effects)
        return
    if attempt.phase is Phase.ASKING and now >= attempt.ask_until:
        on_attempt_state(state, attempt, AttemptState.UNREACHABLE, b"", effects)
        return
    for waiter in [w for w in attempt.waiters if now >= w.deadline]:
        attempt.waiters.remove(waiter)
        effects.append(Answer(waiter.req_id, ResultCode.IN_PROGRESS))


def _on_deadline(state: OnceBook, attempt: Attempt, now: float, effects: list[Effect]) -> None:
    if attempt.phase is Phase.RUNNING:
        attempt.forget_at = now + LATE_ANSWER_S
        close_unknown(state, attempt, now, effects)
    elif attempt.phase is Phase.WRITING:
        finish(attempt, ResultCode.NOT_RUN, effects)
        drop(state, attempt)
    elif attempt.phase is Phase.ASKING:
        on_attempt_state(state, attempt, AttemptState.UNREACHABLE, b"", effects)
