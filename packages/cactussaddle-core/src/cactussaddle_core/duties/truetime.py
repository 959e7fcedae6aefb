"""True time as the nodes agree on it, undisturbed by steps of a single clock.

A step of a host's time of day by seconds would count requests in a wrong window. True time is a clock
that never steps plus an offset; the holder takes the median of all nodes' offsets.
"""

from __future__ import annotations

import statistics

from collections import deque

# Fewer clocks than this can't outvote one that is wrong.
MIN_CLOCKS = 3
SAMPLE_VALID_S = 12.0
# Readings kept of each clock. The one that was least delayed on its way counts.
KEPT_READINGS = 6
MAX_CLOCKS = 1024
# A change of a host's time of day beyond this is a step. Steps are mostly taken back; one that lasts this
# long is a correction.
STEP_S = 0.25
STEP_LASTS_S = 60.0


class RemoteClock:
    """Another process's clock as an offset to this one's, from readings that arrive late."""

    def __init__(self) -> None:
        self._readings: deque[tuple[float, float]] = deque(maxlen=KEPT_READINGS)

    def heard(self, true_s: float, now: float) -> None:
        """Take in a reading that has just arrived."""
        self._readings.append((true_s - now, now))

    def offset_s(self, now: float) -> float | None:
        """Return the offset; None if nothing was heard lately."""
        while self._readings and now - self._readings[0][1] > SAMPLE_VALID_S:
            self._readings.popleft()
        return max(offset for offset, _ in self._readings) if self._readings else None


class OwnClock:
    """This host's time of day as an offset to its steady time, without steps that don't last."""

    def __init__(self, *, wall_s: float, now: float) -> None:
        self.offset_s = wall_s - now
        self._steady_at = now

    def read(self, wall_s: float, now: float) -> None:
        """Take in a reading of the time of day."""
        offset_s = wall_s - now
        if abs(offset_s - self.offset_s) <= STEP_S or now > self._steady_at + STEP_LASTS_S:
            self.offset_s = offset_s
            self._steady_at = now


class TrueTime:
    """Converts this process's steady time, which counts suspensions, to true time."""

    def __init__(self, *, wall_s: float, now: float) -> None:
        self.offset_s = wall_s - now
        self._own = OwnClock(wall_s=wall_s, now=now)
        self._clocks: dict[str, RemoteClock] = {}
        self._holder = RemoteClock()

    def at(self, now: float) -> float:
        """Return the true time of a steady time."""
        return now + self.offset_s

    def own_clock(self, wall_s: float, now: float) -> None:
        """Record this host's time of day."""
        self._own.read(wall_s, now)

    def own_wall_s(self, now: float) -> float:
        """Return this host's time of day, without steps that don't last."""
        return now + self._own.offset_s

    def heard_clock(self, node: str, wall_s: float, now: float) -> None:
        """Record another host's time of day, as just received."""
        if node in self._clocks or len(self._clocks) < MAX_CLOCKS:
            self._clocks.setdefault(node, RemoteClock()).heard(wall_s, now)

    def holder_changed(self) -> None:
        """Forget what the last holder has told."""
        self._holder = RemoteClock()

    def heard_holder(self, true_s: float, now: float) -> None:
        """Take over the holder's true time, as just received."""
        self._holder.heard(true_s, now)
        self.offset_s = self._holder.offset_s(now) or self.offset_s

    def agree(self, now: float) -> None:
        """Set the offset to the median of the nodes' clocks, as the holder does."""
        offsets = [self._own.offset_s]
        for node, clock in list(self._clocks.items()):
            offset_s = clock.offset_s(now)
            if offset_s is None:
                del self._clocks[node]
            else:
                offsets.append(offset_s)
        if len(offsets) >= MIN_CLOCKS:
            self.offset_s = statistics.median(offsets)
