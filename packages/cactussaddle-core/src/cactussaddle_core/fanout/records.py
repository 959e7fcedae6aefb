"""Merges the records of the parts."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def top_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the `top` greatest records of all bodies, in descending order.

    A trailing fragment shorter than a record is ignored. Equal records are all kept.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))
