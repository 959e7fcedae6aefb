"""The query reducer: starts queries and handles the results of leaf calls and timers."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

from cactussaddle_core.calls import CERTAINLY_NOT_RUN
from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import decode_answer
from cactussaddle_core.hold import Verdict
from cactussaddle_core.query.finish import HELD
from cactussaddle_core.query.finish import TOO_LATE
from cactussaddle_core.query.finish import finish
from cactussaddle_core.query.finish import finish_if_settled
from cactussaddle_core.query.retry import after_crash
from cactussaddle_core.query.retry import first_was_refused
from cactussaddle_core.query.retry import hedge
from cactussaddle_core.query.retry import next_round
from cactussaddle_core.query.retry import retry
from cactussaddle_core.query.sending import ANSWER_MARGIN_S
from cactussaddle_core.query.sending import awaited
from cactussaddle_core.query.sending import cancel_all
from cactussaddle_core.query.sending import cancel_covered
from cactussaddle_core.query.sending import send_first
from cactussaddle_core.query.sending import send_to
from cactussaddle_core.query.snapshot import choose_snapshot
from cactussaddle_core.query.state import Part
from cactussaddle_core.query.state import Query

if TYPE_CHECKING:
    from cactussaddle_core.calls import LeafAnswer
    from cactussaddle_core.calls import LeafResult
    from cactussaddle_core.query.state import PendingCall
    from cactussaddle_core.query.state import QueryBook
    from cactussaddle_core.query.state import QueryEffect
    from cactussaddle_core.query.state import QueryRequest
    from cactussaddle_core.query.view import LeafView


MAX_RESTARTS = 2


def start_query(book: QueryBook, request: QueryRequest, now: float) -> list[QueryEffect]:
    """Start a query: choose its snapshot and send the first calls."""
    query = Query(request=request, started_at=now)
    book.queries[request.req_id] = query
    verdict = book.verdict(request.fingerprint, now)
    if verdict is Verdict.HOLD:
        return finish(book, query, HELD)
    query.alone = verdict in (Verdict.TRY_ALONE, Verdict.TRY_FIRST)
    query.suspect = verdict is Verdict.TRY_ALONE
    book.add_timer(query.deadline - ANSWER_MARGIN_S, request.req_id, 0)
    return _begin(book, query, now)


def take_result(book: QueryBook, result: LeafResult, now: float) -> list[QueryEffect]:
    """Handle the end of a leaf call; late and repeated results are dropped."""
    call = book.pending.pop(result.call_id, None)
    if call is None:
        return []
    call.part.pending.pop(call.call_id, None)
    call.query.outstanding -= 1
    route = call.query.request.route
    book.view.ended(call.leaf, route, result.outcome, now - call.sent_at, now)
    if result.snapshots:
        book.view.set_snapshots(call.leaf, "", result.snapshots)
    if result.outcome is CallOutcome.OK:
        return _take_answer(book, call, result, now)
    return _take_failure(book, call, result, now)


def tick(book: QueryBook, now: float) -> list[QueryEffect]:
    """Handle the timers that are due: hedges and deadlines."""
    effects: list[QueryEffect] = []
    while book.timers and book.timers[0][0] <= now:
        _, req_id, call_id = heapq.heappop(book.timers)
        query = book.queries.get(req_id)
        if query is None:
            continue
        if call_id == 0:
            effects += finish(book, query, TOO_LATE)
        elif call_id < 0:
            effects += next_round(book, query, -1 - call_id, now)
        else:
            effects += hedge(book, call_id, now)
    return effects


def caller_gone(book: QueryBook, req_id: int) -> list[QueryEffect]:
    """Cancel a query whose caller has closed its connection."""
    query = book.queries.pop(req_id, None)
    return [] if query is None else cancel_all(book, query)


def _begin(book: QueryBook, query: Query, now: float) -> list[QueryEffect]:
    usable = _usable(book, query)
    choice = choose_snapshot(book.view, query.request.services, usable)
    if choice is None:
        return finish(book, query, "no leaf of the route is known to hold a snapshot")
    query.snapshot = choice.snapshot
    query.hits = []
    query.parts = {
        service: Part(service=service, of=of) for service, of in choice.shards_of.items()
    }
    if query.alone:
        effects = send_first(book, query, now)
    else:
        effects = _send_missing(book, query, usable, now)
    if not book.queries.get(query.request.req_id) or effects:
        return effects
    return finish(book, query, "no leaf of the route can take work")


def _send_missing(
    book: QueryBook, query: Query, usable: dict[str, list[LeafView]], now: float
) -> list[QueryEffect]:
    effects: list[QueryEffect] = []
    for part in query.parts.values():
        leaves = book.eligible(part.service, usable[part.service], book.rng.random)
        sent = send_to(book, query, part, leaves, part.missing() - awaited(part), now)
        book.budget.first(len(sent))
        effects += sent
    return effects


def _usable(book: QueryBook, query: Query) -> dict[str, list[LeafView]]:
    """Return the leaves of each of the query's services that may get new calls."""
    by_service = book.view.by_service
    return {
        service: [leaf for leaf in by_service.get(service, ()) if book.usable(leaf)]
        for service in query.request.services
    }


def _take_answer(
    book: QueryBook, call: PendingCall, result: LeafResult, now: float
) -> list[QueryEffect]:
    answer = decode_answer(result.body)
    query = call.query
    if answer is None or not _fits(query, call, answer):
        return retry(book, call, now)
    part = call.part
    new = set(answer.shards) - part.answered
    if new:
        part.answered |= new
        query.hits.append((answer.snapshot, answer.hits))
    effects = cancel_covered(book, part)
    if query.alone:
        effects += _send_rest(book, query, now)
    return effects + finish_if_settled(book, query, now)


def _send_rest(book: QueryBook, query: Query, now: float) -> list[QueryEffect]:
    """Send the remaining calls, after the first call has not crashed its leaf."""
    query.alone = False
    for part in query.parts.values():
        part.tried.clear()
    return _send_missing(book, query, _usable(book, query), now)


def _fits(query: Query, call: PendingCall, answer: LeafAnswer) -> bool:
    return (
        answer.snapshot == query.snapshot
        and answer.of == call.part.of
        and answer.leaf == call.leaf
        and all(0 <= shard < answer.of for shard in answer.shards)
    )


def _take_failure(
    book: QueryBook, call: PendingCall, result: LeafResult, now: float
) -> list[QueryEffect]:
    query = call.query
    if result.outcome not in CERTAINLY_NOT_RUN:
        query.may_have_run = True
    query.retry_after_s = max(query.retry_after_s, result.retry_after_ms / 1000.0)
    if result.outcome in (CallOutcome.SHED, CallOutcome.QUEUE_FULL):
        query.refused = True
    if result.outcome is CallOutcome.HELD:
        return finish(book, query, HELD)
    if result.outcome is CallOutcome.RESET:
        return after_crash(book, call, now)
    if result.outcome is CallOutcome.WRONG_SNAPSHOT and _worth_restart(book, query):
        query.restarts += 1
        effects = cancel_all(book, query)
        query.outstanding = 0
        return effects + _begin(book, query, now)
    if query.alone and result.outcome is CallOutcome.FAILED:
        return _send_rest(book, query, now) + finish_if_settled(book, query, now)
    full = result.outcome in (CallOutcome.SHED, CallOutcome.QUEUE_FULL)
    if full and query.alone and not query.suspect:
        return first_was_refused(book, call, result.outcome, now)
    return retry(book, call, now, result.outcome)


def _worth_restart(book: QueryBook, query: Query) -> bool:
    if query.restarts >= MAX_RESTARTS:
        return False
    choice = choose_snapshot(book.view, query.request.services, _usable(book, query))
    return choice is not None and choice.snapshot != query.snapshot
