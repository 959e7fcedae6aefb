from __future__ import annotations

import unittest

from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.exceptions import InvariantError
from cactussaddle_core.moves import LeafState
from cactussaddle_core.moves import leaf_state
from cactussaddle_core.moves import require_in_service
from tests.core.moves.model import build
from tests.core.moves.model import leaf


def move(id, kind, target, start, finish, leaves=None):
    row = {"id": id, "kind": kind, "target": target, "start": start, "finish": finish}
    return {**row, "leaves": leaves} if leaves else row


def config(*rows):
    return build(60.0)._replace(moves={row["id"]: row for row in rows})


OUT = move("out", MoveKind.DOMAIN_OUT, "d0", 100.0, 110.0)
IN = move("in", MoveKind.DOMAIN_IN, "d0", 120.0, 130.0)
OUT_AGAIN = move("out2", MoveKind.DOMAIN_OUT, "d0", 125.0, 135.0)
IN_AGAIN = move("in2", MoveKind.DOMAIN_IN, "d0", 140.0, 150.0)


class DomainTest(unittest.TestCase):
    def states(self, cfg, times, name="a0", taken_back=frozenset()):
        return [leaf_state(cfg, name, wall, taken_back).value for wall in times]

    def test_overlapping_moves_out_and_in(self):
        cfg = config(IN_AGAIN, OUT_AGAIN, IN, OUT)
        times = [99.0, 100.0, 115.0, 122.0, 126.0, 136.0, 141.0, 151.0]
        expected = ["in service", "draining", "out", "coming back"]
        expected += ["draining", "out", "coming back", "in service"]
        self.assertEqual(self.states(cfg, times), expected)
        self.assertEqual(set(self.states(cfg, times, "a1")), {"in service"})

    def test_later_of_two_moves_with_equal_start_applies(self):
        cfg = config(OUT, move("in", MoveKind.DOMAIN_IN, "d0", 100.0, 110.0))
        self.assertEqual(self.states(cfg, [105.0]), ["coming back"])

    def test_move_taken_back_is_ignored(self):
        states = self.states(config(OUT), [115.0], taken_back=frozenset({"out"}))
        self.assertEqual(states, ["in service"])

    def test_leaving_leaf_stays_out_when_its_domain_returns(self):
        cfg = config(OUT, IN, move("leave", MoveKind.LEAVE, "a0", 90.0, 95.0))
        self.assertEqual(self.states(cfg, [91.0, 96.0, 131.0]), ["draining", "out", "out"])

    def test_placed_leaf_serves_from_the_start_of_its_move(self):
        placed = [leaf("c0", "d1", "v1")]
        cfg = config(move("place", MoveKind.PLACE, "s1", 100.0, 110.0, placed))
        self.assertEqual(
            self.states(cfg, [99.0, 101.0, 111.0], "c0"), ["out", "coming back", "in service"]
        )
        back = frozenset({"place"})
        self.assertIs(leaf_state(cfg, "c0", 111.0, back), LeafState.OUT)

    def test_request_over_three_seconds_after_domain_out_is_a_breach(self):
        cfg = config(OUT)
        require_in_service(cfg, "a0", 102.9)
        with self.assertRaises(InvariantError):
            require_in_service(cfg, "a0", 103.1)

    def test_request_just_after_a_short_return_is_no_breach(self):
        back = move("in", MoveKind.DOMAIN_IN, "d0", 120.0, 121.0)
        cfg = config(OUT, back, move("out2", MoveKind.DOMAIN_OUT, "d0", 121.5, 123.0))
        require_in_service(cfg, "a0", 121.6)
        with self.assertRaises(InvariantError):
            require_in_service(cfg, "a0", 124.6)
