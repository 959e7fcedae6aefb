"""The clock on which the age of the store's records is measured."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return seconds of a clock that, unlike the monotonic one, also counts the suspension of the host."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
