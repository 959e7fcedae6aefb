"""The records known to this node, and a log of recent changes for the nodes that follow it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from cactussaddle_core.spread.model import Batch
from cactussaddle_core.spread.model import Record

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_CHANGES = 2000
# A configuration can be large, and the log holds each of its versions.
MAX_CHANGE_BYTES = 8 * 1024 * 1024


class RecordLog:
    """The newest record of each key, and a bounded log of changes in revision order.

    `era` is the store's era that the revisions belong to; 0 until the store has named one.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.era = 0
        self._newest: dict[str, Record] = {}
        self._changes: deque[Record] = deque()
        self._change_bytes = 0
        self._complete_since = 0

    def replace(self, records: Iterable[Record], revision: int) -> None:
        """Replace the contents by a complete set of records."""
        self._newest = {record.key: record for record in records}
        self._changes.clear()
        self._change_bytes = 0
        self._complete_since = revision
        self.revision = revision

    def is_restored(self, batch: Batch) -> bool:
        """Return whether a batch was read after the store had come back from an older copy."""
        return batch.era is not None and 0 < self.era < batch.era

    def is_outdated(self, batch: Batch) -> bool:
        """Return whether a batch must not be used, since it would bring back older records."""
        if batch.era is not None and batch.era != self.era:
            return batch.era < self.era
        return batch.whole and batch.revision < self.revision

    def missing_from(self, records: Iterable[Record]) -> list[Record]:
        """Return the newest records whose keys a listing lacks."""
        found = {record.key for record in records}
        return [record for record in self._newest.values() if record.key not in found]

    def add(self, records: Iterable[Record], revision: int) -> list[Record]:
        """Apply changes up to `revision`; return those that were not known yet.

        Records may be written while a listing is read, page by page. The listing then has some of them
        already, and lacks others that were removed; nodes that follow this one may know neither.
        """
        added = []
        for record in records:
            if self._is_newer(record):
                added.append(record)
                self._apply(record)
            elif record.revision > self.revision:
                self._log(record)
        while len(self._changes) > MAX_CHANGES or self._change_bytes > MAX_CHANGE_BYTES:
            self._drop_oldest()
        self.revision = max(self.revision, revision)
        return added

    def since(self, revision: int, age_s: float) -> Batch:
        """Return the changes after a revision, or all records if the log does not reach back to it."""
        if revision < self._complete_since:
            return Batch(tuple(self._newest.values()), self.revision, True, age_s)
        changes = tuple(record for record in self._changes if record.revision > revision)
        return Batch(changes, self.revision, False, age_s)

    def _apply(self, record: Record) -> None:
        if record.value is None:
            self._newest.pop(record.key, None)
        else:
            self._newest[record.key] = record
        self._log(record)

    def _log(self, record: Record) -> None:
        self._changes.append(record)
        self._change_bytes += _size(record)

    def _drop_oldest(self) -> None:
        oldest = self._changes.popleft()
        self._change_bytes -= _size(oldest)
        self._complete_since = oldest.revision

    def _is_newer(self, record: Record) -> bool:
        known = self._newest.get(record.key)
        if known is not None:
            return record.revision > known.revision
        return record.value is not None and record.revision > self.revision


def _size(record: Record) -> int:
    return len(record.key) + len(record.value or b"")
