from __future__ import annotations

import random
import unittest

from cactussaddle_core.limits.budget import BudgetRules
from cactussaddle_core.limits.budget import RetryBudget
from cactussaddle_core.limits.cold import ColdMeter
from cactussaddle_core.limits.cold import ColdRules
from cactussaddle_core.limits.cold import calls_per_second
from cactussaddle_core.limits.members import RecentMembers

RULES = BudgetRules(ratio=0.2, allowance=56.0, window_s=10.0)


class RetryBudgetTest(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_budget_in_any_window(self):
        rng = random.Random(7)
        nodes = [RetryBudget(rules=RULES, nodes=8) for _ in range(8)]
        requests: list[float] = []
        extras: list[float] = []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(60.0 if 20.0 < now < 30.0 else 15.0)
            node = rng.choice(nodes)
            node.count_request("s", now)
            requests.append(now)
            for _ in range(2):
                if node.take("s", now):
                    extras.append(now)
        for start in range(0, 50):
            seen = sum(1 for at in requests if start <= at < start + 10)
            spent = sum(1 for at in extras if start <= at < start + 10)
            self.assertLessEqual(spent, 0.2 * seen + 56.0)

    def test_a_call_that_was_never_sent_is_refunded(self):
        budget = RetryBudget(rules=RULES, nodes=8)
        left = budget.left("s", 1.0)
        self.assertTrue(budget.take("s", 1.0))
        budget.refund("s", 1.2)
        self.assertEqual(budget.left("s", 1.3), left)

    def test_hedges_leave_a_reserve_for_retries(self):
        budget = RetryBudget(rules=RULES._replace(allowance=2.0 / 0.8), nodes=1)
        self.assertFalse(budget.take("s", 1.0, reserve=1.5))
        self.assertTrue(budget.take("s", 1.0, reserve=1.0))
        self.assertTrue(budget.take("s", 1.0))
        self.assertFalse(budget.take("s", 1.0))

    def test_each_service_has_its_own_budget(self):
        budget = RetryBudget(rules=RULES._replace(allowance=1.0 / 0.8), nodes=1)
        self.assertTrue(budget.take("a", 1.0))
        self.assertTrue(budget.take("b", 1.0))


class ColdTest(unittest.TestCase):
    def test_the_shares_of_all_nodes_stay_within_the_cold_limit(self):
        rules = ColdRules(over=1.5, slack=5.0)
        for count in (1, 3, 9, 67, 600):
            members = [f"n{number}" for number in range(count)]
            for rate in (0.5, 4.0, 40.0):
                total = sum(calls_per_second(rules, rate, "leaf", n, members) for n in members)
                self.assertLessEqual(total, rate * 1.5 + 5.0)
                self.assertGreater(total, 0)

    def test_the_meter_counts_the_last_second(self):
        meter = ColdMeter()
        for at in (1.0, 1.5, 1.9):
            meter.record_call(at)
        self.assertEqual((meter.count(1.95), meter.count(2.2), meter.count(4.0)), (3, 2, 0))


class RecentMembersTest(unittest.TestCase):
    def test_members_that_left_count_for_a_while(self):
        members = RecentMembers()
        members.saw([f"n{number}" for number in range(9)], 0.0)
        members.saw(["n0", "n1", "n2"], 10.0)
        self.assertEqual((members.count(11.0), members.count(26.0)), (9, 3))
        self.assertEqual(members.names(26.0), ["n0", "n1", "n2"])

    def test_entries_that_lapse_make_the_shares_of_a_cold_leaf_too_large(self):
        names = [f"n{number}" for number in range(9)]
        rules = ColdRules(over=1.5, slack=5.0)
        members = {name: RecentMembers() for name in names}
        for name in names:
            members[name].saw(names, 0.0)
            members[name].saw([name], 10.0)
        shares = [
            calls_per_second(rules, 10.0, "leaf", name, members[name].names(11.0)) for name in names
        ]
        self.assertLessEqual(sum(shares), 10.0 * rules.over + rules.slack)

    def test_a_member_that_is_back_counts_once(self):
        members = RecentMembers()
        members.saw(["n0", "n1"], 0.0)
        members.saw(["n0"], 10.0)
        members.saw(["n0", "n1"], 12.0)
        self.assertEqual(members.names(13.0), ["n0", "n1"])


class RestartTest(unittest.TestCase):
    def test_nodes_that_all_restart_spend_the_allowance_twice(self):
        spent: list[float] = []
        asked: list[float] = []
        for started_at, begin, until in ((-100.0, 0.0, 20.0), (21.0, 21.0, 40.0)):
            nodes = [RetryBudget(rules=RULES, nodes=8, started_at=started_at) for _ in range(8)]
            now = begin
            while now < until:
                for node in nodes:
                    node.count_request("s", now)
                    asked.append(now)
                    if now > 16.5:
                        spent += [now for _ in range(2) if node.take("s", now)]
                now += 0.25
        for start in spent:
            extras = sum(1 for at in spent if start <= at < start + 10.0)
            requests = max(
                sum(1 for at in asked if start - back <= at < start - back + 10.0)
                for back in (0.0, 5.0, 10.0)
            )
            self.assertLessEqual(extras, RULES.ratio * requests + RULES.allowance)

    def test_a_restarted_node_has_its_whole_allowance_after_one_window(self):
        node = RetryBudget(rules=RULES, nodes=8, started_at=0.0)
        self.assertLess(node.left("s", 9.0), 0.3 * node.left("s", 11.0))
