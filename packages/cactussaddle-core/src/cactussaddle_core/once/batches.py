"""Group commit: intents and outcomes are written in batches, and the store's results are applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.once.book import MAX_BATCH
from cactussaddle_core.once.book import STORE_TIMEOUT_S
from cactussaddle_core.once.book import Phase
from cactussaddle_core.once.effects import RecordWrite
from cactussaddle_core.once.effects import WriteIntents
from cactussaddle_core.once.effects import WriteOutcomes
from cactussaddle_core.once.events import AttemptState
from cactussaddle_core.once.events import StoreStatus
from cactussaddle_core.once.life import STORE_RETRY_S
from cactussaddle_core.once.life import ask
from cactussaddle_core.once.life import drop
from cactussaddle_core.once.life import finish
from cactussaddle_core.once.life import local_state
from cactussaddle_core.once.life import on_attempt_state
from cactussaddle_core.once.life import start
from cactussaddle_core.once.record import Record
from cactussaddle_core.once.record import RecordError
from cactussaddle_core.once.record import RecordState
from cactussaddle_core.once.record import bounded
from cactussaddle_core.once.record import decode_record
from cactussaddle_core.once.record import digest_of
from cactussaddle_core.once.record import encode_record
from cactussaddle_core.once.record import parse_attempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.once.book import Attempt
    from cactussaddle_core.once.book import Lane
    from cactussaddle_core.once.book import OnceBook
    from cactussaddle_core.once.effects import Effect
    from cactussaddle_core.once.events import IntentsWritten
    from cactussaddle_core.once.events import OutcomesWritten
    from cactussaddle_core.once.events import WriteResult

INTENT_RETRY_S = 0.2
OUTCOME_RETRY_S = 0.5

_STATE_OF_PHASE = {
    Phase.DONE: RecordState.DONE,
    Phase.NOT_RUN: RecordState.NOT_RUN,
    Phase.UNKNOWN: RecordState.UNKNOWN,
}


def flush(state: OnceBook, now: float, effects: list[Effect]) -> None:
    """Send the batches that are due; a report that is overdue counts as lost."""
    _expire(state, state.intents, INTENT_RETRY_S, now)
    _expire(state, state.outcomes, OUTCOME_RETRY_S, now)
    writes = _take(state, state.intents, _intent_write, now)
    if writes:
        effects.append(WriteIntents(state.intents.batch_id, writes))
    writes = _take(state, state.outcomes, _outcome_write, now)
    if writes:
        effects.append(WriteOutcomes(state.outcomes.batch_id, writes))


def on_intents_written(
    state: OnceBook, event: IntentsWritten, now: float, effects: list[Effect]
) -> None:
    """Apply the result of a batch of intents."""
    batch = _take_report(state.intents, event.batch_id)
    if not batch:
        return
    if event.status is StoreStatus.LOST:
        state.intents.queue.extendleft(reversed(batch))
        state.intents.next_at = now + INTENT_RETRY_S
    elif event.status is StoreStatus.UNAVAILABLE:
        for seq in batch:
            _on_store_unavailable(state, seq, effects)
    else:
        for seq, result in zip(batch, event.results, strict=True):
            _on_intent_result(state, seq, result, now, effects)


def on_outcomes_written(state: OnceBook, event: OutcomesWritten, now: float) -> None:
    """Apply the result of a batch of outcomes."""
    batch = _take_report(state.outcomes, event.batch_id)
    if not batch:
        return
    if event.status is not StoreStatus.OK:
        state.outcomes.queue.extendleft(reversed(batch))
        state.outcomes.next_at = now + OUTCOME_RETRY_S
        return
    for seq, result in zip(batch, event.results, strict=True):
        attempt = state.attempts.get(seq)
        if attempt is not None:
            _on_outcome_result(state, attempt, result, now)


def _take_report(lane: Lane, batch_id: int) -> tuple[int, ...]:
    """Return the attempts of the batch that a report belongs to; none if the batch is unknown."""
    if batch_id != lane.batch_id:
        return ()
    batch = lane.batch
    lane.batch = ()
    return batch


def _expire(state: OnceBook, lane: Lane, retry_s: float, now: float) -> None:
    if lane.batch and now >= lane.sent_at + STORE_TIMEOUT_S:
        lane.queue.extendleft(reversed(_take_report(lane, lane.batch_id)))
        lane.next_at = now + retry_s


def _take(
    state: OnceBook,
    lane: Lane,
    write_of: Callable[[Attempt], RecordWrite | None],
    now: float,
) -> tuple[RecordWrite, ...]:
    """Start the next batch if one is due; it contains each key at most once."""
    if lane.batch or now < lane.next_at:
        return ()
    writes: dict[str, RecordWrite] = {}
    batch: list[int] = []
    later: list[int] = []
    while lane.queue and len(batch) < MAX_BATCH:
        seq = lane.queue.popleft()
        attempt = state.attempts.get(seq)
        write = write_of(attempt) if attempt is not None else None
        if write is None:
            continue
        if write.key in writes:
            later.append(seq)
            continue
        writes[write.key] = write
        batch.append(seq)
    lane.queue.extendleft(reversed(later))
    if batch:
        lane.batch = tuple(batch)
        lane.batch_id += 1
        lane.sent_at = now
        lane.next_at = now + lane.interval_s
    return tuple(writes.values())


def _intent_write(attempt: Attempt) -> RecordWrite | None:
    if attempt.phase is not Phase.WRITING:
        return None
    value = encode_record(_record(attempt, RecordState.INTENT, b""))
    return RecordWrite(attempt.key, attempt.expect_revision, value)


def _outcome_write(attempt: Attempt) -> RecordWrite | None:
    attempt.sent_phase = attempt.phase
    value = encode_record(_record(attempt, _STATE_OF_PHASE[attempt.phase], attempt.answer))
    return RecordWrite(attempt.key, attempt.revision, value)


def _record(attempt: Attempt, state: RecordState, answer: bytes) -> Record:
    return Record(
        attempt=attempt.id.text(),
        fingerprint=attempt.fingerprint,
        state=state,
        at=attempt.wall,
        answer=bounded(answer),
        digest=digest_of(answer) if answer else "",
    )


def _on_store_unavailable(state: OnceBook, seq: int, effects: list[Effect]) -> None:
    attempt = state.attempts.get(seq)
    if attempt is not None and attempt.phase is Phase.WRITING:
        finish(attempt, ResultCode.NOT_RUN, effects, retry_after_s=STORE_RETRY_S)
        drop(state, attempt)


def _on_intent_result(
    state: OnceBook, seq: int, result: WriteResult, now: float, effects: list[Effect]
) -> None:
    attempt = state.attempts.get(seq)
    if attempt is None or attempt.phase is not Phase.WRITING:
        return
    if result.written:
        attempt.revision = result.revision
        start(state, attempt, now, effects)
    elif not result.record:
        attempt.expect_revision = 0
        state.intents.queue.append(seq)
    else:
        _on_standing_record(state, attempt, result, now, effects)


def _on_standing_record(
    state: OnceBook, attempt: Attempt, result: WriteResult, now: float, effects: list[Effect]
) -> None:
    """Continue according to the record that exists in place of the intent."""
    try:
        record = decode_record(result.record)
        holder = parse_attempt(record["attempt"])
    except RecordError:
        finish(attempt, ResultCode.OUTCOME_UNKNOWN, effects)
        drop(state, attempt)
        return
    if holder == attempt.id:
        attempt.revision = result.revision
        start(state, attempt, now, effects)
        return
    attempt.seen_other = True
    attempt.asked_revision = result.revision
    if record["fingerprint"] != attempt.fingerprint:
        finish(attempt, ResultCode.BAD_REQUEST, effects)
        drop(state, attempt)
    elif record["state"] is RecordState.NOT_RUN:
        on_attempt_state(state, attempt, AttemptState.NEVER, b"", effects)
    elif record["state"] is RecordState.DONE:
        on_attempt_state(state, attempt, AttemptState.DONE, record["answer"], effects)
    elif record["state"] is RecordState.UNKNOWN:
        on_attempt_state(state, attempt, AttemptState.UNKNOWN, b"", effects)
    elif holder.node != state.node:
        effects.append(ask(state, attempt, holder, now))
    elif holder.incarnation != state.incarnation:
        on_attempt_state(state, attempt, AttemptState.GONE, b"", effects)
    else:
        status = local_state(state, holder.seq)
        on_attempt_state(state, attempt, status, b"", effects)


def _on_outcome_result(state: OnceBook, attempt: Attempt, result: WriteResult, now: float) -> None:
    if not result.written and not _is_ours(attempt, result):
        require(
            attempt.phase is Phase.NOT_RUN or not result.record,
            Promise.AT_MOST_ONCE,
            f"{attempt.id.text()} ran and its record was replaced",
        )
        _settle(state, attempt, now)
        return
    attempt.revision = result.revision
    stands = attempt.sent_phase if result.written else _phase_of(result)
    if stands is attempt.phase:
        _settle(state, attempt, now)
    else:
        state.outcomes.queue.append(attempt.id.seq)


def _settle(state: OnceBook, attempt: Attempt, now: float) -> None:
    attempt.recorded = True
    late = attempt.phase is Phase.UNKNOWN and attempt.in_flight and now < attempt.forget_at
    if not late:
        drop(state, attempt)


def _is_ours(attempt: Attempt, result: WriteResult) -> bool:
    return bool(result.record) and decode_record(result.record)["attempt"] == attempt.id.text()


def _phase_of(result: WriteResult) -> Phase | None:
    state = decode_record(result.record)["state"]
    for phase, record_state in _STATE_OF_PHASE.items():
        if record_state is state:
            return phase
    return None
