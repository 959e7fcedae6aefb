"""Requests that end the leaves running them, sent again through all nodes."""

from __future__ import annotations

import unittest

from tests.core.edge.crashworld import CrashWorld
from tests.core.edge.crashworld import send_poison

# The targets: after the third crash and this time, a request reaches leaves in at most three retries.
WINDOW_S = 6.0
MAX_LATE_RETRIES = 3
# A harmless request is served again within this time after its leaves are back.
RECOVERY_S = 6.0
MANY_COPIES = 16


class CrashingRequestTest(unittest.TestCase):
    def check(self, world: CrashWorld) -> None:
        self.assertGreaterEqual(len(world.crashes), 2)
        self.assertLessEqual(world.late_retries(WINDOW_S), MAX_LATE_RETRIES)

    def test_a_request_repeated_faster_than_the_settling_time_stays_unheld(self):
        world = CrashWorld(nodes=9, order_copies=MANY_COPIES)
        send_poison(world, 0.3, 24.0)
        self.check(world)

    def test_a_request_repeated_each_second_stays_unheld(self):
        world = CrashWorld(nodes=9)
        send_poison(world, 1.0, 24.0)
        self.check(world)

    def test_a_search_repeated_faster_than_the_settling_time_stays_unheld(self):
        world = CrashWorld(nodes=9)
        send_poison(world, 0.3, 24.0, b"/s/x")
        self.check(world)

    def test_leaves_that_fall_silent_leave_no_record_of_the_crash(self):
        world = CrashWorld(nodes=9, silent=True)
        send_poison(world, 0.3, 24.0)
        self.check(world)

    def test_shards_that_fall_silent_leave_no_record_of_the_crash(self):
        world = CrashWorld(nodes=9, silent=True)
        send_poison(world, 0.3, 24.0, b"/s/x")
        self.check(world)

    def test_nodes_that_get_no_datagrams_do_not_know_of_the_crashes(self):
        world = CrashWorld(nodes=9, loss=1.0)
        send_poison(world, 0.3, 24.0)
        self.check(world)

    def test_nodes_that_get_no_datagrams_do_not_know_of_crashed_shards(self):
        world = CrashWorld(nodes=9, loss=1.0)
        send_poison(world, 0.3, 24.0, b"/s/x")
        self.check(world)

    def test_nodes_that_have_all_restarted_have_forgotten_the_crashes(self):
        world = CrashWorld()
        for _ in range(5):
            send_poison(world, 0.5, 8.0)
            world.restart_nodes()
            world.run(1.0)
        self.check(world)


class HarmlessRequestTest(unittest.TestCase):
    def test_a_harmless_search_is_held_after_all_leaves_of_a_shard_crash(self):
        world = CrashWorld()
        attempts = []
        for number in range(round(20.0 / 0.02)):
            if number == 100:
                world.crash_service("s0")
                crashed_at = world.now
            attempts.append((world.now, world.ask(number, b"/s/winter", "winter")))
            world.run(0.02)
        world.run(2.0)
        late = [one for at, one in attempts if at > crashed_at + 4.5 + RECOVERY_S]
        served = sum(1 for one in late if world.answer(one).kind == "merged")
        self.assertGreaterEqual(served, 0.95 * len(late))


if __name__ == "__main__":
    unittest.main()
