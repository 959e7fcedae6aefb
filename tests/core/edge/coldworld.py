"""Leaves that crash and come back cold, called by several nodes that learn of it at different times."""

from __future__ import annotations

import functools
import random

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from cactussaddle_core.edge import events as ev
from cactussaddle_core.fanout.model import CallEnd
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from cactussaddle_core.routing.model import ServiceSpec
from cactussaddle_core.routing.table import RoutingTable
from tests.core.edge.fleetworld import FleetNode
from tests.core.edge.fleetworld import FleetWorld
from tests.core.edge.leafbehavior import CallOutcome
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import entry
from tests.core.edge.world import gather_route
from tests.core.edge.world import leaf_name

if TYPE_CHECKING:
    from cactussaddle_core.fleet.model import LeafEntry
    from cactussaddle_core.spread.model import Member

COLD_PER_S = 10.0
COLD_S = 3.0
WORK_S = 0.02
SERVICE = "s0"
SHARDS = 3
LEAST = 0.6


class Met(NamedTuple):
    """A call as it was sent and as it arrived."""

    sent_at: float
    arrived_at: float


def _within(calls: list[Met], start: float) -> int:
    until = start + 1.0
    return sum(1 for call in calls if start <= call.sent_at and call.arrived_at < until)


class ColdLeaf:
    """One leaf of the watched shard, as all nodes meet it; it accepts connections after `accept_s`."""

    def __init__(self, *, domain: str) -> None:
        self.name = leaf_name(SERVICE, domain)
        self.domain = domain
        self.up = True
        self.born = 1
        self.back_at = -1.0
        self.cold_until = 0.0
        self.accept_s = 0.0
        self.calls: list[Met] = []

    def cold_left_s(self, now: float) -> float:
        return max(0.0, self.cold_until - now)

    def entry(self, now: float) -> LeafEntry:
        return entry(SERVICE, self.domain, born_ms=self.born, cold_left_s=self.cold_left_s(now))

    def worst_second(self) -> int:
        """Return the most requests that were sent and arrived within a second while the leaf was cold."""
        cold = [call for call in self.calls if self.back_at <= call.arrived_at <= self.cold_until]
        starts = [call.sent_at for call in cold]
        return max((_within(cold, start) for start in starts), default=0)


class ColdNode(FleetNode):
    """A node that calls the leaves of its `fleet`."""

    fleet: ColdWorld

    def __init__(self, *, fleet: ColdWorld, number: int, nodes: int) -> None:
        super().__init__(fleet=fleet, number=number, nodes=nodes)
        self.routes[0] = gather_route(SHARDS, least=LEAST)

    def load_all(self, registered: tuple[Member, ...] | None = None) -> None:
        """Load the records; `registered` are the nodes whose leases have not ended, None: all."""
        members = self.members(self._nodes)
        self.feed(ev.TableSeen(self.table(1, self._services)))
        self.enrol(members if registered is None else registered, shared_by=members)
        now = self.now
        cold = {leaf.name: leaf.entry(now) for leaf in self.fleet.leaves.values()}
        listed = tuple(cold.get(found.leaf, found) for found in self.leaves())
        self.feed(ev.LeavesListed(listed))

    def table(self, version: int, services: list[str]) -> RoutingTable:
        specs = [ServiceSpec(name, "/h", 46, 3.0, COLD_PER_S) for name in services]
        return RoutingTable(version=version, routes=self.routes, services=specs)

    def _send(self, call: Any) -> None:
        leaf = self.fleet.leaves.get(call.leaf.name)
        if leaf is not None:
            self.behaviors[leaf.name] = functools.partial(self._meet, leaf)
        super()._send(call)

    def _meet(self, leaf: ColdLeaf, now: float, rng: random.Random) -> CallOutcome:
        if not leaf.up:
            return CallOutcome(0.0, CallEnding.NOT_SENT)
        wait_s = leaf.accept_s * rng.random()
        leaf.calls.append(Met(now, now + wait_s))
        return CallOutcome(wait_s + WORK_S)

    def _probe(self, leaf: Any) -> None:
        met = self.fleet.leaves.get(leaf.name)
        if met is None:
            super()._probe(leaf)
            return
        self.later(self._trip_s(leaf), functools.partial(self._answer_probe, met))

    def _answer_probe(self, leaf: ColdLeaf) -> None:
        health = ProbeResult(ProbeOutcome.NOT_CONNECTED, "", False, None, 0.0)
        if leaf.up:
            left_s = leaf.cold_left_s(self.now) or None
            health = ProbeResult(ProbeOutcome.ANSWERED, leaf.name, True, left_s, 0.007)
        self.feed(ev.ProbeEnded(leaf.name, health))

    def lose_calls(self, leaf: ColdLeaf) -> None:
        """End the open calls to a leaf that has crashed."""
        for call in list(self.state.fanout.calls.values()):
            if call.leaf.name == leaf.name:
                self.feed(ev.CallEnded(CallEnd(call.call_id, CallEnding.BROKEN, "reset")))


class ColdWorld(FleetWorld[ColdNode]):
    """Nodes under an even load; a change of an entry reaches each of them within `lag_s`."""

    def __init__(self, *, seed: int, nodes: int, per_s: float, lag_s: float) -> None:
        super().__init__(loss=0.1)
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.lag_s = lag_s
        self.leaves = {leaf.name: leaf for leaf in (ColdLeaf(domain=d) for d in DOMAINS)}
        self.nodes = [ColdNode(fleet=self, number=n, nodes=nodes) for n in range(nodes)]
        for node in self.nodes:
            node.load_all()

    def serve(self, seconds: float) -> None:
        """Run under load."""
        until = self.now + seconds
        while self.now < until:
            self.rng.choice(self.nodes).ask()
            self.run(self.rng.expovariate(self.per_s))

    def crash(self) -> None:
        """Crash all leaves of the shard."""
        for leaf in self.leaves.values():
            leaf.up = False
            for node in self.nodes:
                node.lose_calls(leaf)

    def restart_after_lapse(self) -> None:
        """Start all nodes anew while all leases have ended: each reads no more than its own entry."""
        for number, node in enumerate(self.nodes):
            fresh = ColdNode(fleet=self, number=number, nodes=len(self.nodes))
            fresh.now = node.now
            own = [one for one in fresh.members(len(self.nodes)) if one.node == fresh.name]
            fresh.load_all(tuple(own))
            self.nodes[number] = fresh

    def come_back(self) -> None:
        """Start the leaves of the shard again, cold; the nodes read of it one after the other."""
        for leaf in self.leaves.values():
            leaf.up = True
            leaf.born += 1
            leaf.back_at = self.now
            leaf.cold_until = self.now + COLD_S
        for node in self.nodes:
            node.later(self.lag_s * self.rng.random(), functools.partial(self._tell, node))

    def _tell(self, node: ColdNode) -> None:
        for leaf in self.leaves.values():
            node.feed(ev.LeafChanged(leaf.entry(node.now)))
