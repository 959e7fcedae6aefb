"""State, inputs and effects of the query reducer."""

from __future__ import annotations

import heapq
import random

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

from cactussaddle_core.hold import Verdict
from cactussaddle_core.query.budget import ExtraBudget
from cactussaddle_core.query.view import FleetView

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.calls import LeafCall
    from cactussaddle_core.codes import ResultCode
    from cactussaddle_core.query.choose import Choose
    from cactussaddle_core.query.view import LeafView

    Eligible = Callable[[str, list[LeafView], Callable[[], float]], list[LeafView]]


class QueryRequest(NamedTuple):
    """An admitted idempotent query; `deadline_s` is the time that it may take in total."""

    req_id: int
    route: str
    services: tuple[str, ...]
    priority: int
    deadline_s: float
    min_coverage: float
    limit: int
    fingerprint: int
    body: bytes


class QueryAnswer(NamedTuple):
    """Effect: the final answer to a caller's request."""

    req_id: int
    code: ResultCode
    snapshot: int
    answered: int
    of: int
    hits: list[dict[str, Any]]
    message: str
    retry_after_s: float


class SendCall(NamedTuple):
    """Effect: hand a leaf call to the node that holds the leaf's slots."""

    node: str
    call: LeafCall


class SendCancel(NamedTuple):
    """Effect: the answer to this call is no longer needed."""

    node: str
    call_id: int


QueryEffect: TypeAlias = QueryAnswer | SendCall | SendCancel


class Policy(NamedTuple):
    """The functions in which the policies that a setting selects differ."""

    choose: Choose
    hedge: bool


class PendingCall:
    """A leaf call that has not ended; `extra` is set if it was charged to the budget."""

    def __init__(
        self,
        *,
        call_id: int,
        query: Query,
        part: Part,
        leaf: str,
        node: str,
        shards: frozenset[int],
        at: float,
        extra: bool,
    ) -> None:
        self.call_id = call_id
        self.query = query
        self.part = part
        self.leaf = leaf
        self.node = node
        self.shards = shards
        self.sent_at = at
        self.extra = extra
        self.hedged = False


class Part:
    """The progress of one service within a query."""

    def __init__(self, *, service: str, of: int) -> None:
        self.service = service
        self.of = of
        self.answered: set[int] = set()
        self.tried: set[str] = set()
        self.pending: dict[int, PendingCall] = {}
        self.rounds = 1
        self.resets = 0
        self.waits = False

    def missing(self) -> set[int]:
        """Return the shards without an answer."""
        return set(range(self.of)) - self.answered


class Query:
    """A query in progress."""

    def __init__(self, *, request: QueryRequest, started_at: float) -> None:
        self.request = request
        self.started_at = started_at
        self.deadline = started_at + request.deadline_s
        self.snapshot = 0
        self.parts: dict[str, Part] = {}
        self.hits: list[tuple[int, list[dict[str, Any]]]] = []
        self.retry_after_s = 0.0
        self.refused = False
        self.may_have_run = False
        self.restarts = 0
        self.alone = False
        self.suspect = False
        self.outstanding = 0


def always_allowed(fingerprint: int, now: float) -> Verdict:
    """Suspect no request."""
    return Verdict.ALLOW


def all_eligible(service: str, leaves: list[LeafView], rand: Callable[[], float]) -> list[LeafView]:
    """Return all usable leaves as eligible."""
    return leaves


class QueryBook:
    """All queries in progress on one node.

    `usable(leaf)` returns whether a leaf may get new calls, `node_for(leaf name)` the node that holds
    its slots, `verdict(fingerprint, now)` whether a request may run, and
    `eligible(service, leaves, rand)` the usable leaves that this call may go to.
    """

    def __init__(
        self,
        *,
        policy: Policy,
        usable: Callable[[LeafView], bool],
        node_for: Callable[[str], str],
        verdict: Callable[[int, float], Verdict] = always_allowed,
        eligible: Eligible = all_eligible,
        id_base: int,
        seed: int,
    ) -> None:
        self.policy = policy
        self.usable = usable
        self.node_for = node_for
        self.verdict = verdict
        self.eligible = eligible
        self.view = FleetView()
        self.budget = ExtraBudget()
        self.rng = random.Random(seed)
        self.queries: dict[int, Query] = {}
        self.pending: dict[int, PendingCall] = {}
        self.timers: list[tuple[float, int, int]] = []
        self._next_id = id_base

    def next_call_id(self) -> int:
        """Return an id that no other call of this node's incarnation has."""
        self._next_id += 1
        return self._next_id

    def add_timer(self, due: float, req_id: int, call_id: int) -> None:
        """Schedule a tick at `due`; `call_id` is 0 for the query's deadline."""
        heapq.heappush(self.timers, (due, req_id, call_id))

    def next_due(self) -> float | None:
        """Return when the next timer is due."""
        return self.timers[0][0] if self.timers else None
