"""Reads how much of its time the event loop was busy, as the reducer's measure of this host's room."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

import trio

from cactussaddle_core.waiting.room import NO_READING
from cactussaddle_core.waiting.room import HostReading

if TYPE_CHECKING:
    from collections.abc import Callable

# A message is handled at most this many passes of the loop after it could first be read.
UNREAD_PASSES = 3


class BusyClock(trio.abc.Instrument):
    """Sums up the time for which the event loop did not wait for input."""

    def __init__(self, *, clock: Callable[[], float] = time.perf_counter) -> None:
        self._clock = clock
        self._started_at = clock()
        self._idle_s = 0.0
        self._waiting_since = self._started_at
        self._pass_began_s = [0.0] * UNREAD_PASSES

    def before_io_wait(self, timeout: float) -> None:
        """Note that the loop begins to wait for input."""
        self._waiting_since = self._clock()

    def after_io_wait(self, timeout: float) -> None:
        """Note that the loop has ended its wait and begins a pass."""
        now = self._clock()
        self._idle_s += now - self._waiting_since
        del self._pass_began_s[0]
        self._pass_began_s.append(now - self._started_at - self._idle_s)

    def reading(self) -> HostReading:
        """Return the present reading."""
        busy_s = self._clock() - self._started_at - self._idle_s
        return HostReading(busy_s, busy_s - self._pass_began_s[0])


def no_reading() -> HostReading:
    """Return the reading of a node that does not go by its own room."""
    return NO_READING


def start_reading(is_on: bool) -> Callable[[], HostReading]:
    """Return a function that reads the running event loop; must be called in it."""
    if not is_on:
        return no_reading
    clock = BusyClock()
    trio.lowlevel.add_instrument(clock)
    return clock.reading
