"""The times at which refused callers may return, spread in the order of their priority.

Each refused request is given the next time at which this host has room for it, after those of its own
and of higher priority that were refused before. So callers do not come back together, and the urgent
ones come back first.
"""

from __future__ import annotations

# Time that a refused caller needs to reach another host, besides its round trip.
MIN_RETURN_S = 0.01
# Steps of this fraction of a range, taken around it, are spread evenly however many there are.
GOLDEN_STEP = 0.618


class Returns:
    """Until when this host's room is promised to refused callers, by priority."""

    def __init__(self) -> None:
        self._promised_until: dict[int, float] = {}
        self._spread = 0.0

    def retry_after_s(
        self, priority: int, work_s: float, room_in_s: float, latest_s: float, now: float
    ) -> float:
        """Return the retry delay of a refused request and book its time.

        This host has room for it in `room_in_s`; a caller asked to stay away for longer than
        `latest_s` has nothing of it; those that can't wait for room here are spread over that time.
        """
        ahead = [until for rank, until in self._promised_until.items() if rank <= priority]
        due = max([now + max(MIN_RETURN_S, room_in_s), *ahead])
        latest = now + max(MIN_RETURN_S, latest_s)
        if due > latest:
            self._spread = (self._spread + GOLDEN_STEP) % 1.0
            return MIN_RETURN_S + self._spread * (latest - now - MIN_RETURN_S)
        self._promised_until[priority] = due + work_s
        return due - now
