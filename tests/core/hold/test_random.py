"""Stateful random test of the hold tables of several nodes that exchange snapshots."""

from __future__ import annotations

import unittest

from unittest import mock

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from cactussaddle_core.hold import HoldTable
from cactussaddle_core.hold import Verdict
from cactussaddle_core.hold import table as hold_table

NODES = ("n0", "n1", "n2")
LEAVES = ("s1-a", "s1-b", "s2-a")
KILLER = "killer"
INNOCENTS = ("q0", "q1")
SETTINGS = settings(
    max_examples=200,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
NODE = st.sampled_from(NODES)
INDEX = st.integers(min_value=0, max_value=63)


class Breach(AssertionError):
    pass


def service_of(leaf):
    return leaf.rsplit("-", 1)[0]


class HoldMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.tables = {name: HoldTable(node=name, service_of=service_of) for name in NODES}
        self.born = dict.fromkeys(LEAVES, 1)
        self.messages = []
        self.killer_crashes = set()
        self.crashed_with: dict[str, set] = {name: set() for name in INNOCENTS}

    def spread(self, name):
        snapshot = self.tables[name].snapshot(self.now)
        self.messages += [(peer, snapshot) for peer in NODES if peer != name]

    def merge(self, name, snapshot):
        if self.tables[name].merge(snapshot, self.now):
            self.spread(name)

    @rule(
        node=NODE,
        leaf=st.sampled_from(LEAVES),
        killer=st.booleans(),
        others=st.sets(st.sampled_from(INNOCENTS)),
        also=st.sampled_from((None, *NODES)),
    )
    def crash(self, node, leaf, killer, others, also):
        incarnation = str(self.born[leaf])
        self.born[leaf] += 1
        running = {*others, KILLER} if killer else others
        for observer in {node, also} - {None}:
            self.tables[observer].crashed(leaf, incarnation, running, self.now)
            self.spread(observer)
        if killer:
            self.killer_crashes.add((leaf, incarnation))
        for name in others:
            self.crashed_with[name].add((leaf, incarnation))

    @rule(node=NODE, leaf=st.sampled_from(LEAVES), name=st.sampled_from(INNOCENTS))
    def succeed(self, node, leaf, name):
        if self.tables[node].succeeded(name, leaf, self.now):
            self.spread(node)

    @precondition(lambda self: self.messages)
    @rule(index=INDEX, keep=st.booleans())
    def deliver(self, index, keep):
        index %= len(self.messages)
        name, snapshot = self.messages[index] if keep else self.messages.pop(index)
        self.merge(name, snapshot)

    @precondition(lambda self: self.messages)
    @rule(index=INDEX)
    def lose(self, index):
        self.messages.pop(index % len(self.messages))

    @rule(seconds=st.sampled_from([0.1, 3.0, 30.0]))
    def advance(self, seconds):
        self.now += seconds

    def teardown(self):
        """Deliver every node's newest snapshot to all others, as gossip does eventually."""
        for _ in range(3):
            for name in NODES:
                self.spread(name)
            while self.messages:
                self.merge(*self.messages.pop(0))
        for fingerprint in (KILLER, *INNOCENTS):
            verdicts = {table.verdict(fingerprint, self.now) for table in self.tables.values()}
            self.check(fingerprint, verdicts)

    def check(self, fingerprint, verdicts):
        if len(verdicts) > 1:
            raise Breach(f"{fingerprint}: {verdicts}")
        if fingerprint == KILLER and len(self.killer_crashes) >= 2 and Verdict.HOLD not in verdicts:
            raise Breach(f"killer after {len(self.killer_crashes)} crashes: {verdicts}")
        if fingerprint == KILLER:
            return
        if len(self.crashed_with[fingerprint]) < 2 and Verdict.HOLD in verdicts:
            raise Breach(f"{fingerprint} held after one crash")


def run_machine(chosen=SETTINGS):
    run_state_machine_as_test(HoldMachine, settings=chosen)


class RandomTest(unittest.TestCase):
    def test_nodes_agree_and_the_crashing_request_is_held(self):
        run_machine()

    def assert_detected(self):
        only_find = settings(SETTINGS, phases=[Phase.generate], max_examples=400)
        with self.assertRaises(Breach):
            run_machine(only_find)

    def test_detects_counting_each_report_as_a_crash(self):
        original = HoldTable._add_report

        def count_twice(self, strike, now):
            original(self, strike._replace(incarnation=f"{strike.incarnation}/{now}"), now)

        with mock.patch.object(HoldTable, "_add_report", count_twice):
            self.assert_detected()

    def test_detects_a_success_that_clears_all_crashes(self):
        original = HoldTable.merge

        def forget(self, snapshot, now):
            changed = original(self, snapshot, now)
            for clearance in snapshot.clearances:
                self.suspects.pop(clearance.fingerprint, None)
            return changed

        with mock.patch.object(HoldTable, "merge", forget):
            self.assert_detected()

    def test_detects_a_second_crash_that_does_not_hold(self):
        with mock.patch.object(hold_table, "HOLD_AT_CRASHES", 3):
            self.assert_detected()
