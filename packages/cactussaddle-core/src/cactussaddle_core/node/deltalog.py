"""Log of the most recent deltas of a stored document, for peers a few revisions behind."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from cactussaddle_core.wire import DocReply

CONFIG_DELTA = "config-delta"
PLACEMENT_DELTA = "placement-delta"
MAX_DELTAS = 64


class _Delta(NamedTuple):
    revision: int
    data: bytes


class DeltaLog:
    """Encoded deltas by the revision that each starts from; `name` is the name of the replies."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._deltas: OrderedDict[int, _Delta] = OrderedDict()

    def keep(self, base: int, revision: int, data: bytes) -> None:
        """Keep a delta, unless it starts from nothing: such a delta is as large as the document."""
        if base == 0:
            return
        self._deltas[base] = _Delta(revision, data)
        while len(self._deltas) > MAX_DELTAS:
            self._deltas.popitem(last=False)

    def replies(self, revision: int) -> list[DocReply]:
        """Return the deltas from `revision` to the newest revision; empty if none starts there."""
        found: list[DocReply] = []
        while revision in self._deltas:
            delta = self._deltas[revision]
            revision = delta.revision
            found.append(DocReply(self._name, revision, delta.data))
        return found
