"""Retries of all nodes together while they are killed, start anew and lose their leases (review/5)."""

from __future__ import annotations

import math
import random
import unittest

from typing import NamedTuple

from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge.reduce import reduce
from cactussaddle_core.edge.state import HOUSEKEEPING_S
from cactussaddle_core.edge.state import EdgeIdentity
from cactussaddle_core.edge.state import EdgeRules
from cactussaddle_core.edge.state import EdgeState
from cactussaddle_core.limits.budget import BudgetRules
from cactussaddle_core.limits.cold import ColdRules
from cactussaddle_core.limits.roster import JOIN_S
from cactussaddle_core.limits.roster import RosterRecord
from cactussaddle_core.limits.roster import enrol
from cactussaddle_core.limits.roster import roster_record
from cactussaddle_core.spread.model import Member

RULES = BudgetRules(ratio=0.2, allowance=58.0, window_s=10.0)
SERVICE = "s"
RUNS = 40
RUN_S = 45.0
# A listing, or a change of the store's records, reaches a node within this time.
LAG_S = 1.0
TRIES = 3


class Plan(NamedTuple):
    """When the nodes are killed, when leases end, and when leaves reject requests, in seconds."""

    nodes: int
    per_s: float
    kills: tuple[float, ...]
    lapses: tuple[float, ...]
    rejects_from: float
    rejects_until: float


def draw(rng: random.Random) -> Plan:
    rejects_from = rng.uniform(12.0, 20.0)
    kills = rng.randrange(1, 4)
    return Plan(
        nodes=rng.randrange(1, 24),
        per_s=rng.uniform(5.0, 60.0),
        kills=tuple(sorted(rng.uniform(rejects_from, rejects_from + 14.0) for _ in range(kills))),
        lapses=tuple(rng.uniform(10.0, 35.0) for _ in range(rng.randrange(3))),
        rejects_from=rejects_from,
        rejects_until=rejects_from + rng.uniform(4.0, 20.0),
    )


class Node:
    """One node and its processes, each with a state of its own."""

    def __init__(self, *, name: str, world: World) -> None:
        self.name = name
        self.world = world
        self.state: EdgeState | None = None
        self.starts_at = 0.0
        self.pending: list[tuple[float, ev.Event]] = []

    def kill(self, now: float, delay_s: float) -> None:
        self.state = None
        self.pending.clear()
        self.starts_at = now + delay_s

    def start(self, now: float) -> None:
        rules = EdgeRules(RULES, ColdRules(1.5, 5.0))
        identity = EdgeIdentity(self.name, "north", {})
        self.state = EdgeState(me=identity, rules=rules, seed=1, started_at=now)
        self.register(now)
        rng = self.world.rng
        self.pending.append((now + LAG_S * rng.random(), ev.StoreBack("store", 1, 0.0)))
        self.world.list_to(self, now)

    def register(self, now: float) -> None:
        """Write this node's entry and, at its first registration, its record in the roster."""
        written_at = now + LAG_S * self.world.rng.random()
        assert self.state is not None
        self.pending.append((written_at, ev.Enrolled(self.world.enrol(self.name, now))))
        self.world.entered(self, written_at)

    def run(self, now: float) -> None:
        if self.state is None and now >= self.starts_at:
            self.start(now)
        due = [event for at, event in self.pending if at <= now]
        self.pending = [(at, event) for at, event in self.pending if at > now]
        if self.state is not None:
            for event in [*due, ev.Tick()]:
                reduce(self.state, event, now)

    def serve(self, now: float, rejects: bool) -> int:
        """Serve a request; return the extra calls that it makes."""
        assert self.state is not None
        budget = self.state.budget
        budget.count_request(SERVICE, now)
        return sum(budget.take(SERVICE, now) for _ in range(TRIES)) if rejects else 0


class World:
    """The nodes and what the store holds of them."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.plan = draw(self.rng)
        self.roster: dict[str, RosterRecord] = {}
        self.entries: dict[str, float] = {}
        self.nodes = [Node(name=f"n{number}", world=self) for number in range(self.plan.nodes)]
        self.asked: list[float] = []
        self.extras: list[float] = []

    def enrol(self, name: str, now: float):
        known = self.roster.get(name)
        process, now_ms = f"{name} {now}", 1000.0 * now
        enrolment = enrol(known, process, RULES.window_s, now_ms)
        self.roster[name] = roster_record(known, enrolment, process, now_ms)
        return enrolment

    def entered(self, node: Node, at: float) -> None:
        """Tell all nodes of a node's entry and record."""
        self.entries[node.name] = at
        news = (ev.RosterChanged(node.name, True), ev.MemberSeen(self.member(node.name)))
        for other in self.nodes:
            for event in news:
                other.pending.append((at + LAG_S * self.rng.random(), event))

    def list_to(self, node: Node, now: float) -> None:
        """Have a started node read a listing as it is now."""
        members = tuple(self.member(name) for name, at in self.entries.items() if at <= now)
        names = frozenset(self.roster) if now > 0.0 else frozenset[str]()
        at = now + LAG_S * self.rng.random()
        node.pending += [(at, ev.RosterListed(names)), (at, ev.MembersListed(members))]

    @staticmethod
    def member(name: str) -> Member:
        return Member(name, "127.0.0.1", 1, "north")

    def lapse(self, now: float) -> None:
        """End all leases; the nodes write their entries again, each after a while."""
        self.entries.clear()
        for node in self.nodes:
            for other in self.nodes:
                at = now + LAG_S * self.rng.random()
                node.pending.append((at, ev.MemberGone(other.name)))
            back_at = now + 2.0 + self.rng.uniform(0.0, 8.0)
            self.entries[node.name] = back_at
            for other in self.nodes:
                at = back_at + LAG_S * self.rng.random()
                other.pending.append((at, ev.MemberSeen(self.member(node.name))))

    def play(self) -> None:
        plan = self.plan
        kills, lapses = list(plan.kills), sorted(plan.lapses)
        now, ask_at = 0.0, 0.0
        while now < RUN_S:
            if kills and now >= kills[0]:
                kills.pop(0)
                for node in self.nodes:
                    node.kill(now, self.rng.uniform(0.5, 2.0))
            if lapses and now >= lapses[0]:
                lapses.pop(0)
                self.lapse(now)
            for node in self.nodes:
                node.run(now)
            while ask_at <= now:
                ask_at += self.rng.expovariate(plan.per_s)
                self.ask(now)
            now += HOUSEKEEPING_S / 2.0

    def ask(self, now: float) -> None:
        node = self.rng.choice(self.nodes)
        self.asked.append(now)
        if node.state is not None:
            rejects = self.plan.rejects_from <= now < self.plan.rejects_until
            self.extras += [now] * node.serve(now, rejects)

    def worst(self) -> float:
        """Return by how many extra calls the worst window exceeds what the rule allows."""
        return max((self._over(start) for start in set(self.extras)), default=-math.inf)

    def _over(self, start: float) -> float:
        window_s = RULES.window_s
        spent = sum(1 for at in self.extras if start <= at < start + window_s)
        asked = max(
            sum(1 for at in self.asked if start - back <= at < start - back + window_s)
            for back in (0.0, window_s / 2.0, window_s)
        )
        return spent - RULES.ratio * asked - RULES.allowance


class SharesTest(unittest.TestCase):
    """No order of kills, starts and ends of leases has the nodes spend more than the budget (BUDGET)."""

    def test_nodes_that_start_anew_spend_more_than_the_budget(self) -> None:
        for seed in range(RUNS):
            world = World(seed=seed)
            world.play()
            with self.subTest(seed=seed, plan=world.plan):
                self.assertLessEqual(world.worst(), 0.0)

    def test_retries_are_made_after_all_were_killed(self) -> None:
        made = 0
        for seed in range(RUNS):
            world = World(seed=seed)
            world.play()
            made += sum(1 for at in world.extras if at > world.plan.kills[0] + 2.0)
        self.assertGreater(made, RUNS)

    def test_a_node_without_a_share_calls_no_cold_leaf_and_retries_by_its_own_requests_alone(
        self,
    ) -> None:
        identity = EdgeIdentity("n0", "north", {})
        state = EdgeState(me=identity, rules=EdgeRules(RULES, ColdRules(1.5, 5.0)), seed=1)
        reduce(state, ev.MembersListed((World.member("n0"),)), 1.0)
        reduce(state, ev.Tick(), 1.0)
        self.assertEqual((state.share_count(1.0), state.budget.left(SERVICE, 1.0)), (math.inf, 0.0))
        for _ in range(100):
            state.budget.count_request(SERVICE, 1.0)
        self.assertAlmostEqual(state.budget.left(SERVICE, 1.0), 0.8 * 0.2 * 100)
        self.assertEqual(state.sharing_nodes(1.0 + JOIN_S), frozenset())


if __name__ == "__main__":
    unittest.main()
