"""The signals that the node handles, from the first moment of its process to the last.

While the program loads, and after its event loop has ended, the default action of a signal would end
the process. The handlers installed here stay in force until it exits, and keep what arrives.
"""

from __future__ import annotations

import signal
import time

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class ReceivedSignal(NamedTuple):
    """A signal, and the monotonic time in seconds at which the process received it.

    The process was last known to run at `ran_at`, before it received the signal.
    """

    number: int
    at: float
    ran_at: float


class SignalInbox:
    """Keeps the signals that the process receives until they are handled."""

    def __init__(self) -> None:
        self._received: deque[ReceivedSignal] = deque()
        self._notify: Callable[[], object] | None = None
        self._ran_at = time.monotonic()

    def install(self) -> None:
        """Install the handlers; they are never removed."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._receive)

    def notify(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` whenever a signal arrives, in the main thread between any two instructions."""
        self._notify = callback

    def record_run(self) -> None:
        """Record that the process runs; a signal that arrives later may have been sent since then."""
        self._ran_at = time.monotonic()

    def oldest(self) -> ReceivedSignal | None:
        """Return the oldest signal, which stays until it is removed; None if there is none."""
        return self._received[0] if self._received else None

    def remove_oldest(self) -> None:
        """Remove the oldest signal, as it has been handled."""
        self._received.popleft()

    def _receive(self, number: int, frame: FrameType | None) -> None:
        self._received.append(ReceivedSignal(number, time.monotonic(), self._ran_at))
        if self._notify is not None:
            self._notify()
