"""The final answer of a query."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.codes import ResultCode
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.query.merge import merge_hits
from cactussaddle_core.query.sending import cancel_all
from cactussaddle_core.query.sending import send_first
from cactussaddle_core.query.state import QueryAnswer

if TYPE_CHECKING:
    from typing import Any

    from cactussaddle_core.query.state import Query
    from cactussaddle_core.query.state import QueryBook
    from cactussaddle_core.query.state import QueryEffect


RETRY_AFTER_S = 0.5
HELD = "this request crashed the leaves that ran it"
TOO_LATE = "the deadline passed"
HELD_RETRY_S = 60.0


def finish_if_settled(book: QueryBook, query: Query, now: float) -> list[QueryEffect]:
    """Answer a query with no pending calls; one whose first call was sent alone tries the next service first."""
    if query.outstanding > 0:
        return []
    effects = send_first(book, query, now) if query.alone else []
    return effects or finish(book, query, "")


def finish(book: QueryBook, query: Query, why: str) -> list[QueryEffect]:
    """Answer a query with the results received, and cancel its pending calls; `why` is sent to the caller."""
    if book.queries.pop(query.request.req_id, None) is None:
        return []
    effects = cancel_all(book, query)
    answered = sum(len(part.answered) for part in query.parts.values())
    of = sum(part.of for part in query.parts.values())
    require(answered <= of, Promise.TRUE_COVERAGE, f"{answered} of {of} shards answered")
    coverage = answered / of if of else 0.0
    code = _code(query, coverage, why)
    if code is ResultCode.HELD:
        query.retry_after_s = HELD_RETRY_S
    useful = code in (ResultCode.COMPLETE, ResultCode.PARTIAL)
    hits = _merged(query) if useful else []
    retry_after_s = 0.0 if useful else max(RETRY_AFTER_S, query.retry_after_s)
    effects.append(
        QueryAnswer(
            req_id=query.request.req_id,
            code=code,
            snapshot=query.snapshot,
            answered=answered,
            of=of,
            hits=hits,
            message=why,
            retry_after_s=retry_after_s,
        )
    )
    return effects


def _merged(query: Query) -> list[dict[str, Any]]:
    require(
        all(snapshot == query.snapshot for snapshot, _ in query.hits),
        Promise.ONE_SNAPSHOT,
        f"an answer from snapshot {query.snapshot} holds hits of another",
    )
    return merge_hits((hits for _, hits in query.hits), query.request.limit)


def _code(query: Query, coverage: float, why: str) -> ResultCode:
    if coverage >= 1.0:
        return ResultCode.COMPLETE
    if why == HELD:
        return ResultCode.HELD
    if coverage > 0.0 and coverage >= query.request.min_coverage:
        return ResultCode.PARTIAL
    if why == TOO_LATE:
        return ResultCode.DEADLINE_EXCEEDED
    if query.refused and not query.may_have_run and coverage <= 0.0:
        return ResultCode.OVERLOADED
    return ResultCode.INSUFFICIENT_COVERAGE
