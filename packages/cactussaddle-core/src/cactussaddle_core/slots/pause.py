"""Notice that the process was paused, and what has to be heard before it may go on."""

from __future__ import annotations

PAUSE_S = 1.0


class PauseGuard:
    """Watches the gaps between the times that it is shown.

    After a gap of more than `pause_s` the node is stale until an answer to a question asked after
    the gap has come, and until it has applied the placement epoch which that answer named. What
    was merely received after the gap may have been sent before it and counts for nothing.
    """

    def __init__(self, *, pause_s: float = PAUSE_S) -> None:
        self._pause_s = pause_s
        self._last: float | None = None
        self._woke_at: float | None = None
        self._needed_epoch = 0

    def observe(self, now: float) -> bool:
        """Show the time; return whether a pause has just been noticed."""
        jumped = self._last is not None and now - self._last > self._pause_s
        self._last = now if self._last is None else max(now, self._last)
        if jumped:
            self._woke_at = now
        return jumped

    def answered(self, placement_epoch: int, asked_at: float) -> None:
        """Note an answer of a peer or the store to a question asked at `asked_at`."""
        if self._woke_at is not None and asked_at >= self._woke_at:
            self._woke_at = None
            self._needed_epoch = max(self._needed_epoch, placement_epoch)

    def stale(self, epoch: int) -> bool:
        """Return whether a node that has applied `epoch` has to refrain from everything."""
        return self._woke_at is not None or epoch < self._needed_epoch
