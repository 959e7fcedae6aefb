"""JSON log lines on standard output: rate-limited, with bounded buffering, never blocking."""

from __future__ import annotations

import os
import time

from typing import Any

import msgspec

from cactussaddle_core.edge.logevents import LinesDropped
from cactussaddle_core.edge.logpriority import LogPriority
from cactussaddle_core.edge.logpriority import event_name
from cactussaddle_core.edge.logpriority import log_priority

STDOUT = 1
# Token bucket for log lines: refill rate and burst size.
LINES_PER_S = 40.0
BURST_LINES = 160.0
# Tokens kept back from each weight, so that routine lines leave room for changes, and changes for
# failures.
RESERVED_TOKENS = {LogPriority.ROUTINE: 120.0, LogPriority.CHANGE: 40.0, LogPriority.FAILURE: 0.0}
# Minimum interval of the lines that count dropped ones; they would use up what the limit allows.
REPORT_INTERVAL_S = 1.0
MAX_BUFFERED_BYTES = 262_144
# Writes of up to this size to a pipe are atomic (PIPE_BUF), so lines are not split.
ATOMIC_WRITE_BYTES = 4096


class EventLog:
    """Writes log lines without blocking; lines over the limits are dropped and counted by event."""

    def __init__(self, *, node: str, descriptor: int = STDOUT) -> None:
        self._node = node
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._names: dict[type[Any], str] = {}
        self._buffer = bytearray()
        self._tokens = BURST_LINES
        self._refilled_at = 0.0
        self._dropped: dict[str, int] = {}
        self._report_at = 0.0
        self.lines_dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, event: Any, now: float) -> None:
        """Queue the line of a log event; `now` is monotonic time."""
        name = self._name(event)
        if self._admit(log_priority(event), now):
            self._queue(name, event)
        else:
            self.lines_dropped += 1
            self._dropped[name] = self._dropped.get(name, 0) + 1

    def flush(self, now: float) -> None:
        """Write as many queued lines as the descriptor accepts without blocking."""
        if self._dropped and now >= self._report_at and self._admit(LogPriority.CHANGE, now):
            self._report_dropped()
            self._report_at = now + REPORT_INTERVAL_S
        while self._buffer:
            end = self._buffer.rfind(b"\n", 0, ATOMIC_WRITE_BYTES) + 1 or len(self._buffer)
            try:
                written = os.write(self._descriptor, self._buffer[:end])
            except BlockingIOError:
                return
            except OSError:
                self._buffer.clear()
                return
            del self._buffer[:written]

    def close(self, now: float) -> None:
        """Write what is queued, with the lines dropped so far, as the process exits."""
        if self._dropped:
            self._report_dropped()
        self.flush(now)

    def _report_dropped(self) -> None:
        dropped, self._dropped = self._dropped, {}
        event = LinesDropped(dropped)
        self._queue(self._name(event), event)

    def _queue(self, name: str, event: Any) -> None:
        fields = event._asdict()
        line = {"time": round(time.time(), 3), "node": self._node, "event": name, **fields}
        self._buffer += self._encoder.encode(line)
        self._buffer += b"\n"

    def _name(self, event: Any) -> str:
        kind = type(event)
        name = self._names.get(kind)
        if name is None:
            name = self._names[kind] = event_name(kind)
        return name

    def _admit(self, weight: LogPriority, now: float) -> bool:
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0 + RESERVED_TOKENS[weight]:
            return False
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            return False
        self._tokens -= 1.0
        return True
