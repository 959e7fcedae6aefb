"""Leaves that come back cold before this node has read that they have started again."""

from __future__ import annotations

import unittest

from cactussaddle_core.edge import events as ev
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from cactussaddle_core.routing.model import ServiceSpec
from cactussaddle_core.routing.table import RoutingTable
from tests.core.edge.leafbehavior import CallOutcome
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World
from tests.core.edge.world import leaf_name

COLD_PER_S = 10.0
NOT_CONNECTED = ProbeResult(ProbeOutcome.NOT_CONNECTED, "", False, None, 0.0)


class ColdReturnTest(unittest.TestCase):
    def test_leaves_that_are_down_get_more_calls_than_cold_ones_may(self):
        world = World()
        services = [f"s{number}" for number in range(10)] + ["orders"]
        specs = [ServiceSpec(name, "/health", 46, 3.0, COLD_PER_S) for name in services]
        world.feed(ev.TableSeen(RoutingTable(version=2, routes=world.routes, services=specs)))
        for domain in DOMAINS:
            name = leaf_name("s0", domain)
            world.behaviors[name] = lambda now, rng: CallOutcome(0.0, CallEnding.NOT_SENT)
            world.probe_factor[name] = lambda now: None
            world.feed(ev.ProbeEnded(name, NOT_CONNECTED))
        world.load(40.0, 3.0)
        leaf = world.leaf("s0", DOMAINS[0])
        times = [at for at, name, _ in world.sent if name == leaf.name]
        most = max(
            (sum(1 for at in times if start <= at < start + 1.0) for start in times), default=0
        )
        self.assertLessEqual(most, world.state.cold_calls(leaf, world.now))


if __name__ == "__main__":
    unittest.main()
