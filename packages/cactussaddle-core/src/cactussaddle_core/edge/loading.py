"""Requests that arrive before the node has read the routing table and the leaves.

Both are there a few round trips after the start, so a request waits that long, unless the store is
known to be out: then nothing says when they will be.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import CallerRequest

HOLD_S = 0.6
MAX_HELD = 256


class HeldRequest(NamedTuple):
    """A request and when it arrived."""

    request: CallerRequest
    arrived_at: float


class WaitingRoom:
    """The requests held; `closed` once the node has loaded, or when it may not soon."""

    def __init__(self) -> None:
        self._held: list[HeldRequest] = []

    def hold(self, request: CallerRequest, now: float) -> bool:
        """Hold a request; False when there are too many."""
        if len(self._held) >= MAX_HELD:
            return False
        self._held.append(HeldRequest(request, now))
        return True

    def leave(self, req_id: int) -> None:
        """Drop the request of a caller that has gone."""
        self._held = [held for held in self._held if held.request.req_id != req_id]

    def take_all(self) -> list[HeldRequest]:
        """Return all requests, oldest first."""
        held, self._held = self._held, []
        return held

    def take_overdue(self, now: float) -> list[HeldRequest]:
        """Return the requests that have waited for too long."""
        overdue = [held for held in self._held if now - held.arrived_at >= HOLD_S]
        self._held = self._held[len(overdue) :]
        return overdue
