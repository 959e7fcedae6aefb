from __future__ import annotations

import json
import os
import unittest

from cactussaddle_core.edge import logevents as log
from cactussaddle_node.edge.eventlog import BURST_LINES
from cactussaddle_node.edge.eventlog import LINES_PER_S
from cactussaddle_node.edge.eventlog import EventLog


def standing(number: int) -> log.LeafStanding:
    return log.LeafStanding(f"leaf-{number}", "down", "no connection", 1.0, 0.0)


def refused(request: str) -> log.RequestRefused:
    return log.RequestRefused(request, "f", "h.example", "/a/", 7, 0.5, "NOT_RUN", "why", 300.0)


class EventLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.log = EventLog(node="n1", descriptor=self.writer)

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def lines(self) -> list[dict]:
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                piece = os.read(self.reader, 65536)
            except BlockingIOError:
                break
            if not piece:
                break
            data += piece
        return [json.loads(line) for line in data.splitlines()]

    def test_a_line_names_time_node_event_and_fields(self):
        self.log.write(log.TableInForce(7, 5, 21), 1.0)
        self.log.flush(1.0)
        line = self.lines()[0]
        self.assertEqual(
            (line["node"], line["event"], line["version"]), ("n1", "table_in_force", 7)
        )

    def test_a_reader_that_does_not_read_stalls_nothing_and_lines_are_whole(self):
        event = log.RecordRejected("key", "x" * 700)
        for second in range(2000):
            self.log.write(event, float(second))
            self.log.flush(float(second))
        read = self.lines()
        self.assertGreater(len(read), 10)
        self.log.flush(3000.0)
        more = self.lines()
        self.assertTrue(all(line["event"] for line in more))

    def test_what_is_left_out_is_counted_by_event(self):
        for number in range(500):
            self.log.write(standing(number), 1.0)
        self.log.flush(1.0)
        for second in range(2, 10):
            self.log.flush(float(second))
        lines = self.lines()
        dropped = [line for line in lines if line["event"] == "lines_dropped"]
        written = sum(1 for line in lines if line["event"] == "leaf_standing")
        self.assertEqual(dropped[0]["by_event"]["leaf_standing"], 500 - written)

    def test_lines_that_count_dropped_ones_take_the_room_of_others(self):
        for step in range(400):
            now = 1.0 + 0.01 * step
            for number in range(3):
                self.log.write(standing(number), now)
            self.log.flush(now)
        lines = self.lines()
        counting = [line for line in lines if line["event"] == "lines_dropped"]
        self.assertLessEqual(len(counting), 5)
        self.log.close(6.0)
        left_out = sum(sum(line["by_event"].values()) for line in [*counting, *self.lines()])
        others = sum(1 for line in lines if line["event"] == "leaf_standing")
        self.assertEqual(left_out, 1200 - others)

    def test_failures_have_room_when_routine_has_none(self):
        for number in range(500):
            self.log.write(standing(number), 1.0)
        self.log.write(refused("r1"), 1.0)
        self.log.flush(1.0)
        self.assertIn("r1", [line.get("request") for line in self.lines()])

    def test_lines_a_second_are_bounded(self):
        count = 0
        for step in range(1000):
            now = step * 0.01
            for number in range(20):
                self.log.write(refused(f"r{number}"), now)
            self.log.flush(now)
            count += len(self.lines())
        self.assertLessEqual(count, BURST_LINES + 10.0 * LINES_PER_S + 2)

    def test_a_closed_reader_is_no_error(self):
        os.close(self.reader)
        self.log.write(standing(1), 1.0)
        self.log.flush(1.0)
        self.reader, other = os.pipe()
        os.close(other)


if __name__ == "__main__":
    unittest.main()
