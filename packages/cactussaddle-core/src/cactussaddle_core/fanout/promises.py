"""What must hold whenever a call is sent and a query is answered.

Each check goes by what is known now, apart from the decisions that led here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.fanout.model import NOT_RUN
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require

if TYPE_CHECKING:
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fanout.state import FanoutBook
    from cactussaddle_core.fanout.state import Query


def require_may_be_sent(book: FanoutBook, call: Call, now: float) -> None:
    """Assert that a call may go to its leaf; it is counted already."""
    part, leaf = call.part, call.leaf
    require(
        part.query.route.idempotent or part.runs <= 1,
        Promise.AT_MOST_ONCE,
        f"request {part.query.request.request_id} sent to {part.runs} leaves",
    )
    require(
        leaf.entry.domain not in book.fleet.domains_out,
        Promise.DOMAIN_OUT,
        f"call to {leaf.name} in {leaf.entry.domain}, which is out",
    )
    require(
        not leaf.entry.draining and now < leaf.unlisted_at,
        Promise.LEAF_LEAVING,
        f"call to {leaf.name}, which leaves",
    )
    require(
        not leaf.is_cold(now) or leaf.cold_meter.count(now) <= book.cold_calls(leaf),
        Promise.COLD_LIMIT,
        f"{leaf.cold_meter.count(now)} calls in a second to {leaf.name}, which is cold",
    )
    book.rollouts.require_may_send(part.service, leaf.entry.version, now)


def require_one_snapshot(query: Query) -> None:
    """Assert that the parts are those that one routing table names, each answered by its own."""
    require(
        sorted(part.service for part in query.parts) == sorted(query.route.shards),
        Promise.ONE_SNAPSHOT,
        f"request {query.request.request_id} has parts that table {query.table_version} has not",
    )
    signatures = [part.reply.signature for part in query.parts if part.reply is not None]
    require(
        len(set(signatures)) == len(signatures),
        Promise.TRUE_COVERAGE,
        f"request {query.request.request_id} counts an answer twice",
    )


def require_not_run(query: Query) -> None:
    """Assert that no call of a query that is said to have not run may have run."""
    ran = [
        call.leaf.name
        for part in query.parts
        for call in part.calls
        if call.left and call.ending not in NOT_RUN
    ]
    require(
        not ran,
        Promise.NOT_RUN,
        f"request {query.request.request_id} may have run at {', '.join(ran)}",
    )
