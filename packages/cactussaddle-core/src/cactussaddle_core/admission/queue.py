"""A queue ordered by priority, then deadline, without starvation of any class.

A class that has waiting requests and was passed over for `STARVE_STARTS` starts is served next.
With k classes the first request of a class thus starts after at most `STARVE_STARTS` + k - 1
others.
"""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactussaddle_core.admission.model import Request

STARVE_STARTS = 8


class Waiting(NamedTuple):
    """A request in the queue, ordered by deadline and then by arrival."""

    deadline: float
    number: int
    request: Request


class ClassQueue:
    """Waiting requests by class."""

    def __init__(self) -> None:
        self._classes: dict[int, list[Waiting]] = {}
        self._passed: dict[int, int] = {}
        self._ids: set[str] = set()
        self._number = 0

    def __len__(self) -> int:
        return len(self._ids)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def __iter__(self) -> Iterator[Request]:
        return (item.request for items in self._classes.values() for item in items)

    def push(self, request: Request) -> None:
        """Add a request."""
        self._number += 1
        heap = self._classes.setdefault(request.priority, [])
        heapq.heappush(heap, Waiting(request.deadline, self._number, request))
        self._ids.add(request.id)

    def ahead_of(self, request: Request) -> int:
        """Return how many of those waiting come before the request, were it pushed now."""
        count = 0
        for priority, items in self._classes.items():
            if priority < request.priority:
                count += len(items)
            elif priority == request.priority:
                count += sum(item.deadline <= request.deadline for item in items)
        return count

    def first(self) -> Request | None:
        """Return the request that starts next without removing it."""
        waiting = [priority for priority, items in self._classes.items() if items]
        return self._classes[self._next_class(waiting)][0].request if waiting else None

    def pop(self) -> Request | None:
        """Remove and return the request that starts next."""
        waiting = [priority for priority, items in self._classes.items() if items]
        if not waiting:
            return None
        chosen = self._next_class(waiting)
        for priority in waiting:
            self._passed[priority] = self._passed.get(priority, 0) + 1
        self._passed[chosen] = 0
        request = heapq.heappop(self._classes[chosen]).request
        self._forget(chosen, request)
        return request

    def _next_class(self, waiting: list[int]) -> int:
        starved = [p for p in waiting if self._passed.get(p, 0) >= STARVE_STARTS]
        return max(starved, key=lambda p: self._passed[p]) if starved else min(waiting)

    def remove(self, request_id: str) -> bool:
        """Remove a request; return whether it was waiting."""
        if request_id not in self._ids:
            return False
        for priority, items in list(self._classes.items()):
            for item in items:
                if item.request.id == request_id:
                    items.remove(item)
                    heapq.heapify(items)
                    self._forget(priority, item.request)
                    return True
        return False

    def take_hopeless(self, now: float, service_s: float) -> list[Request]:
        """Remove and return the requests that would miss their deadline if started now."""
        taken = []
        for priority, items in list(self._classes.items()):
            while items and items[0].deadline < now + service_s:
                request = heapq.heappop(items).request
                self._forget(priority, request)
                taken.append(request)
        return taken

    def last(self) -> Request | None:
        """Return the last request of the lowest class."""
        lowest = max((p for p, items in self._classes.items() if items), default=None)
        return None if lowest is None else max(self._classes[lowest]).request

    def last_below(self, priority: int) -> Request | None:
        """Return the last request of the lowest class, if that is lower than `priority`."""
        found = self.last()
        return found if found is not None and found.priority > priority else None

    def _forget(self, priority: int, request: Request) -> None:
        self._ids.discard(request.id)
        if not self._classes[priority]:
            del self._classes[priority]
            self._passed.pop(priority, None)
