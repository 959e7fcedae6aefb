"""Overload control of one node: run, queue or refuse at once, by priority and deadline.

A request is admitted only if its expected wait is within its patience, so that refusals come on arrival
and not after a wait, and it waits only while it is expected to finish in time. If the queue is full, a
request of a higher class replaces the last one of the lowest class.
"""

from __future__ import annotations

import random

from cactussaddle_core.admission.model import Admitted
from cactussaddle_core.admission.model import Decision
from cactussaddle_core.admission.model import Limits
from cactussaddle_core.admission.model import Queued
from cactussaddle_core.admission.model import Refused
from cactussaddle_core.admission.model import Request
from cactussaddle_core.admission.queue import ClassQueue
from cactussaddle_core.codes import ResultCode

FIRST_SERVICE_S = 0.05
SERVICE_WEIGHT = 0.1
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
TRIM_FACTOR = 2.0
RETRY_SPREAD = (0.75, 1.75)


class Admission:
    """The requests that run and wait at one node; `seed` makes the retry delays of nodes differ."""

    def __init__(self, *, limits: Limits, seed: str = "") -> None:
        self.limits = limits
        self.service_s = FIRST_SERVICE_S
        self._rng = random.Random(seed)
        self._queue = ClassQueue()
        self._started: dict[str, float] = {}

    @property
    def running(self) -> int:
        """How many requests run."""
        return len(self._started)

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def offer(self, request: Request, now: float) -> list[Decision]:
        """Decide on a request; the decision on it is the last, before it those it displaced."""
        if request.id in self._started or request.id in self._queue:
            raise ValueError(f"request {request.id} was offered twice")
        if now + self.service_s > request.deadline:
            return [self._refuse(request)]
        if not self._queue and self.running < self.limits.running:
            return [self._start(request, now)]
        wait_s = self._wait_s(self._queue.ahead_of(request))
        late = now + wait_s + self.service_s > request.deadline
        if late or wait_s > request.patience_s:
            return [self._refuse(request)]
        decisions: list[Decision] = []
        if self.queued >= self.limits.queued:
            displaced = self._queue.last_below(request.priority)
            if displaced is None:
                return [self._refuse(request)]
            self._queue.remove(displaced.id)
            decisions.append(self._refuse(displaced))
        self._queue.push(request)
        return [*decisions, Queued(request.id, wait_s)]

    def done(self, request_id: str, now: float) -> list[Decision]:
        """Record that a request has ended; return the requests that start or are refused now."""
        started = self._started.pop(request_id, None)
        if started is not None:
            self.service_s += SERVICE_WEIGHT * (now - started - self.service_s)
        return self.tick(now)

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Record that a caller has disconnected; a running request is ended with `done`."""
        self._queue.remove(request_id)
        return self.tick(now)

    def tick(self, now: float) -> list[Decision]:
        """Start what may start, and refuse what can no longer finish in time."""
        decisions: list[Decision] = []
        for hopeless in self._queue.take_hopeless(now, self.service_s):
            decisions.append(self._refuse(hopeless))
        while self.running < self.limits.running:
            request = self._queue.pop()
            if request is None:
                break
            decisions.append(self._start(request, now))
        return decisions + self._trim()

    def _trim(self) -> list[Decision]:
        """Refuse the last requests of a queue that has become far longer than expected at their admission."""
        decisions: list[Decision] = []
        while (last := self._queue.last()) is not None:
            if self._wait_s(self.queued - 1) <= TRIM_FACTOR * last.patience_s:
                break
            self._queue.remove(last.id)
            decisions.append(self._refuse(last))
        return decisions

    def _start(self, request: Request, now: float) -> Admitted:
        self._started[request.id] = now
        return Admitted(request.id)

    def _refuse(self, request: Request) -> Refused:
        """Refuse with the time after which the present queue will be empty, with jitter."""
        drained_s = self._wait_s(self.queued) * self._rng.uniform(*RETRY_SPREAD)
        spread_s = MIN_RETRY_S * self._rng.uniform(1.0, 2.0)
        retry_after_s = min(MAX_RETRY_S, drained_s + spread_s)
        return Refused(request.id, ResultCode.OVERLOADED, retry_after_s)

    def _wait_s(self, ahead: int) -> float:
        """Return the expected wait behind `ahead` others, if running requests are half done on average."""
        busy = self.running / max(1, self.limits.running)
        return (ahead + busy / 2) * self.service_s / max(1, self.limits.running)
