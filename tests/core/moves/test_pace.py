from __future__ import annotations

import unittest

from cactussaddle_core.moves.pace import full_share_at
from cactussaddle_core.moves.pace import too_short_reason
from cactussaddle_core.node.traffic import RECENT_S
from cactussaddle_core.node.traffic import Traffic
from tests.core.moves.measure import CASES
from tests.core.moves.model import MOVE
from tests.core.moves.model import START
from tests.core.moves.model import Fleet
from tests.core.moves.model import build

GOOD = CASES[0]
SEED = 1


class PaceTest(unittest.TestCase):
    def test_move_must_have_time_for_sixty_calls_at_the_canary_share(self):
        move = build(60.0).moves[MOVE]
        self.assertEqual(too_short_reason(move, 0.0, 0.0, 80.0), "")
        reason = too_short_reason(move, 0.0, 0.0, 10.0)
        self.assertIn("needs 60 calls at a share of 5%", reason)
        self.assertIn("at 10.0 calls a second to the service 60 s are too short", reason)
        self.assertIn("60 s", too_short_reason(move, 0.0, 0.0, 0.0))
        self.assertEqual(too_short_reason(build(600.0).moves[MOVE], 0.0, 0.0, 10.0), "")

    def test_earlier_calls_count(self):
        move = build(60.0).moves[MOVE]
        late = START + 45.0
        self.assertNotEqual(too_short_reason(move, late, 0.0, 80.0), "")
        self.assertEqual(too_short_reason(move, late, 300.0, 80.0), "")

    def test_only_a_move_reported_at_risk_is_taken_back(self):
        for rate, done in ((20.0, False), (80.0, True)):
            with self.subTest(rate=rate):
                fleet = Fleet(case=GOOD, seed=SEED, rate=rate)
                move = fleet.tables["n0"].cfg.moves[MOVE]
                self.assertEqual(full_share_at(move, 0.0, 0.0, rate) is not None, done)
                while fleet.now < START + 30.0:
                    fleet.step()
                risk = fleet.tables["n0"].at_risk(move, fleet.now)
                self.assertEqual(risk == "", done, risk)
                reason = fleet.tables["n0"].status(move, fleet.now).reason
                self.assertEqual("at risk" in reason, not done)
                self.assertEqual(fleet.run().state, "done" if done else "taken back")


class TrafficTest(unittest.TestCase):
    def test_recent_call_rate(self):
        traffic = Traffic()
        for second in range(int(3 * RECENT_S)):
            for _ in range(5):
                traffic.add("s1")
            traffic.fold(float(second))
            if second in (10, int(3 * RECENT_S) - 1):
                self.assertAlmostEqual(traffic.rates(float(second))["s1"], 5.0, delta=0.8)
        self.assertEqual(Traffic().rates(1.0), {})
