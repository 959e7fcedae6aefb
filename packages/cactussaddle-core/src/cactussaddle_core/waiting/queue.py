"""A bounded queue of requests that have not begun.

Urgent requests go first. Among requests of one priority those go first that can still be answered
within their objective, then those that can only meet their deadline; each of the two by the time that
is left.

Nothing starves. A priority that was passed over for `MAX_PASSED` starts is served next, so with k
priorities the first request of a priority starts after at most `MAX_PASSED` + k - 1 others. Within its
priority a request is overtaken by at most `MAX_PASSED` later ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactussaddle_core.fanout.model import CallerRequest

MAX_WAITING = 256
# The smallest hosts have 200 MB of memory.
MAX_WAITING_BYTES = 8 * 1024 * 1024
MAX_PASSED = 8


class WaitingRequest(NamedTuple):
    """A request that has not begun.

    It has to be answered by `answer_by` to be within its objective, and by `deadline` to be of any
    use. It takes `alone_s` on this host with nothing ahead of it, of which its processor works for
    `work_s`.
    """

    request: CallerRequest
    route: str
    arrived_at: float
    priority: int
    answer_by: float
    deadline: float
    work_s: float
    alone_s: float

    @property
    def req_id(self) -> int:
        """The node's number of the request."""
        return self.request.req_id

    def size(self) -> int:
        """Return about how many bytes the request holds."""
        headers = sum(len(name) + len(value) for name, value in self.request.headers)
        return len(self.request.body) + len(self.request.target) + headers

    def spare_s(self, now: float) -> float:
        """Return how much later the request may start, here or elsewhere, and be within its objective."""
        return self.answer_by - self.alone_s - now

    def start_by(self) -> float:
        """Return when the request has to start at the latest to meet its deadline."""
        return self.deadline - self.alone_s


class WaitingQueue:
    """The requests that wait, bounded in number and bytes."""

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingRequest] = {}
        self._passed: dict[int, int] = {}
        # How many later requests of its priority have started before each request.
        self._overtaken: dict[int, int] = {}
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._waiting.values())

    def has_space(self, waiting: WaitingRequest) -> bool:
        """Return whether a request may wait without displacing another."""
        fits = self._bytes + waiting.size() <= MAX_WAITING_BYTES
        return len(self._waiting) < MAX_WAITING and fits

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        self._waiting[waiting.req_id] = waiting
        self._bytes += waiting.size()

    def remove(self, req_id: int) -> WaitingRequest | None:
        """Remove and return a request; None if it does not wait."""
        waiting = self._waiting.pop(req_id, None)
        if waiting is None:
            return None
        self._bytes -= waiting.size()
        self._overtaken.pop(req_id, None)
        if all(other.priority != waiting.priority for other in self):
            self._passed.pop(waiting.priority, None)
        return waiting

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request that starts next; None if none waits."""
        if not self._waiting:
            return None
        priority = self._next_priority()
        same = (waiting for waiting in self if waiting.priority == priority)
        return min(same, key=lambda waiting: self._rank(waiting, now))

    def take_first(self, now: float) -> WaitingRequest | None:
        """Remove and return the request that starts next."""
        first = self.first(now)
        if first is None:
            return None
        self.remove(first.req_id)
        self.passed_by(first)
        return first

    def passed_by(self, started: WaitingRequest) -> None:
        """Record the start of a request, past those that wait."""
        priority = started.priority
        for other in {waiting.priority for waiting in self}:
            self._passed[other] = 0 if other == priority else self._passed.get(other, 0) + 1
        for waiting in self:
            if waiting.priority == priority and waiting.req_id < started.req_id:
                self._overtaken[waiting.req_id] = self._overtaken.get(waiting.req_id, 0) + 1

    def is_owed(self, priority: int) -> bool:
        """Return whether another priority was passed over so often that it has to go first."""
        return any(
            passed >= MAX_PASSED for other, passed in self._passed.items() if other != priority
        )

    def last_below(self, priority: int, now: float) -> WaitingRequest | None:
        """Return the last request of the lowest priority, if that is lower than `priority`."""
        last = max(
            self, key=lambda waiting: (waiting.priority, self._rank(waiting, now)), default=None
        )
        return last if last is not None and last.priority > priority else None

    def work_ahead_s(self, waiting: WaitingRequest, now: float) -> float:
        """Return the processor time of those that go before a request, were it added now."""
        rank = (waiting.priority, self._rank(waiting, now))
        return sum(
            other.work_s for other in self if (other.priority, self._rank(other, now)) < rank
        )

    def in_order(self, now: float) -> list[WaitingRequest]:
        """Return the requests in the order in which they would begin now, but for what is owed."""
        return sorted(self, key=lambda waiting: (waiting.priority, self._rank(waiting, now)))

    def take_all(self) -> list[WaitingRequest]:
        """Remove and return all requests, oldest first."""
        every = list(self)
        for waiting in every:
            self.remove(waiting.req_id)
        return every

    def _next_priority(self) -> int:
        owed = [priority for priority, passed in self._passed.items() if passed >= MAX_PASSED]
        if owed:
            return max(owed, key=lambda priority: (self._passed[priority], -priority))
        return min(waiting.priority for waiting in self)

    def _rank(self, waiting: WaitingRequest, now: float) -> tuple[bool, bool, float, int]:
        """Return the place of a request among those of its priority, lowest first."""
        is_owed = self._overtaken.get(waiting.req_id, 0) >= MAX_PASSED
        is_late = waiting.spare_s(now) < 0.0
        due = waiting.deadline if is_late or is_owed else waiting.answer_by
        return not is_owed, is_late and not is_owed, due, waiting.req_id
