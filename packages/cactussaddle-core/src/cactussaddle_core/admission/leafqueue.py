"""The bounded queue of calls for one leaf, at the node that holds the leaf's slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.admission.queue import ClassQueue

if TYPE_CHECKING:
    from cactussaddle_core.admission.model import Request

FIRST_CALL_S = 0.01
CALL_WEIGHT = 0.1
QUEUED_PER_SLOT = 8


class LeafQueue:
    """Calls that wait for a slot of one leaf, by priority, then deadline."""

    def __init__(self) -> None:
        self.call_s = FIRST_CALL_S
        self._queue = ClassQueue()

    def __len__(self) -> int:
        return len(self._queue)

    def offer(self, call: Request, now: float, *, running: int, allowed: int) -> bool:
        """Queue a call if it can start in time; return whether it waits.

        `allowed` is how many calls may be in flight at the leaf now, `running` how many are. A full
        queue takes a call of a higher class than its lowest; `take_displaced` follows.
        """
        full = len(self._queue) >= QUEUED_PER_SLOT * max(1, allowed)
        if full and self._queue.last_below(call.priority) is None:
            return False
        if now + self.wait_s(call, running=running, allowed=allowed) + self.call_s > call.deadline:
            return False
        self._queue.push(call)
        return True

    def take_displaced(self, *, allowed: int) -> Request | None:
        """Remove and return the last call of the lowest class when more wait than may."""
        if len(self._queue) <= QUEUED_PER_SLOT * max(1, allowed):
            return None
        displaced = self._queue.last_below(-1)
        if displaced is not None:
            self._queue.remove(displaced.id)
        return displaced

    def wait_s(self, call: Request, *, running: int, allowed: int) -> float:
        """Return the expected wait of a call offered now."""
        ahead = self._queue.ahead_of(call) + running + 1 - max(1, allowed)
        return max(0, ahead) * self.call_s / max(1, allowed)

    def first(self) -> Request | None:
        """Return the call to start next without removing it."""
        return self._queue.first()

    def pop(self) -> Request | None:
        """Remove and return the call to start next."""
        return self._queue.pop()

    def take_hopeless(self, now: float) -> list[Request]:
        """Remove and return the calls that can no longer finish in time; they must be refused."""
        return self._queue.take_hopeless(now, self.call_s)

    def remove(self, call_id: str) -> bool:
        """Remove a call that is no longer wanted; return whether it was waiting."""
        return self._queue.remove(call_id)

    def ended(self, latency_s: float) -> None:
        """Record how long a call took at the leaf."""
        self.call_s += CALL_WEIGHT * (latency_s - self.call_s)
