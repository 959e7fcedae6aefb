"""Sending and cancelling of a query's leaf calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.calls import LeafCall
from cactussaddle_core.hold import trial_leaf
from cactussaddle_core.query.choose import cover
from cactussaddle_core.query.state import PendingCall
from cactussaddle_core.query.state import SendCall
from cactussaddle_core.query.state import SendCancel

if TYPE_CHECKING:
    from collections.abc import Collection

    from cactussaddle_core.query.state import Part
    from cactussaddle_core.query.state import Query
    from cactussaddle_core.query.state import QueryBook
    from cactussaddle_core.query.state import QueryEffect
    from cactussaddle_core.query.view import LeafView


# Part of the deadline that is reserved for the merge and the way back to the caller.
ANSWER_MARGIN_S = 0.004
# After this many reset calls a query is sent to no further leaf.
MAX_RESETS = 2


def send(
    book: QueryBook,
    query: Query,
    part: Part,
    wanted: Collection[int],
    now: float,
    *,
    any_version: bool = False,
    extra: bool = False,
) -> list[QueryEffect]:
    """Send calls for the wanted shards; `extra` is set if one was charged to the budget."""
    leaves = [
        leaf
        for leaf in book.view.by_service.get(part.service, ())
        if leaf.name not in part.tried and book.usable(leaf)
    ]
    if not any_version:
        leaves = book.eligible(part.service, leaves, book.rng.random)
    if query.alone and query.suspect:
        leaves = _trial_leaves(query, leaves, wanted)
    return send_to(book, query, part, leaves, wanted, now, extra=extra)


def send_first(book: QueryBook, query: Query, now: float) -> list[QueryEffect]:
    """Send one call of the next service that has had none; its result decides on all others.

    A query that has reset `MAX_RESETS` calls gets no further one.
    """
    if sum(part.resets for part in query.parts.values()) >= MAX_RESETS:
        return []
    for part in query.parts.values():
        if part.tried:
            continue
        sent = send(book, query, part, {min(part.missing())}, now)
        book.budget.first(len(sent))
        if sent:
            return sent
    return []


def _trial_leaves(query: Query, leaves: list[LeafView], wanted: Collection[int]) -> list[LeafView]:
    """Return only the leaf that every node tries, so that a request sent through several nodes crashes one."""
    holders = {
        leaf.name: leaf
        for leaf in leaves
        if query.snapshot in leaf.snapshots
        and leaf.snapshots[query.snapshot].shards.intersection(wanted)
    }
    if not holders:
        return []
    return [holders[trial_leaf(str(query.request.fingerprint), holders)]]


def send_to(
    book: QueryBook,
    query: Query,
    part: Part,
    leaves: list[LeafView],
    wanted: Collection[int],
    now: float,
    *,
    extra: bool = False,
) -> list[QueryEffect]:
    """Send calls for the wanted shards to some of the given leaves; `extra` as for `send`."""
    effects: list[QueryEffect] = []
    picked = cover(leaves, query.snapshot, wanted, book.policy.choose, now, book.rng.random)
    for leaf, shards in picked:
        effects.append(_send_one(book, query, part, leaf.name, shards, now, extra=extra))
        extra = False
    return effects


def _send_one(
    book: QueryBook,
    query: Query,
    part: Part,
    leaf: str,
    shards: frozenset[int],
    now: float,
    *,
    extra: bool,
) -> SendCall:
    call_id = book.next_call_id()
    node = book.node_for(leaf)
    pending = PendingCall(
        call_id=call_id,
        query=query,
        part=part,
        leaf=leaf,
        node=node,
        shards=shards,
        at=now,
        extra=extra,
    )
    book.pending[call_id] = pending
    part.pending[call_id] = pending
    query.outstanding += 1
    part.tried.add(leaf)
    book.view.sent(leaf)
    if book.policy.hedge:
        due = now + book.view.hedge_delay_s(query.request.route)
        book.add_timer(due, query.request.req_id, call_id)
    request = query.request
    budget_s = query.deadline - ANSWER_MARGIN_S - now
    return SendCall(
        node,
        LeafCall(
            call_id=call_id,
            leaf=leaf,
            route=request.route,
            snapshot=query.snapshot,
            budget_ms=max(0.0, budget_s) * 1000.0,
            priority=request.priority,
            fingerprint=request.fingerprint,
            key="",
            body=request.body,
        ),
    )


def awaited(part: Part) -> set[int]:
    """Return the shards that pending calls have asked for."""
    shards: set[int] = set()
    for call in part.pending.values():
        shards |= call.shards
    return shards


def cancel_covered(book: QueryBook, part: Part) -> list[QueryEffect]:
    """Cancel the calls whose shards have all been answered."""
    losers = [call for call in part.pending.values() if call.shards <= part.answered]
    return [cancel(book, call) for call in losers]


def cancel_others(book: QueryBook, query: Query, part: Part) -> list[QueryEffect]:
    """Cancel the calls of all services but that of `part`."""
    others = [other for other in query.parts.values() if other is not part]
    return [cancel(book, call) for other in others for call in list(other.pending.values())]


def cancel_all(book: QueryBook, query: Query) -> list[QueryEffect]:
    """Cancel every call of a query."""
    calls = [call for part in query.parts.values() for call in part.pending.values()]
    return [cancel(book, call) for call in calls]


def cancel(book: QueryBook, call: PendingCall) -> SendCancel:
    """Remove a call and notify its node that the answer is no longer needed."""
    book.pending.pop(call.call_id, None)
    call.part.pending.pop(call.call_id, None)
    call.query.outstanding -= 1
    view = book.view.leaves.get(call.leaf)
    if view is not None:
        view.in_flight = max(0, view.in_flight - 1)
    return SendCancel(call.node, call.call_id)
