"""Additional calls of a query: retries, rounds, hedges, and calls after a crash."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.calls import NEVER_SENT
from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.hold import Verdict
from cactussaddle_core.query.finish import HELD
from cactussaddle_core.query.finish import finish
from cactussaddle_core.query.finish import finish_if_settled
from cactussaddle_core.query.sending import ANSWER_MARGIN_S
from cactussaddle_core.query.sending import MAX_RESETS
from cactussaddle_core.query.sending import awaited
from cactussaddle_core.query.sending import cancel_others
from cactussaddle_core.query.sending import send
from cactussaddle_core.query.sending import send_first

if TYPE_CHECKING:
    from cactussaddle_core.query.state import Part
    from cactussaddle_core.query.state import PendingCall
    from cactussaddle_core.query.state import Query
    from cactussaddle_core.query.state import QueryBook
    from cactussaddle_core.query.state import QueryEffect


MAX_ROUNDS = 3
# Pause before the second round; each later one is twice as long.
ROUND_PAUSE_S = 0.05
# How long a first call may be tried at full queues before its query is refused.
FIRST_REFUSED_S = 0.05


def retry(
    book: QueryBook, call: PendingCall, now: float, outcome: CallOutcome | None = None
) -> list[QueryEffect]:
    """Try another leaf, or all leaves of the service again after a pause.

    `outcome` is the result of the call, or None if its answer could not be used.
    """
    query, part = call.query, call.part
    never_sent = outcome in NEVER_SENT
    if never_sent and call.extra:
        book.budget.give_back()
    wanted = (call.shards & part.missing()) - awaited(part)
    free = never_sent and not call.extra
    if wanted and (free or book.budget.take_retry()):
        full = outcome in (CallOutcome.SHED, CallOutcome.QUEUE_FULL)
        effects = send(book, query, part, wanted, now, any_version=full, extra=not free)
        if not effects and query.alone:
            effects = send_first(book, query, now)
        if effects:
            return effects
        if not free:
            book.budget.give_back()
        if outcome is CallOutcome.QUEUE_FULL and not _has_begun(query):
            return finish(book, query, "")
        if outcome is not CallOutcome.SHED:
            _wait_a_round(book, query, part, now, outcome)
    return finish_if_settled(book, query, now)


def first_was_refused(
    book: QueryBook, call: PendingCall, outcome: CallOutcome, now: float
) -> list[QueryEffect]:
    """Try another service or leaf for a short time, then refuse the query."""
    query = call.query
    if query.outstanding > 0:
        if call.extra and outcome in NEVER_SENT:
            book.budget.give_back()
        return []
    if now - query.started_at > FIRST_REFUSED_S:
        return finish(book, query, "")
    return send_first(book, query, now) or retry(book, call, now, outcome)


def after_crash(book: QueryBook, call: PendingCall, now: float) -> list[QueryEffect]:
    """Retry a request that may have crashed a leaf, with one call at a time, unless it is held.

    Other calls of the service are awaited first: if one of them has crashed its leaf too, the request
    must not be tried a third time, even before this node learns that it is held.
    """
    query, part = call.query, call.part
    part.resets += 1
    verdict = book.verdict(query.request.fingerprint, now)
    if verdict is Verdict.HOLD:
        return finish(book, query, HELD)
    effects: list[QueryEffect] = []
    query.suspect = verdict is Verdict.TRY_ALONE
    if query.suspect and not query.alone:
        query.alone = True
        effects = cancel_others(book, query, part)
    if part.resets >= MAX_RESETS:
        return effects + finish_if_settled(book, query, now)
    return effects + retry(book, call, now)


def hedge(book: QueryBook, call_id: int, now: float) -> list[QueryEffect]:
    """Send a second call to another leaf for one that is still pending."""
    call = book.pending.get(call_id)
    if call is None or call.hedged or (call.query.alone and call.query.suspect):
        return []
    wanted = call.shards & call.part.missing()
    if not wanted or len(call.part.pending) > 1 or not book.budget.take_hedge():
        return []
    call.hedged = True
    effects = send(book, call.query, call.part, wanted, now, extra=True)
    if not effects:
        book.budget.give_back()
    return effects


def next_round(book: QueryBook, query: Query, number: int, now: float) -> list[QueryEffect]:
    """Try every leaf of a service again, after a pause for leaves that are changing state."""
    parts = list(query.parts.values())
    if number >= len(parts) or not parts[number].waits:
        return []
    part = parts[number]
    part.waits = False
    query.outstanding -= 1
    part.tried.clear()
    effects = send(book, query, part, part.missing() - awaited(part), now)
    return effects or finish_if_settled(book, query, now)


def _has_begun(query: Query) -> bool:
    """Return whether a leaf has answered the query or may be running it."""
    return any(part.answered or part.pending for part in query.parts.values())


def _wait_a_round(
    book: QueryBook, query: Query, part: Part, now: float, outcome: CallOutcome | None
) -> None:
    """Schedule another round over all leaves of a service, after a pause that fits in the deadline.

    Full queues soon have room, so only the deadline ends these rounds.
    """
    due = now + ROUND_PAUSE_S * 2 ** (part.rounds - 1)
    ended = part.rounds >= MAX_ROUNDS and outcome is not CallOutcome.QUEUE_FULL
    if part.waits or ended or due >= query.deadline - ANSWER_MARGIN_S:
        return
    part.rounds += 1
    part.waits = True
    query.outstanding += 1
    number = list(query.parts).index(part.service)
    book.add_timer(due, query.request.req_id, -1 - number)
