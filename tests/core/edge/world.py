"""One node's reducer and simulated leaves on a virtual clock.

A leaf's behaviour is a function of the time and a random generator that returns a call's outcome.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random

from typing import Any
from typing import NamedTuple

from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge.features import NO_FEATURES
from cactussaddle_core.edge.features import Features
from cactussaddle_core.edge.reduce import reduce
from cactussaddle_core.edge.state import EdgeIdentity
from cactussaddle_core.edge.state import EdgeRules
from cactussaddle_core.edge.state import EdgeState
from cactussaddle_core.fanout import effects as fanfx
from cactussaddle_core.fanout import model as fan
from cactussaddle_core.fleet.model import LeafEntry
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from cactussaddle_core.limits.budget import BudgetRules
from cactussaddle_core.limits.cold import ColdRules
from cactussaddle_core.limits.roster import Enrolment
from cactussaddle_core.routing.model import Route
from cactussaddle_core.routing.model import ServiceSpec
from cactussaddle_core.routing.model import Target
from cactussaddle_core.routing.table import RoutingTable
from cactussaddle_core.spread.model import Member
from tests.core.edge.leafbehavior import PROBE_S
from tests.core.edge.leafbehavior import CallOutcome
from tests.core.edge.leafbehavior import FifoLeaf
from tests.core.edge.leafbehavior import usual

DOMAINS = ("north", "south", "west")
HOME = "north"
FAR_TRIP_S = 0.04
NEAR_TRIP_S = 0.0003
ALL = BudgetRules(ratio=0.2, allowance=56.0, window_s=10.0)


class Done(NamedTuple):
    """An answer as received by the caller."""

    req_id: int
    kind: str
    took_s: float
    missing: int
    ran: bool
    retry_after_s: float
    at: float


def leaf_name(service: str, domain: str) -> str:
    return f"{service}-{domain}"


def entry(service: str, domain: str, **changes: Any) -> LeafEntry:
    made = LeafEntry(
        leaf=leaf_name(service, domain),
        service=service,
        host="127.0.0.1",
        port=1,
        domain=domain,
        version="v1",
        slots=6,
        draining=False,
        cold_left_s=0.0,
        born_ms=1,
        sequence=1,
    )
    return made._replace(**changes)


def gather_route(shards: int = 10, least: float = 0.89, objective_s: float = 0.297) -> Route:
    return Route(
        name="search",
        host="h",
        prefix="/s/",
        idempotent=True,
        timeout_s=1.5,
        objective_s=objective_s,
        priority=1,
        max_leaves=2,
        targets=(),
        shards=tuple(f"s{number}" for number in range(shards)),
        top=10,
        least=least,
        regions=frozenset(),
    )


def single_route(idempotent: bool = True) -> Route:
    return gather_route()._replace(
        name="order",
        prefix="/o/",
        idempotent=idempotent,
        timeout_s=6.0,
        objective_s=1.0,
        shards=(),
        targets=(Target("orders", 1.0),),
    )


class World:
    """A node, the leaves of ten shards and one unsharded service in three domains, and a clock."""

    def __init__(
        self,
        *,
        seed: int = 1,
        shards: int = 10,
        nodes: int = 8,
        rules=ALL,
        loaded: bool = True,
        number: int = 0,
        cores: float = 0.0,
        features: Features = NO_FEATURES,
    ) -> None:
        self.now = 100.0
        self.caller_rtt_s = fan.DEFAULT_CALLER_RTT_S
        self.rng = random.Random(seed)
        region_of = {domain: f"region-{domain}" for domain in DOMAINS}
        self.state = EdgeState(
            me=EdgeIdentity(f"node-{number}", DOMAINS[number % len(DOMAINS)], region_of, cores),
            rules=EdgeRules(rules, ColdRules(over=1.5, slack=5.0), features),
            seed=seed,
        )
        self.behaviors: dict[str, Any] = {}
        self.probe_factor: dict[str, Any] = {}
        self.probe_load: dict[str, Any] = {}
        self.done: dict[int, Done] = {}
        self.sent: list[tuple[float, str, int]] = []
        self.notes: list[Any] = []
        self.effects: list[Any] = []
        self._events: list[tuple[float, int, Any]] = []
        self._order = itertools.count()
        self._started: dict[int, float] = {}
        self._calls: dict[int, Any] = {}
        self._probing: set[str] = set()
        self._unanswered: set[int] = set()
        self._next_req = 0
        self.routes = [
            gather_route(shards),
            single_route(),
            single_route(False)._replace(name="once", prefix="/u/"),
        ]
        self._services = [f"s{number}" for number in range(shards)] + ["orders"]
        self._nodes = nodes
        if loaded:
            self.load_all()
            self.run(2.0)

    def load_all(self) -> None:
        """Deliver the routing table, the members and the leaves to the node."""
        self.feed(ev.TableSeen(self.table(1, self._services)))
        self.enrol(self.members(self._nodes))
        self.feed(ev.LeavesListed(self.leaves()))

    def enrol(
        self, members: tuple[Member, ...], shared_by: tuple[Member, ...] | None = None
    ) -> None:
        """Deliver the nodes that are registered, and those that share the limits, this one as one of old."""
        own = self.state.me.node
        names = {member.node for member in shared_by or members} | {own}
        self.feed(ev.RosterListed(frozenset(names)))
        self.feed(ev.Enrolled(Enrolment(was_listed=True, has_reserve=True)))
        self.feed(ev.MembersListed(members))

    def members(self, count: int) -> tuple[Member, ...]:
        return tuple(Member(f"node-{n}", "127.0.0.1", 1, HOME) for n in range(count))

    def leaves(self) -> tuple[LeafEntry, ...]:
        return tuple(entry(s, d) for s in self._services for d in DOMAINS)

    def table(self, version: int, services: list[str]) -> RoutingTable:
        specs = [ServiceSpec(name, "/health", 46, 3.0, 0.0) for name in services]
        return RoutingTable(version=version, routes=self.routes, services=specs)

    def feed(self, event: ev.Event) -> None:
        for effect in reduce(self.state, event, self.now):
            self.effects.append(effect)
            self._carry_out(effect)

    def later(self, delay_s: float, event: Any) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), event))

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        until = self.now + seconds
        while True:
            due = self.state.next_due()
            event_at = self._events[0][0] if self._events else until
            if min(due, event_at) >= until:
                self.now = until
                return
            if event_at <= due:
                self.now, _, event = heapq.heappop(self._events)
                self._handle(event)
            else:
                self.now = max(self.now, due)
                self.feed(ev.Tick())

    def _handle(self, event: Any) -> None:
        if callable(event):
            event()
        else:
            self.feed(event)

    def ask(
        self,
        target: bytes = b"/s/x",
        timeout_s: float = 1.5,
        body: bytes = b"",
        fingerprint: str = "",
    ) -> int:
        self._next_req += 1
        req_id = self._next_req
        self._started[req_id] = self.now
        fingerprint = fingerprint or f"f{req_id}"
        request = fan.CallerRequest(
            req_id,
            f"r{req_id}",
            b"GET",
            target,
            "h",
            (),
            body,
            timeout_s,
            fingerprint,
            self.caller_rtt_s,
        )
        self.feed(ev.RequestArrived(request))
        return req_id

    def load(self, per_s: float, seconds: float, target: bytes = b"/s/x") -> list[int]:
        """Send requests at random times with a mean rate; return their ids."""
        asked = []
        until = self.now + seconds
        while self.now < until:
            asked.append(self.ask(target))
            self.run(self.rng.expovariate(per_s))
        self.run(2.0)
        return asked

    def share_in_time(self, asked: list[int], objective_s: float = 0.297) -> float:
        """Return the mean score of the requests: coverage squared if answered in time, else 0."""
        credit = 0.0
        for req_id in asked:
            done = self.done.get(req_id)
            if done is not None and done.kind == "merged" and done.took_s <= objective_s:
                credit += (1.0 - done.missing / 10.0) ** 2
        return credit / len(asked)

    def calls_per_part(self) -> float:
        """Return the number of calls sent per first call."""
        firsts = sum(1 for call in self._calls.values() if call.reason == "first")
        return len(self._calls) / max(1, firsts)

    def calls_of(self, req_id: int, service: str = "") -> list[Any]:
        calls = [c for c in self._calls.values() if c.part.query.request.req_id == req_id]
        return [c for c in calls if service in ("", c.part.service)]

    def started_at(self, req_id: int) -> float:
        return self._started[req_id]

    def leaf(self, service: str, domain: str) -> Any:
        return self.state.fleet.leaves[leaf_name(service, domain)]

    def _carry_out(self, effect: Any) -> None:
        if isinstance(effect, fanfx.SendCall):
            self._send(effect.call)
        elif isinstance(effect, fanfx.EndCall):
            self.later(effect.linger_s, functools.partial(self._close, effect.call))
        elif isinstance(effect, fanfx.ProbeLeaf):
            self._probe(effect.leaf)
        elif isinstance(effect, fanfx.Merged):
            self._answer(effect.query.request.req_id, "merged", effect.missing, True, 0.0)
        elif isinstance(effect, fanfx.Relayed):
            kind = f"relayed {effect.reply.status}"
            self._answer(effect.query.request.req_id, kind, 0, True, 0.0)
        elif isinstance(effect, fanfx.Declined):
            kind = effect.code.name
            self._answer(effect.req_id, kind, 0, effect.ran, effect.retry_after_s)
        elif isinstance(effect, fx.LogEvent):
            self.notes.append(effect.event)

    def _answer(self, req_id: int, kind: str, missing: int, ran: bool, after_s: float) -> None:
        assert req_id not in self.done, "a second answer"
        took_s = self.now - self._started[req_id]
        self.done[req_id] = Done(req_id, kind, took_s, missing, ran, after_s, self.now)

    def _trip_s(self, leaf: Any) -> float:
        return NEAR_TRIP_S if leaf.entry.domain == self.state.me.domain else FAR_TRIP_S

    def _send(self, call: Any) -> None:
        self._calls[call.call_id] = call
        self.sent.append((self.now, call.leaf.name, call.part.query.request.req_id))
        self.later(0.0, ev.CallLeft(call.call_id))
        leaf = self.behaviors.get(call.leaf.name, usual)
        if isinstance(leaf, FifoLeaf):
            self.later(self._trip_s(call.leaf) / 2.0, functools.partial(leaf.receive, self, call))
            return
        does = leaf(self.now, self.rng)
        if does is not None:
            self.answer_call(call, does, self._trip_s(call.leaf))

    def answer_call(self, call: Any, does: CallOutcome, trip_s: float) -> None:
        """Have a call end with an outcome after its work and the trip back."""
        reply = None
        if does.ending is fan.CallEnding.ANSWERED:
            body = bytes([self.rng.randrange(256)]) * 16
            reply = fan.LeafReply(200, (), body, f"sig-{call.call_id}")
        elif does.ending is fan.CallEnding.FAILED:
            reply = fan.LeafReply(500, (), b"", "sig")
        end = fan.CallEnd(call.call_id, does.ending, "", reply, does.load, does.wrong_leaf)
        self.later(trip_s + does.work_s, functools.partial(self._end_call, call, end))

    def forget_answer(self, call: Any) -> None:
        """Have a call get no answer, whatever was planned for it."""
        self._unanswered.add(call.call_id)

    def _end_call(self, call: Any, end: fan.CallEnd) -> None:
        if end.ending is not fan.CallEnding.ANSWERED or call.call_id not in self._unanswered:
            self.feed(ev.CallEnded(end))

    def _close(self, call: Any) -> None:
        """Close the connection of a call, which a leaf with a queue notices."""
        leaf = self.behaviors.get(call.leaf.name)
        if isinstance(leaf, FifoLeaf):
            leaf.drop(self, call)
        self.feed(ev.CallEnded(fan.CallEnd(call.call_id, fan.CallEnding.CANCELLED, "")))

    def _probe(self, leaf: Any) -> None:
        factor = self.probe_factor.get(leaf.name, lambda now: 1.0)(self.now)
        if factor is None:
            health = ProbeResult(ProbeOutcome.SILENT, "", False, None, 0.0)
            self.later(0.8, ev.ProbeEnded(leaf.name, health))
            return
        work_s = PROBE_S * factor
        load = self.probe_load.get(leaf.name, lambda now: None)(self.now)
        health = ProbeResult(ProbeOutcome.ANSWERED, leaf.name, True, None, work_s, load)
        self.later(2.0 * self._trip_s(leaf) + work_s, ev.ProbeEnded(leaf.name, health))
