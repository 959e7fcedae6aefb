"""Ways to send a new request's first calls: what each costs, and the leaves that a killer crashes.

`python -m tests.core.query.firstwave [--seed N]`: virtual time, 3 nodes, 10 services of 3 leaves,
one leaf call in 100 twenty times slow.
"""

from __future__ import annotations

import argparse
import heapq
import math
import random

from collections import deque
from typing import Any
from typing import NamedTuple

import msgspec

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import LeafCall
from cactussaddle_core.calls import LeafResult
from cactussaddle_core.calls import SnapshotInfo
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.hold import HoldTable
from cactussaddle_core.hold import Verdict
from cactussaddle_core.query import reduce as query
from cactussaddle_core.query.choose import least_expected_wait
from cactussaddle_core.query.state import Policy
from cactussaddle_core.query.state import QueryAnswer
from cactussaddle_core.query.state import QueryBook
from cactussaddle_core.query.state import QueryRequest
from cactussaddle_core.query.state import SendCall
from tests.core.query.fleet import SNAPSHOT
from tests.core.query.fleet import service_of

SERVICES = tuple(f"s{number}" for number in range(10))
LEAVES = tuple(f"{service}-{number}" for service in SERVICES for number in range(3))
NODES = 3
MEDIAN_S = 0.005
SPREAD = 0.3
SLOW_IN = 100
SLOW_TIMES = 20
HOP_S = 0.001
EVERY_S = 0.01
KILLER = 1
WAYS = ("whole", "lead", "first")


class Killer(NamedTuple):
    """Which services a killer crashes, and after how long."""

    services: tuple[str, ...]
    after_s: float


class World:
    """Three roots, each with its own book of suspects; every strike is heard a hop later."""

    def __init__(self, *, way: str, seed: int, killer: Killer):
        self.way = way
        self.killer = killer
        self.rng = random.Random(seed)
        self.now = 0.0
        self.order = 0
        self.events: list[tuple[float, int, Any]] = []
        self.holds = [HoldTable(node=str(n), service_of=service_of) for n in range(NODES)]
        self.books = [self.make_book(number) for number in range(NODES)]
        self.born = dict.fromkeys(LEAVES, 0)
        self.started: dict[int, float] = {}
        self.answers: dict[int, tuple[float, QueryAnswer]] = {}
        self.calls = 0
        self.ticks = [math.inf] * NODES

    def make_book(self, number: int) -> QueryBook:
        book = QueryBook(
            policy=Policy(choose=least_expected_wait, hedge=True),
            usable=lambda leaf: True,
            node_for=lambda leaf: str(LEAVES.index(leaf) % NODES),
            verdict=lambda fingerprint, now: self.verdict(number, str(fingerprint)),
            id_base=number << 40,
            seed=number,
        )
        book.view.apply_leaves((leaf, service_of(leaf)) for leaf in LEAVES)
        for leaf in LEAVES:
            book.view.set_snapshots(leaf, "i", (SnapshotInfo(SNAPSHOT, 1, (0,)),))
        return book

    def verdict(self, number: int, fingerprint: str) -> Verdict:
        hold = self.holds[number]
        found = hold.verdict(fingerprint, self.now)
        if found is Verdict.ALLOW and self.way != "whole":
            return found if hold.proven(fingerprint, self.now) else Verdict.TRY_FIRST
        return found

    def at(self, after_s: float, do: Any) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + after_s, self.order, do))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, do = heapq.heappop(self.events)
            do()
        self.now = until

    def send(self, number: int, fingerprint: int) -> int:
        req_id = len(self.started) + 1
        self.started[req_id] = self.now
        book = self.books[number]
        request = QueryRequest(req_id, "r", SERVICES, 0, 2.0, 1.0, 10, fingerprint, b"{}")
        self.take(number, query.start_query(book, request, self.now))
        if self.way == "lead":
            self.at(MEDIAN_S, lambda: self.release(number, req_id))
        return req_id

    def release(self, number: int, req_id: int) -> None:
        book = self.books[number]
        under_way = book.queries.get(req_id)
        if under_way is not None and under_way.alone and not under_way.suspect:
            self.take(number, query._send_rest(book, under_way, self.now))

    def take(self, number: int, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, SendCall):
                self.calls += 1
                self.at(HOP_S, lambda call=effect.call: self.run_call(number, call))
            elif isinstance(effect, QueryAnswer):
                self.answers[effect.req_id] = (self.now, effect)
        due = self.books[number].next_due()
        if due is not None and due < self.ticks[number]:
            self.ticks[number] = due
            self.at(max(0.0, due - self.now), lambda: self.tick(number))

    def tick(self, number: int) -> None:
        self.ticks[number] = math.inf
        self.take(number, query.tick(self.books[number], self.now))

    def run_call(self, number: int, call: LeafCall) -> None:
        took_s = MEDIAN_S * self.rng.lognormvariate(0.0, SPREAD)
        if self.rng.randrange(SLOW_IN) == 0:
            took_s *= SLOW_TIMES
        born = self.born[call.leaf]
        if call.fingerprint == KILLER and service_of(call.leaf) in self.killer.services:
            self.at(self.killer.after_s, lambda: self.crash(call, born))
            self.at(self.killer.after_s, lambda: self.end(number, call, CallOutcome.RESET))
        else:
            self.at(took_s, lambda: self.end(number, call, CallOutcome.OK))

    def crash(self, call: LeafCall, born: int) -> None:
        """Count the crash once, tell the owner's book, and all others a hop later."""
        if self.born[call.leaf] != born:
            return
        self.born[call.leaf] += 1
        owner = self.holds[LEAVES.index(call.leaf) % NODES]
        owner.crashed(call.leaf, str(born), [str(call.fingerprint)], self.now)
        self.spread(owner)

    def spread(self, owner: HoldTable) -> None:
        snapshot = owner.snapshot(self.now)
        for other in self.holds:
            self.at(HOP_S, lambda other=other: other.merge(snapshot, self.now))

    def end(self, number: int, call: LeafCall, outcome: CallOutcome) -> None:
        owner = self.holds[LEAVES.index(call.leaf) % NODES]
        body = b""
        if outcome is CallOutcome.OK:
            if owner.succeeded(str(call.fingerprint), call.leaf, self.now):
                self.spread(owner)
            body = msgspec.json.encode(
                {
                    "leaf": call.leaf,
                    "incarnation": "i",
                    "snapshot": SNAPSHOT,
                    "shards": [0],
                    "of": 1,
                    "hits": [],
                }
            )
        result = LeafResult(call.call_id, outcome, body, 0.0, 0.0, 0.0)
        book = self.books[number]
        self.at(2 * HOP_S, lambda: self.take(number, query.take_result(book, result, self.now)))

    @property
    def crashes(self) -> int:
        return sum(self.born.values())


def crashes_of(way: str, killer: Killer, sends: int = 6, gap_s: float = 1.0, seed: int = 1) -> int:
    """Return the leaves lost to a killer sent through one node after another."""
    world = World(way=way, seed=seed, killer=killer)
    for number in range(sends):
        world.send(number % NODES, KILLER)
        world.run(world.now + gap_s)
    world.run(world.now + 5.0)
    assert len(world.answers) == sends
    return world.crashes


def latencies(way: str, repeated: float, seed: int, count: int = 5000) -> tuple[list[float], int]:
    """Return the sorted latencies of complete answers and all leaf calls.

    `repeated` is the share of queries that repeat one of the last 200.
    """
    world = World(way=way, seed=seed, killer=Killer((), 0.0))
    rng = random.Random(seed)
    recent: deque[int] = deque(maxlen=200)
    for number in range(count):
        old = bool(recent) and rng.random() < repeated
        fingerprint = rng.choice(recent) if old else 10 + number
        recent.append(fingerprint)
        world.send(rng.randrange(NODES), fingerprint)
        world.run(world.now + rng.expovariate(1 / EVERY_S))
    world.run(world.now + 5.0)
    done = [
        at - world.started[req_id]
        for req_id, (at, answer) in world.answers.items()
        if answer.code is ResultCode.COMPLETE
    ]
    assert len(done) == count
    return sorted(done), world.calls


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    everywhere = SERVICES
    for way in WAYS:
        quick = crashes_of(way, Killer(everywhere, MEDIAN_S / 2), seed=seed)
        slow = crashes_of(way, Killer(everywhere, 0.2), seed=seed)
        one = crashes_of(way, Killer(("s4",), MEDIAN_S), seed=seed)
        half = crashes_of(way, Killer(everywhere[5:], MEDIAN_S), seed=seed)
        at_once = crashes_of(way, Killer(everywhere, 0.2), gap_s=0.0, seed=seed)
        print(f"{way}: leaves crashed: all services quick {quick}, slow {slow}, one service {one},")
        print(f"  half of the services {half}, six sendings at once {at_once}")
        for repeated in (0.0, 0.5, 0.9):
            took, calls = latencies(way, repeated, seed)
            p50, p99, p999 = (took[int(len(took) * q)] * 1000 for q in (0.5, 0.99, 0.999))
            extra = calls / (len(took) * len(SERVICES)) - 1
            print(
                f"  repeated {repeated:.0%}: p50 {p50:.1f} p99 {p99:.1f} p99.9 {p999:.1f} ms,"
                f" extra calls {extra:.1%}"
            )


if __name__ == "__main__":
    main()
