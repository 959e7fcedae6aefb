"""Has the C library give freed memory back to the system.

By default it raises the size from which buffers are given back at once to that of the largest one
freed so far. The bodies of a crowd then share one heap with small objects that live on, and stay
resident.
"""

from __future__ import annotations

import ctypes

# Parameter of `mallopt` for the size from which buffers are mapped on their own.
M_MMAP_THRESHOLD = -3
# Above the size of one read, which would otherwise be mapped anew each time.
LARGE_BUFFER_BYTES = 128 * 1024


def return_large_buffers() -> bool:
    """Fix the size from which buffers are given back; return whether the C library allows it."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES))


def return_freed() -> None:
    """Give back what is free between other objects; this takes some milliseconds."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (AttributeError, OSError):
        return
