from __future__ import annotations

import unittest

from cactussaddle_core.hold import HoldTable
from cactussaddle_core.hold import Verdict
from cactussaddle_core.hold import table as hold_table


def service_of(leaf):
    return leaf.rsplit("-", 1)[0]


def tables(count=3):
    return [HoldTable(node=f"n{i}", service_of=service_of) for i in range(count)]


def exchange(nodes, now):
    """Exchange snapshots until no node learns anything new."""
    changed = True
    while changed:
        changed = False
        for sender in nodes:
            snapshot = sender.snapshot(now)
            for peer in nodes:
                if peer is not sender:
                    changed |= peer.merge(snapshot, now)


class HoldTest(unittest.TestCase):
    def test_held_on_all_nodes_after_the_second_crash(self):
        nodes = tables()
        nodes[0].crashed("s1-a", "1", ["killer"], 0.0)
        exchange(nodes, 0.1)
        self.assertEqual({node.verdict("killer", 0.2) for node in nodes}, {Verdict.TRY_ALONE})
        nodes[1].crashed("s1-b", "1", ["killer"], 1.0)
        exchange(nodes, 1.1)
        self.assertEqual({node.verdict("killer", 1.2) for node in nodes}, {Verdict.HOLD})
        self.assertGreater(nodes[2].retry_after_s("killer", 1.2), 0.0)

    def test_one_crash_reported_by_two_nodes_counts_once(self):
        nodes = tables()
        for node in nodes[:2]:
            node.crashed("s1-a", "1", ["killer"], 0.0)
        exchange(nodes, 0.1)
        self.assertEqual({node.verdict("killer", 0.2) for node in nodes}, {Verdict.TRY_ALONE})

    def test_innocent_request_on_two_crashed_leaves_is_tried_and_cleared(self):
        nodes = tables()
        nodes[0].succeeded("innocent", "s3-a", 0.0)
        nodes[1].crashed("s1-a", "1", ["killer", "innocent"], 0.1)
        nodes[2].crashed("s2-a", "1", ["killer", "innocent"], 0.1)
        exchange(nodes, 0.2)
        self.assertEqual({node.verdict("killer", 0.3) for node in nodes}, {Verdict.HOLD})
        self.assertEqual({node.verdict("innocent", 0.3) for node in nodes}, {Verdict.TRY_ALONE})
        nodes[2].succeeded("innocent", "s1-b", 1.0)
        nodes[2].succeeded("innocent", "s2-b", 1.1)
        exchange(nodes, 1.2)
        self.assertEqual({node.verdict("innocent", 1.3) for node in nodes}, {Verdict.ALLOW})
        self.assertEqual({node.verdict("killer", 1.3) for node in nodes}, {Verdict.HOLD})

    def test_request_that_crashes_one_service_only_is_held(self):
        (node,) = tables(1)
        node.succeeded("killer", "s1-a", 0.0)
        node.crashed("s2-a", "1", ["killer"], 0.1)
        node.succeeded("killer", "s1-b", 1.0)
        self.assertEqual(node.verdict("killer", 1.1), Verdict.TRY_ALONE)
        node.crashed("s2-b", "1", ["killer"], 1.2)
        self.assertEqual(node.verdict("killer", 1.3), Verdict.HOLD)

    def test_old_clearance_does_not_clear_a_later_crash(self):
        first, second = tables(2)
        first.crashed("s1-a", "1", ["q"], 0.0)
        first.succeeded("q", "s1-b", 1.0)
        old = first.snapshot(1.0)
        first.crashed("s1-a", "2", ["q"], 10.0)
        first.crashed("s1-b", "1", ["q"], 11.0)
        second.merge(first.snapshot(11.0), 12.0)
        second.merge(old, 13.0)
        self.assertEqual(second.verdict("q", 14.0), Verdict.HOLD)

    def test_loss_of_a_failure_domain_holds_no_request(self):
        (node,) = tables(1)
        for leaf in range(10):
            node.crashed(f"s{leaf}-a", "1", ["q1"] if leaf < 5 else ["q2"], 0.0)
        self.assertEqual(node.verdict("q1", 0.5), Verdict.TRY_ALONE)
        self.assertEqual(node.verdict("q2", 0.5), Verdict.TRY_ALONE)

    def test_one_trial_at_a_time(self):
        (node,) = tables(1)
        node.crashed("s1-a", "1", ["q"], 0.0)
        self.assertTrue(node.begin_trial("q", 1.0))
        self.assertFalse(node.begin_trial("q", 1.1))
        node.end_trial("q")
        self.assertTrue(node.begin_trial("q", 1.2))

    def test_hold_becomes_a_trial_and_then_expires(self):
        (node,) = tables(1)
        node.crashed("s1-a", "1", ["q"], 0.0)
        node.crashed("s1-b", "1", ["q"], 0.0)
        self.assertEqual(node.verdict("q", hold_table.HOLD_S + 1), Verdict.TRY_ALONE)
        self.assertEqual(node.verdict("q", hold_table.PROBATION_S + 1), Verdict.ALLOW)

    def test_memory_is_bounded(self):
        (node,) = tables(1)
        for i in range(2 * hold_table.MAX_SUSPECTS):
            node.crashed("s1-a", str(i), [f"q{i}"], float(i) / 1000)
            node.succeeded(f"q{i}", "s1-b", float(i) / 1000)
        self.assertLessEqual(len(node.suspects), hold_table.MAX_SUSPECTS)
        self.assertLessEqual(len(node.own), hold_table.MAX_OWN_NOTES)
        self.assertLessEqual(len(node.crashes), hold_table.MAX_CRASHES)
