"""Log lines as JSON on standard output, bounded and never blocking."""

from __future__ import annotations

import os
import time

from typing import Any

import msgspec

STDOUT = 1
# Lines and bytes a second that are written at most; what is left out is counted.
LINES_PER_S = 200.0
BURST_LINES = 400.0
MAX_WAITING_BYTES = 262_144
# A pipe takes writes of this size as a whole or not at all, so lines are not torn.
WRITE_BYTES = 4096


class EventLog:
    """Writes lines while the reader takes them; the rest is dropped and counted by event."""

    def __init__(self, *, node: str, descriptor: int = STDOUT) -> None:
        self._node = node
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._waiting = bytearray()
        self._tokens = BURST_LINES
        self._filled_at = 0.0
        self.dropped: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def write(self, event: str, fields: dict[str, Any], now: float) -> None:
        """Queue one line; `now` is of the steady clock."""
        if not self._admit(now):
            self.dropped[event] = self.dropped.get(event, 0) + 1
            return
        line = {"time": round(time.time(), 3), "node": self._node, "event": event, **fields}
        self._waiting += self._encoder.encode(line)
        self._waiting += b"\n"

    def flush(self, now: float) -> None:
        """Write what the reader takes without waiting."""
        if self.dropped and self._admit(now):
            dropped, self.dropped = self.dropped, {}
            line = {"time": round(time.time(), 3), "node": self._node, "event": "lines_dropped"}
            self._waiting += self._encoder.encode({**line, "by_event": dropped}) + b"\n"
        while self._waiting:
            end = self._waiting.rfind(b"\n", 0, WRITE_BYTES) + 1 or len(self._waiting)
            try:
                written = os.write(self._descriptor, self._waiting[:end])
            except BlockingIOError:
                return
            except OSError:
                self._waiting.clear()
                return
            del self._waiting[:written]

    def _admit(self, now: float) -> bool:
        self._tokens = min(BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        if self._tokens < 1.0 or len(self._waiting) > MAX_WAITING_BYTES:
            return False
        self._tokens -= 1.0
        return True
