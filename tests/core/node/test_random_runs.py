"""Random runs of several nodes: the newest configuration reaches all nodes and never reverts.

The nodes are in three failure domains, of which at most one at a time is partitioned.
"""

from __future__ import annotations

import unittest

from unittest import mock

from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cactussaddle_core.exceptions import InvariantError
from cactussaddle_core.node import documents
from tests.core.node.world import World

NODES = 6
DOMAINS = 3
IN_FORCE_S = 7.0
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["accept", "replay", "restart", "wait", "part", "pause"]),
        st.integers(0, NODES - 1),
        st.integers(1, 8),
    ),
    max_size=14,
)


SETTINGS = settings(max_examples=25, derandomize=True, database=None, deadline=None)


def run_steps(steps, seed):
    world = World(nodes=NODES, seed=seed, loss=0.2, domains=DOMAINS)
    world.run(1.0)
    world.accept(["n0"])
    for kind, number, amount in steps:
        name = f"n{number}"
        if kind == "accept":
            world.accept([name])
        elif kind == "replay":
            world.replay(name, amount)
        elif kind == "restart" and number != 0:
            world.start(name)
        elif kind == "part":
            world.parted = frozenset() if world.parted else frozenset([world.nodes[name].me.domain])
            world.run(amount / 2.0)
        elif kind == "pause" and number != 0:
            world.paused ^= {name}
        else:
            world.run(amount / 10.0)
    world.parted = frozenset()
    world.paused.clear()
    world.accept(["n0"])
    world.run(IN_FORCE_S)
    revisions = {name: state.cfg.revision for name, state in world.nodes.items()}
    assert set(revisions.values()) == {world.accepted}, revisions


def run(phases=tuple(Phase)):
    @settings(SETTINGS, phases=phases)
    @given(STEPS, st.integers(0, 1000))
    def test(steps, seed):
        run_steps(steps, seed)

    test()


class ConfigurationRunTest(unittest.TestCase):
    def test_the_newest_configuration_reaches_all_nodes_in_time_and_none_reverts(self):
        run()

    def test_without_the_revision_check_a_run_finds_the_breach(self):
        with (
            mock.patch.object(documents, "is_newer", lambda cfg, state: True),
            self.assertRaises((InvariantError, AssertionError, ExceptionGroup)),
        ):
            run([Phase.generate])
