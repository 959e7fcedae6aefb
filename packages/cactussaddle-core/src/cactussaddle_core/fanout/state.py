"""State of the fan-out reducer: queries, their parts, and open calls."""

from __future__ import annotations

import heapq
import math
import random

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.access.admit import allowed_regions
from cactussaddle_core.fanout.distance import Distance
from cactussaddle_core.fanout.distance import Leavings
from cactussaddle_core.fanout.distance import Reason
from cactussaddle_core.fanout.looplag import LoopLag
from cactussaddle_core.fanout.timing import RouteTimings
from cactussaddle_core.waiting.room import HostRoom

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactussaddle_core.access.admit import Terms
    from cactussaddle_core.fanout.model import CallEnding
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fanout.model import LeafReply
    from cactussaddle_core.fleet.fleet import Fleet
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.limits.budget import RetryBudget
    from cactussaddle_core.rollouts.rollouts import Rollouts
    from cactussaddle_core.routing.model import Regions
    from cactussaddle_core.routing.model import Route
    from cactussaddle_core.waiting.room import HostReading


class Choice(NamedTuple):
    """A chosen leaf, its expected cost in seconds, its queue, and the number of candidates.

    `queue_rounds` is the number of rounds of work that the call is expected to wait for. `distance` is
    how far the leaf is, and `why` the reason for going there.
    """

    leaf: Leaf
    cost_s: float
    choices: int
    queue_rounds: float
    distance: Distance = Distance.OWN
    why: Reason = Reason.NEAREST


class Call:
    """One call of a part to one leaf.

    `extra` is true if the call was charged to the retry budget. `left_at` is when its request was
    sent (NaN until then), and `reason` is why the call was made. `cost_s` is the expected cost for
    which the leaf was chosen among `choices` candidates, and `queue_rounds` the queue expected there.
    `pace` is the pace of the leaf's host that was expected, NaN if it reports none. `detail` describes how
    the call ended. `busy_mark_s` is the reading of this node's busy time when the call began, or last left.
    """

    __slots__ = (
        "abandoned",
        "busy_mark_s",
        "call_id",
        "choices",
        "cost_s",
        "detail",
        "ended_at",
        "ending",
        "extra",
        "leaf",
        "left_at",
        "pace",
        "part",
        "queue_rounds",
        "reason",
        "sent_at",
    )

    def __init__(
        self,
        *,
        call_id: int,
        part: Part,
        choice: Choice,
        reason: str,
        extra: bool,
        now: float,
        busy_mark_s: float = 0.0,
    ) -> None:
        self.call_id = call_id
        self.busy_mark_s = busy_mark_s
        self.part = part
        self.leaf = choice.leaf
        self.cost_s = choice.cost_s
        self.queue_rounds = choice.queue_rounds
        self.choices = choice.choices
        self.detail = ""
        self.reason = reason
        self.extra = extra
        self.left_at = math.nan
        host_pace = choice.leaf.host_pace
        self.pace = math.nan if host_pace is None else host_pace.expected_pace(now)
        self.abandoned = False
        self.sent_at = now
        self.ended_at = math.nan
        self.ending: CallEnding | None = None

    @property
    def left(self) -> bool:
        """Whether the request has been sent to the leaf."""
        return not math.isnan(self.left_at)


class Part:
    """One service's share of a query.

    `runs` counts the calls that may have run at a leaf, `arrivals` those that may have reached one.
    `failure` is the last unsuccessful reply of a leaf that a caller may get as it is.
    """

    __slots__ = (
        "arrivals",
        "calls",
        "failure",
        "hedge_at",
        "open_calls",
        "query",
        "refusals",
        "reply",
        "retry_at",
        "runs",
        "service",
    )

    def __init__(self, *, query: Query, service: str) -> None:
        self.query = query
        self.service = service
        self.calls: list[Call] = []
        self.open_calls: list[Call] = []
        self.runs = 0
        self.arrivals = 0
        self.refusals = 0
        self.reply: LeafReply | None = None
        self.failure: LeafReply | None = None
        self.hedge_at = math.inf
        self.retry_at = math.inf

    def is_waiting(self) -> bool:
        """Return whether an open call or a scheduled retry may still bring a reply."""
        return bool(self.open_calls) or math.isfinite(self.retry_at)


class Query:
    """A caller's request in progress; times are on this node's monotonic clock.

    `run_told` is set once it was told that the request began to run.

    From `answer_by` on, an incomplete answer is preferred to a later one. At `deadline` the query
    ends with whatever replies it has. `unanswered` lists the parts without a reply; `signatures`
    holds the signatures of the replies received. `priority` is the request's rank, 0 the most urgent.
    Leaves of other regions than `regions` must not run it; None allows any.
    `held_back` are the parts of a trial that wait until
    a leaf has survived the first one. `waited_s` is how long the request waited before it began.
    """

    __slots__ = (
        "answer_by",
        "deadline",
        "held_back",
        "is_trial",
        "parts",
        "priority",
        "regions",
        "request",
        "review_at",
        "route",
        "run_told",
        "signatures",
        "started_at",
        "table_version",
        "unanswered",
        "waited_s",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        route: Route,
        table_version: int,
        now: float,
        answer_by: float,
        deadline: float,
        terms: Terms | None = None,
    ) -> None:
        self.request = request
        self.route = route
        self.priority = terms.priority if terms is not None else route.priority
        self.regions: Regions = terms.regions if terms is not None else allowed_regions(route)
        self.table_version = table_version
        self.started_at = now
        self.answer_by = answer_by
        self.deadline = deadline
        self.review_at = math.inf
        self.waited_s = 0.0
        self.is_trial = False
        self.run_told = False
        self.parts: list[Part] = []
        self.unanswered: list[Part] = []
        self.held_back: list[Part] = []
        self.signatures: set[str] = set()

    def ask_services(self, services: Iterable[str]) -> None:
        """Create one part for each service."""
        self.parts = [Part(query=self, service=service) for service in services]
        self.unanswered = list(self.parts)

    def take_reply(self, part: Part, reply: LeafReply) -> bool:
        """Store a part's reply and return True, or return False if it duplicates another part's."""
        if self.gathers and reply.signature in self.signatures:
            return False
        self.signatures.add(reply.signature)
        self.unanswered.remove(part)
        part.reply = reply
        return True

    @property
    def gathers(self) -> bool:
        """Whether the answer is merged from the replies of several services."""
        return bool(self.route.shards)

    def answered(self) -> int:
        """Return the number of parts that have a reply."""
        return len(self.parts) - len(self.unanswered)

    def needed(self) -> int:
        """Return the minimum number of parts with a reply for a successful answer."""
        if not self.gathers:
            return 1
        return max(1, math.ceil(self.route.least * len(self.parts) - 1e-9))

    def may_have_run(self) -> bool:
        """Return whether any leaf may have run the request."""
        return any(part.runs > 0 for part in self.parts)


def _ignore_merged(query: Query, now: float) -> None:
    """Do nothing."""


class FanoutState:
    """All queries and calls in progress on one node.

    `may_call(leaf, now)` returns whether a new call may be sent to a leaf. `cold_calls(leaf, now)` returns
    how many calls per second this node may send to a leaf while it is cold. `ran_well(fingerprint,
    leaf, now)` is called for each request that a leaf completed successfully. Queries end at `give_up_at`
    at the latest, as the process exits.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        budget: RetryBudget,
        rollouts: Rollouts,
        may_call: Callable[[Leaf, float], bool],
        cold_calls: Callable[[Leaf, float], float],
        ran_well: Callable[[str, str, float], None],
        own_domain: str,
        region_of: Mapping[str, str],
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.budget = budget
        self.rollouts = rollouts
        self.may_call = may_call
        self.cold_calls = cold_calls
        self.ran_well = ran_well
        self.own_domain = own_domain
        self.region_of = region_of
        self.timings = RouteTimings(own_domain=own_domain)
        self.loop_lag = LoopLag()
        self.leavings = Leavings()
        self.room = HostRoom()
        self.rng = random.Random(seed)
        self.queries: dict[int, Query] = {}
        self.calls: dict[int, Call] = {}
        self.give_up_at = math.inf
        # Called for each query that is answered with a merged result.
        self.merged: Callable[[Query, float], None] = _ignore_merged
        # Called with the team of each request that a leaf began to run, and when it did.
        self.run_began: Callable[[str, float], None] | None = None
        self._timers: list[tuple[float, int]] = []
        self._next_call_id = 0

    def read_host(self, reading: HostReading, now: float) -> None:
        """Take a reading of this node's event loop."""
        self.room.read(reading, now)
        if self.room.is_on:
            self.loop_lag.record_lag(self.room.unread_s, now)

    def read_backlog_s(self) -> float:
        """Return the time that this host needs to read the answers of all open calls."""
        return self.room.backlog_s(len(self.calls), 0)

    def own_delay_s(self, now: float) -> float:
        """Return for how long answers may have lain unread on this node; 0 if it doesn't go by that."""
        if not self.room.is_on:
            return 0.0
        return max(self.loop_lag.lag_s(now), self.read_backlog_s())

    def backlog_s(self) -> float:
        """Return the time that this host's processor needs for the open calls."""
        return self.room.backlog_s(len(self.calls), len(self.loop_lag.unsent))

    def overdue_at(self, leaf: Leaf, now: float) -> list[str]:
        """Return the fingerprints of the requests with an open and overdue call at a leaf."""
        judged_at = now - self.own_delay_s(now)
        overdue = [call_id for call_id, due in leaf.waiting.items() if due <= judged_at]
        calls = [self.calls[call_id] for call_id in overdue if call_id in self.calls]
        return [call.part.query.request.fingerprint for call in calls if call.left]

    def next_call_id(self) -> int:
        """Return a call id that is unique within this process."""
        self._next_call_id += 1
        return self._next_call_id

    def review_at(self, query: Query, due: float) -> None:
        """Schedule a review of a query at `due`, unless an earlier one is already scheduled."""
        if due < query.review_at:
            query.review_at = due
            heapq.heappush(self._timers, (due, query.request.req_id))

    def next_due(self) -> float:
        """Return when the next review is due; infinity if none is scheduled."""
        return self._timers[0][0] if self._timers else math.inf

    def pop_due(self, now: float) -> Query | None:
        """Remove and return a query whose review is due, or return None."""
        while self._timers and self._timers[0][0] <= now:
            due, req_id = heapq.heappop(self._timers)
            query = self.queries.get(req_id)
            if query is not None and query.review_at == due:
                query.review_at = math.inf
                return query
        return None
