"""What this node's own processor has yet to do, learned from readings of its event loop.

A gather is made by one event loop, one part after another. How long a part takes it is learned from the
time in which the loop did not wait for input, which includes the time for which the host held the
process back.
"""

from __future__ import annotations

import math

from typing import NamedTuple

# A part costs this share when its call is sent and the rest when its answer is read.
SEND_SHARE = 0.5
# Parts in one sample of their cost, and the weight of a sample in the moving average.
SAMPLE_PARTS = 8.0
SAMPLE_WEIGHT = 0.3
# A node that has just started loads and opens connections besides; the least of these samples counts.
FIRST_SAMPLES = 4
# A sample in which the process was held up once does not count as more than this multiple.
MAX_GROWTH = 2.0
# A period of this length without a sample's parts shows the work that is not for parts.
OTHER_WORK_PERIOD_S = 1.0


class HostReading(NamedTuple):
    """A reading of the event loop, taken with an event.

    `busy_s` is the time since the start in which the loop did not wait for input. `unread_s` is for
    how long at most a message that is handled now may have been available before it was read.
    """

    busy_s: float = 0.0
    unread_s: float = 0.0


NO_READING = HostReading()


class HostRoom:
    """The cost of a part and the processor's backlog; without readings all are 0.

    `is_on` is false where this node does not go by its own room.
    """

    def __init__(self) -> None:
        self.is_on = False
        self.part_s = 0.0
        self.unread_s = 0.0
        self.busy_s = 0.0
        self._first_samples = 0
        self._least_s = math.inf
        self._other_share = 0.0
        self._steps = 0.0
        self._sample_busy_s = 0.0
        self._sample_at: float | None = None

    def read(self, reading: HostReading, now: float) -> None:
        """Take a reading of the event loop."""
        if not self.is_on or reading is NO_READING:
            return
        self.busy_s = max(self.busy_s, reading.busy_s)
        self.unread_s = reading.unread_s
        if self._sample_at is None:
            self._begin_sample(now)
        elif self._steps >= SAMPLE_PARTS:
            self._learn_part(now - self._sample_at)
            self._begin_sample(now)
        elif now - self._sample_at >= OTHER_WORK_PERIOD_S:
            if self._steps < 1.0:
                self._learn_other_work(now - self._sample_at)
            self._begin_sample(now)

    def busy_since_s(self, mark_s: float) -> float:
        """Return for how long the event loop was busy since a reading of its busy time."""
        return max(0.0, self.busy_s - mark_s) if self.is_on else 0.0

    def own_share_s(self, mark_s: float) -> float:
        """Return for how long an answer handled now, to a call sent at a reading, may have lain unread."""
        return min(self.unread_s, self.busy_since_s(mark_s))

    def part_sent(self) -> None:
        """Count a part whose call was sent."""
        self._steps += SEND_SHARE

    def part_read(self) -> None:
        """Count a part whose answer was read."""
        self._steps += 1.0 - SEND_SHARE

    def work_s(self, parts: float) -> float:
        """Return the time that this host's processor needs for a number of parts."""
        return parts * self.part_s

    def backlog_s(self, unanswered: int, unsent: int) -> float:
        """Return the time that the processor needs for the calls that are open."""
        return self.work_s((1.0 - SEND_SHARE) * unanswered + SEND_SHARE * unsent)

    def alone_s(self, parts: int, leaf_s: float) -> float:
        """Return how long a gather takes on this host with nothing ahead of it.

        Calls are sent while earlier ones run at their leaves, so the slower of the two decides.
        """
        work_s = self.work_s(parts)
        return max(work_s, SEND_SHARE * work_s + leaf_s)

    def _begin_sample(self, now: float) -> None:
        self._steps = 0.0
        self._sample_busy_s = self.busy_s
        self._sample_at = now

    def _learn_part(self, took_s: float) -> None:
        busy_s = self.busy_s - self._sample_busy_s
        # A sample may span a calm period, of which only the loop's other work is known.
        cost_s = max(0.0, busy_s - self._other_share * took_s) / self._steps
        if self._first_samples < FIRST_SAMPLES:
            self._first_samples += 1
            self._least_s = min(self._least_s, cost_s)
            self.part_s = self._least_s if self._first_samples == FIRST_SAMPLES else 0.0
            return
        self.part_s += SAMPLE_WEIGHT * (min(cost_s, MAX_GROWTH * self.part_s) - self.part_s)

    def _learn_other_work(self, took_s: float) -> None:
        share = min(1.0, (self.busy_s - self._sample_busy_s) / took_s)
        self._other_share += SAMPLE_WEIGHT * (share - self._other_share)
