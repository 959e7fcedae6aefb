"""Requests that arrive before the node has read the routing table and the leaf registry.

Both are available within a few round trips of the start, so such requests wait for that long. While
the store is known to be unreachable they are declined, since the wait would be unbounded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import CallerRequest

MAX_WAIT_S = 0.6
MAX_PENDING = 256


class PendingRequest(NamedTuple):
    """A request and its arrival time."""

    request: CallerRequest
    arrived_at: float


class PendingRequests:
    """The requests that wait for the node to load."""

    def __init__(self) -> None:
        self._pending: list[PendingRequest] = []

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, request: CallerRequest, now: float) -> bool:
        """Add a request; return False if too many are waiting."""
        if len(self._pending) >= MAX_PENDING:
            return False
        self._pending.append(PendingRequest(request, now))
        return True

    def remove(self, req_id: int) -> PendingRequest | None:
        """Remove and return the request of a caller that has disconnected; None if it doesn't wait."""
        found = [pending for pending in self._pending if pending.request.req_id == req_id]
        self._pending = [pending for pending in self._pending if pending.request.req_id != req_id]
        return found[0] if found else None

    def take_all(self) -> list[PendingRequest]:
        """Remove and return all requests, oldest first."""
        pending, self._pending = self._pending, []
        return pending

    def take_overdue(self, now: float) -> list[PendingRequest]:
        """Remove and return the requests that have exceeded the maximum wait."""
        overdue = [pending for pending in self._pending if now - pending.arrived_at >= MAX_WAIT_S]
        self._pending = self._pending[len(overdue) :]
        return overdue
