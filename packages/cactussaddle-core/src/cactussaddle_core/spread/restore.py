"""What a node keeps after the store has come back from an older copy of itself.

The copy lacks what was written last. Operators, leaves and nodes write their records again within
seconds. Until then their lost records stay in force: a failure domain that is taken out must not get
calls meanwhile, and a leaf must not seem to be gone.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.spread.model import Record

# Time in which the writers have written their lost records again.
REWRITE_S = 5.0
# Revision of a lost record: below all that the store gives out, as those of its new era may be lower than
# the one that the record had.
LOST_REVISION = 0


class LostRecords:
    """The records that a restored store lacks and that their writers are expected to write again."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._until = -math.inf

    def restored(self, lost: Iterable[Record], now: float) -> None:
        """Keep the lost records, beside those that are still lost since an earlier restore."""
        self._records.update(
            (record.key, record._replace(revision=LOST_REVISION)) for record in lost
        )
        self._until = now + REWRITE_S

    def records(self) -> tuple[Record, ...]:
        """Return the records that have not been written again."""
        return tuple(self._records.values())

    def written(self, records: Iterable[Record]) -> None:
        """Record that keys were written, or removed, since the restore."""
        for record in records:
            self._records.pop(record.key, None)

    def take_expired(self, now: float) -> list[Record]:
        """Remove and return, as removals, the records that nobody has written again in time."""
        if now < self._until or not self._records:
            return []
        expired = [record._replace(value=None) for record in self._records.values()]
        self._records.clear()
        return expired
