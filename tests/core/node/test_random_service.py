"""Random runs of serving nodes: domains and leaves leave and return, nodes stop, faults occur."""

from __future__ import annotations

import unittest

from unittest import mock

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from cactussaddle_core import moves
from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.node import stopping
from cactussaddle_core.node.state import NodeState
from tests.core.node.fleet import MAX_SKEW_S
from tests.core.node.fleet import Fleet

NODES = ("n0", "n1", "n2", "n3")
SETTINGS = settings(
    max_examples=20,
    stateful_step_count=25,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
NODE = st.sampled_from(NODES)
DOMAIN = st.sampled_from(["d1", "d2"])
SECONDS = st.sampled_from([0.1, 0.5, 2.0])
LASTS = st.sampled_from([0.5, 10.0])


class PlanMachine(RuleBasedStateMachine):
    """Operators take domains out of service and back, and remove leaves, under load."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(nodes=len(NODES), seed=1, loss=0.0)

    @rule(seconds=st.sampled_from([0.5, 2.0]))
    def work(self, seconds):
        self.fleet.run(seconds)

    @rule()
    def work_long(self):
        self.fleet.run(5.0)

    @rule(domain=DOMAIN, lead_s=SECONDS, lasts_s=LASTS)
    def domain_out(self, domain, lead_s, lasts_s):
        self.fleet.plan(MoveKind.DOMAIN_OUT, domain, lead_s, lasts_s)

    @rule(domain=DOMAIN, lead_s=SECONDS, lasts_s=LASTS)
    def domain_in(self, domain, lead_s, lasts_s):
        self.fleet.plan(MoveKind.DOMAIN_IN, domain, lead_s, lasts_s)

    @rule(leaf=st.sampled_from(["s1-1", "s1-2"]), lead_s=SECONDS, lasts_s=LASTS)
    def leave(self, leaf, lead_s, lasts_s):
        self.fleet.plan(MoveKind.LEAVE, leaf, lead_s, lasts_s)


class StopMachine(PlanMachine):
    """The same, with nodes that stop while leaves are slow."""

    @rule(node=NODE)
    def stop(self, node):
        self.fleet.stop(node)

    @rule(slow_s=st.sampled_from([0.0, 0.2, 2.0]))
    def slow_leaves(self, slow_s):
        self.fleet.slow_s = slow_s

    @rule(calls=st.sampled_from([1, 3, 6]))
    def load(self, calls):
        self.fleet.calls_per_step = calls


class SlowStopMachine(StopMachine):
    """The same, starting with slow leaves, so that requests are open when a node stops."""

    def __init__(self):
        super().__init__()
        self.fleet.slow_s = 1.0


class ServiceMachine(StopMachine):
    """The same, with crashes, pauses, clock skew, message loss, partitions and store outages."""

    @rule()
    def recover(self):
        self.fleet.end_faults()
        self.fleet.run(2.0)

    @rule(node=NODE)
    def kill(self, node):
        self.fleet.start(node)

    @rule(node=NODE)
    def pause_or_wake(self, node):
        self.fleet.pause_or_wake(node)

    @rule(node=NODE)
    def nap(self, node):
        if node not in self.fleet.paused:
            self.fleet.pause_or_wake(node)
            self.fleet.run(6.0)
            self.fleet.pause_or_wake(node)

    @rule(node=NODE, skew_s=st.sampled_from([-MAX_SKEW_S, 0.0, MAX_SKEW_S]))
    def shift_clock(self, node, skew_s):
        self.fleet.skew[node] = skew_s

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose(self, loss):
        self.fleet.loss = loss

    @rule(domains=st.sampled_from([frozenset(), frozenset(["d1"])]))
    def part(self, domains):
        self.fleet.part(domains)

    @rule(up=st.booleans())
    def store(self, up):
        self.fleet.store_up = up

    def teardown(self):
        self.fleet.settle()


def run_machine(machine=ServiceMachine, chosen=SETTINGS):
    run_state_machine_as_test(machine, settings=chosen)


class ServiceRunTest(unittest.TestCase):
    def test_no_new_work_for_drained_leaves_and_no_request_cut_by_a_stop(self):
        run_machine()

    def assert_found(self, machine, message):
        only_find = settings(SETTINGS, phases=[Phase.generate], max_examples=100)
        with self.assertRaisesRegex(AssertionError, message):
            try:
                run_machine(machine, only_find)
            except Exception as exc:
                raise AssertionError(repr(exc)) from exc

    def assert_found_when_ignoring(self, kind, message):
        leaf_state = moves.leaf_state

        def ignoring(cfg, name, wall, taken_back):
            of_kind = {move["id"] for move in cfg.moves.values() if move["kind"] == kind}
            return leaf_state(cfg, name, wall, taken_back | of_kind)

        with mock.patch.object(moves, "leaf_state", ignoring):
            self.assert_found(PlanMachine, message)

    def test_found_when_the_plan_allows_work_in_a_domain_out_of_service(self):
        self.assert_found_when_ignoring(MoveKind.DOMAIN_OUT, "domain-out: new work for")

    def test_found_when_the_plan_allows_work_at_a_leaving_leaf(self):
        self.assert_found_when_ignoring(MoveKind.LEAVE, "leaf-leaving: new work for")

    def test_found_when_a_stop_does_not_wait_for_requests(self):
        with mock.patch.object(NodeState, "idle", lambda state: True):
            self.assert_found(SlowStopMachine, "graceful-stop: .* cut by the stop")

    def test_found_when_a_stop_does_not_wait_for_the_balancer(self):
        with (
            mock.patch.object(stopping, "BALANCER_LAG_S", 0.0),
            mock.patch.object(stopping, "SETTLED_HEARD_S", 0.0),
        ):
            self.assert_found(StopMachine, "callers still come")
