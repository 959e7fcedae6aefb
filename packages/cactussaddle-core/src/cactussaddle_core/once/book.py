"""State of the at-most-once requests of one node."""

from __future__ import annotations

import enum
import heapq

from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.once.record import AttemptId

INTENT_INTERVAL_S = 0.02
OUTCOME_INTERVAL_S = 0.1
STORE_TIMEOUT_S = 5.0
MAX_BATCH = 128
MAX_ATTEMPTS = 4096
MAX_RECENT = 2048


class Phase(enum.IntEnum):
    """Phase of an attempt; the last three are final, except that `UNKNOWN` may be resolved later."""

    WRITING = 0
    ASKING = 1
    RUNNING = 2
    DONE = 3
    NOT_RUN = 4
    UNKNOWN = 5


class Waiter(NamedTuple):
    """A caller's request that waits for the end of an attempt."""

    req_id: str
    deadline: float
    first: bool
    repeat: bool


class Finished(NamedTuple):
    """A finished request that this node keeps in memory."""

    fingerprint: str
    answer: bytes


class Attempt:
    """One attempt of this node.

    `expect_revision` is the revision that the write of the intent requires; `revision` is that of
    this attempt's own record once it is known to exist, else 0. `seen_other` is set if an earlier
    request with the same key has left a record, `recorded` if the store holds the outcome.
    """

    def __init__(
        self,
        *,
        id: AttemptId,
        key: str,
        fingerprint: str,
        deadline: float,
        created: float,
        wall: float,
    ) -> None:
        self.id = id
        self.key = key
        self.fingerprint = fingerprint
        self.deadline = deadline
        self.created = created
        self.wall = wall
        self.phase = Phase.WRITING
        self.expect_revision = 0
        self.revision = 0
        self.try_no = 0
        self.in_flight = False
        self.ask_until = 0.0
        self.asked_attempt = ""
        self.asked_revision = 0
        self.answer = b""
        self.seen_other = False
        self.sent_phase = Phase.WRITING
        self.recorded = False
        self.forget_at = 0.0
        self.waiters: list[Waiter] = []


class Lane:
    """Batches of one kind: at most one in flight, and at most one per `interval_s`."""

    def __init__(self, *, interval_s: float) -> None:
        self.interval_s = interval_s
        self.queue: deque[int] = deque()
        self.batch_id = 0
        self.batch: tuple[int, ...] = ()
        self.sent_at = 0.0
        self.next_at = 0.0

    def due_at(self) -> float | None:
        """Return when a batch may be sent or a report becomes overdue."""
        if self.batch:
            return self.sent_at + STORE_TIMEOUT_S
        return self.next_at if self.queue else None


class OnceBook:
    """Attempts of one incarnation of one node, by sequence number.

    `incarnation` must differ at each start of the node.
    """

    def __init__(
        self, *, node: str, incarnation: str, intent_interval_s: float = INTENT_INTERVAL_S
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.next_seq = 1
        self.attempts: dict[int, Attempt] = {}
        self.by_key: dict[str, int] = {}
        self.intents = Lane(interval_s=intent_interval_s)
        self.outcomes = Lane(interval_s=OUTCOME_INTERVAL_S)
        self.timers: list[tuple[float, int]] = []
        self.recent: OrderedDict[str, Finished] = OrderedDict()

    def next_wake(self) -> float | None:
        """Return when the next `Tick` is due; None if nothing is pending."""
        times = [self.timers[0][0]] if self.timers else []
        for lane in (self.intents, self.outcomes):
            due = lane.due_at()
            if due is not None:
                times.append(due)
        return min(times, default=None)

    def knows(self, key: str) -> bool:
        """Return whether this node has an attempt for the key in progress or remembers its result."""
        return key in self.by_key or key in self.recent

    def idle(self) -> bool:
        """Return whether a graceful shutdown may proceed: no attempt is in progress or unrecorded."""
        return not self.attempts

    def set_timer(self, seq: int, at: float) -> None:
        """Schedule a review of attempt `seq` at `at`."""
        heapq.heappush(self.timers, (at, seq))

    def remember(self, attempt: Attempt) -> None:
        """Keep a finished request in memory, for repeats that arrive during a store outage."""
        self.recent[attempt.key] = Finished(attempt.fingerprint, attempt.answer)
        self.recent.move_to_end(attempt.key)
        if len(self.recent) > MAX_RECENT:
            self.recent.popitem(last=False)
