"""Simulates a service of nine nodes under one version move, with direct reducer calls."""

from __future__ import annotations

import heapq
import random

from typing import Any
from typing import NamedTuple

from cactussaddle_core import moves
from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.config.model import ConfigDoc
from cactussaddle_core.config.model import Leaf
from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.model import build_config
from cactussaddle_core.moves.evidence import encode_evidence
from cactussaddle_core.warmup import LeafHealth
from cactussaddle_core.warmup import LeafLimit

NODES = tuple(f"n{i}" for i in range(9))
OWNERS = {"a0": "n1", "a1": "n4", "a2": "n7", "b0": "n0", "b1": "n4", "b2": "n8"}
ROUTES = ("search", "lookup")
SERVICE = "s1"
MOVE = "m1"
START = 10.0
MEDIAN_S = 0.02
STEP_S = 0.1
SKEW_S = 0.2
WARMING_CALLS = 75
COLD_SLOWDOWN = 3.0


class Fault(NamedTuple):
    """A fault of calls to the new version (with `old`: to both versions).

    It applies once `after` (a fraction of the move's duration) has passed, at shares of at least
    `min_share`, and to calls on `route`, to `leaf` and from `node`; an empty name matches any.
    """

    failing: float = 0.0
    slow: float = 1.0
    after: float = 0.0
    min_share: float = 0.0
    route: str = ""
    leaf: str = ""
    node: str = ""
    old: bool = False


class Case(NamedTuple):
    name: str
    good: bool
    fault: Fault = Fault()
    cold_s: float = 0.0
    store_out: bool = False
    cold_calls: int = 0


class Result(NamedTuple):
    """The result of one simulated move.

    `new_until_shown` and `all_until_shown` count calls from the move's start until the pooled
    evidence of all nodes is enough to latch the version. `reaction_s` is the time from the first
    faulty call until no node gives the version any share, `spread_s` the time from enough evidence
    until then; -1 if that was never reached.
    """

    state: str
    at_part: float
    new_until_shown: int
    all_until_shown: int
    reaction_s: float
    spread_s: float
    latched: bool
    bad_calls: int


def build(duration_s):
    old = [leaf(f"a{i}", f"d{i}", "v1") for i in range(3)]
    new = [leaf(f"b{i}", f"d{i}", "v2") for i in range(3)]
    move: Any = {
        "id": MOVE,
        "kind": MoveKind.VERSION,
        "target": SERVICE,
        "start": START,
        "finish": START + duration_s,
        "version": "v2",
        "leaves": new,
    }
    doc: ConfigDoc = {
        "revision": 1,
        "change_id": "c",
        "domains": [{"name": f"d{i}", "region": "r"} for i in range(3)],
        "services": [{"name": SERVICE, "slots": 4, "connections": 40, "connect_ms": 6.0}],
        "leaves": old,
        "routes": [],
        "moves": [move],
    }
    return build_config(doc)


def leaf(name, domain, version) -> Leaf:
    return {
        "name": name,
        "service": SERVICE,
        "domain": domain,
        "address": "127.0.0.1:1",
        "version": version,
    }


class Fleet:
    """The nodes' states and the messages between them.

    With `owned`, the owner of a leaf records its calls, otherwise the root node of the call does.
    With `limits`, a leaf is reported as cold by the node's own detection from its answered calls;
    cold leaves then don't fail, since the limit keeps their load within what they can handle.
    """

    def __init__(self, *, case, seed, duration_s=60.0, rate=80.0, owned=True, limits=False):
        self.case = case
        self.owned = owned
        self.rng = random.Random(seed)
        self.rate = rate
        self.duration_s = duration_s
        self.now = 0.0
        self.tables = {}
        self.limits = {name: LeafLimit(slots=4) for name in OWNERS} if limits else {}
        self.warm_old_leaves()
        self.skew = {name: self.rng.uniform(-SKEW_S, SKEW_S) for name in NODES}
        self.queue: list[tuple[float, int, str, object]] = []
        self.sent = 0
        self.store: dict[str, MoveState] = {}
        self.decided_at = 0.0
        self.first_bad = 0.0
        self.shown_at = 0.0
        self.zero_at = 0.0
        self.calls_new = 0
        self.calls_all = 0
        self.bad_calls = 0
        self.served: dict[str, int] = {}
        self.exposed = 0.0
        self.oracle = moves.MoveTable(node="oracle")
        moves.reduce(self.oracle, moves.ConfigApplied(build(duration_s)), 1000.0, 0.0)
        for name in NODES:
            self.tables[name] = moves.MoveTable(node=name, incarnation="1")
            self.feed(name, moves.ConfigApplied(build(duration_s)))
            self.feed(name, moves.Members(NODES))

    def warm_old_leaves(self):
        for name, limit in self.limits.items():
            for _ in range(WARMING_CALLS if name.startswith("a") else 0):
                limit.observe(CallOutcome.OK, MEDIAN_S, "1", 0.0)

    def reported_cold(self, ok, latency_s, cold, leaf_name):
        """Return whether a leaf is reported as cold: its real state or what the node detects."""
        limit = self.limits.get(leaf_name)
        if limit is None:
            return cold
        warm = limit.health(self.now).state is LeafHealth.WARM
        end = CallOutcome.OK if ok else CallOutcome.FAILED
        limit.observe(end, latency_s, "1", self.now)
        return ok and not warm

    def feed(self, name, event):
        wall = self.now + self.skew[name]
        for effect in moves.reduce(self.tables[name], event, self.now + 1000.0, wall):
            self.carry_out(name, effect)

    def carry_out(self, name, effect):
        if isinstance(effect, moves.RecordFinal):
            if not self.case.store_out or self.now > START + 1.5 * self.duration_s:
                state = self.store.setdefault(effect.move, effect.state)
                self.decided_at = self.decided_at or self.now
                for peer in NODES:
                    self.post(peer, moves.FinalRecorded(effect.move, state), 0.005, 0.3)
            return
        if isinstance(effect, moves.PutLatch):
            event: object = moves.PeerLatch(effect.data)
            max_delay_s = 0.2
        else:
            event = moves.PeerEvidence(effect.data)
            max_delay_s = 0.3 if effect.urgent else 1.5
        for peer in NODES:
            if peer != name:
                self.post(peer, event, 0.01, max_delay_s)

    def post(self, peer, event, min_delay_s, max_delay_s):
        self.sent += 1
        at = self.now + self.rng.uniform(min_delay_s, max_delay_s)
        heapq.heappush(self.queue, (at, self.sent, peer, event))

    def step(self):
        self.now += STEP_S
        while self.queue and self.queue[0][0] <= self.now:
            _, _, peer, event = heapq.heappop(self.queue)
            self.feed(peer, event)
        for name in NODES:
            calls = self.poisson(self.rate * STEP_S / len(NODES))
            for _ in range(calls):
                self.call(name)
            self.feed(name, moves.Tick())
        if self.first_bad and not self.shown_at:
            self.evaluate_oracle()
        if self.first_bad and self.any_share():
            self.zero_at = 0.0
        elif self.first_bad:
            self.zero_at = self.zero_at or self.now

    def evaluate_oracle(self):
        """Evaluate the combined evidence of all nodes, as if sent without delay."""
        for table in self.tables.values():
            data = encode_evidence(table.snapshots[table.node])
            moves.reduce(self.oracle, moves.PeerEvidence(data), self.now + 1000.0, self.now)
        moves.reduce(self.oracle, moves.Tick(), self.now + 1000.0, self.now)
        if self.oracle.latches:
            self.shown_at = self.now

    def any_share(self):
        return any(
            table.share(SERVICE, self.now + self.skew[name]).get("v2", 0.0) > 0.0
            for name, table in self.tables.items()
        )

    def poisson(self, mean):
        count = 0
        at = self.rng.expovariate(1.0)
        while at < mean:
            count += 1
            at += self.rng.expovariate(1.0)
        return count

    def call(self, name):
        wall = self.now + self.skew[name]
        table = self.tables[name]
        share = table.share(SERVICE, wall).get("v2", 0.0)
        is_new = self.rng.random() < share
        leaf_name = f"{'b' if is_new else 'a'}{self.rng.choice('012')}"
        route = self.rng.choice(ROUTES)
        cold = is_new and self.is_cold(leaf_name)
        observer = OWNERS[leaf_name] if self.owned else name
        ok, latency_s, bad = self.outcome(observer, route, leaf_name, share, is_new, cold)
        if self.now >= START and not self.shown_at:
            self.calls_all += 1
            self.calls_new += is_new
        if bad and not self.first_bad:
            self.first_bad = self.now
        self.bad_calls += bad
        version = "v2" if is_new else "v1"
        cold = self.reported_cold(ok, latency_s, cold, leaf_name)
        move = self.tables[observer].move_of(SERVICE, self.now + self.skew[observer])
        event = moves.OutcomeSeen(move, route, version, ok, latency_s, cold, leaf_name)
        self.feed(observer, event)

    def is_cold(self, leaf_name):
        served = self.served.get(leaf_name, 0)
        self.served[leaf_name] = served + 1
        return self.now < START + self.case.cold_s or served < self.case.cold_calls

    def slowdown(self, leaf_name):
        if not self.case.cold_calls:
            return COLD_SLOWDOWN
        return COLD_SLOWDOWN - 2.0 * self.served[leaf_name] / self.case.cold_calls

    def outcome(self, name, route, leaf_name, share, is_new, cold):
        rng = self.rng
        fault = self.case.fault
        latency_s = MEDIAN_S * rng.lognormvariate(0.0, 0.3)
        if rng.random() < 0.01:
            latency_s *= 20.0
        ok = rng.random() > 0.001
        if cold:
            latency_s *= self.slowdown(leaf_name)
            ok = ok and rng.random() > (0.0 if self.limits else 0.2)
        hit = (
            (is_new or fault.old)
            and self.now >= START + fault.after * self.duration_s
            and share >= fault.min_share
            and fault.route in ("", route)
            and fault.leaf in ("", leaf_name)
            and fault.node in ("", name)
        )
        if hit:
            ok = ok and rng.random() >= fault.failing
            latency_s *= fault.slow
        return ok, latency_s, hit and (fault.failing > 0.0 or fault.slow > 1.0)

    def run(self):
        while self.now < START + self.duration_s + 5.0:
            self.step()
            if len(
                {table.finals.get(MOVE) for table in self.tables.values()} - {None}
            ) == 1 and all(MOVE in table.finals for table in self.tables.values()):
                break
        states = {table.finals.get(MOVE) for table in self.tables.values()}
        assert len(states) == 1, states
        reaction = self.zero_at - self.first_bad if self.zero_at else -1.0
        return Result(
            str(states.pop()),
            (self.decided_at - START) / self.duration_s,
            self.calls_new,
            self.calls_all,
            reaction,
            max(0.0, self.zero_at - self.shown_at) if self.shown_at and self.zero_at else -1.0,
            any(table.latches for table in self.tables.values()),
            self.bad_calls,
        )
