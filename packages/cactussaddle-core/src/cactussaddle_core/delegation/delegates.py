"""Choice of the node that runs a query for this one.

Load pattern: each host gets the same share of queries with dozens of parts, and the hosts of a failure
domain differ in their processors. A weak host needs longer for sending and reading the parts than the
leaves need for the work, while strong hosts beside it are idle. Besides, each host calls each leaf so
seldom that its connections are closed in between.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.hashing import unit_interval

if TYPE_CHECKING:
    import random

    from collections.abc import Iterable

    from cactussaddle_core.spread.model import Member

# A query with fewer parts costs this host little more than handing it on.
MIN_PARTS = 4
# A delegate needs this many times the processor of this host, so that handing on saves more than the
# two extra messages cost.
MIN_CORES_RATIO = 2.0
# Queries that may be open at one delegate per core of it; any more are better run here.
MAX_OPEN_PER_CORE = 4.0
# Weight of the newest time in the moving averages, and how long an average is valid.
TIME_WEIGHT = 0.2
TIME_VALID_S = 5.0
# Relative random part of a delegate's expected time, so that nodes don't all choose the same one.
TIME_JITTER = 0.2
# Back-off after a delegate refused, and after it was lost: doubled each time.
REFUSED_BACKOFF_S = 0.2
INITIAL_LOST_BACKOFF_S = 1.0
MAX_LOST_BACKOFF_S = 8.0


def gatherers(members: Iterable[Member]) -> list[Member]:
    """Return the nodes that run queries themselves: all but those with a much stronger host beside them."""
    known = list(members)
    strongest: dict[str, float] = {}
    for member in known:
        strongest[member.domain] = max(strongest.get(member.domain, 0.0), member.cores)
    return [member for member in known if not _is_weak(member.cores, strongest[member.domain])]


def _is_weak(cores: float, strongest: float) -> bool:
    return cores > 0.0 and strongest >= MIN_CORES_RATIO * cores


class _Average(NamedTuple):
    """A moving average in seconds, last updated at a time."""

    value_s: float
    at: float


class _Delegate:
    """What this node knows of another node that may run queries for it."""

    def __init__(self, *, member: Member) -> None:
        self.member = member
        self.open = 0
        self.retry_at = -math.inf
        self.lost_until = -math.inf
        self.lost_backoff_s = INITIAL_LOST_BACKOFF_S
        self.times: dict[str, _Average] = {}
        self.answered_at = -math.inf

    def max_open(self) -> int:
        return max(1, int(MAX_OPEN_PER_CORE * self.member.cores))


class Delegates:
    """The nodes that may run this node's queries; `cores` is the processor of this node's host.

    Off while `cores` is 0, and where no host of the failure domain is much stronger than this one.
    """

    def __init__(self, *, node: str, domain: str, cores: float) -> None:
        self.node = node
        self.domain = domain
        self.cores = cores
        self._delegates: dict[str, _Delegate] = {}
        self._own_times: dict[str, _Average] = {}

    def __len__(self) -> int:
        return len(self._delegates)

    def set_members(self, members: Iterable[Member]) -> None:
        """Set the registered nodes; those of a node that has moved or gone are forgotten."""
        known, self._delegates = self._delegates, {}
        for member in members:
            if not self._is_stronger(member):
                continue
            before = known.get(member.node)
            is_same = before is not None and before.member == member
            self._delegates[member.node] = (
                before if before is not None and is_same else _Delegate(member=member)
            )

    def _is_stronger(self, member: Member) -> bool:
        if member.node == self.node or member.domain != self.domain:
            return False
        return _is_weak(self.cores, member.cores)

    def choose(self, route: str, parts: int, rng: random.Random, now: float) -> Member | None:
        """Return the node that should run a query, or None if this node should run it itself."""
        if parts < MIN_PARTS:
            return None
        free = [
            delegate
            for delegate in self._delegates.values()
            if now >= delegate.retry_at and delegate.open < delegate.max_open()
        ]
        if not free:
            return None
        best = min(free, key=lambda delegate: self._cost_s(delegate, route, rng, now))
        if self._is_slower_than_here(best, route, now):
            return None
        return best.member

    def _cost_s(
        self, delegate: _Delegate, route: str, rng: random.Random, now: float
    ) -> tuple[float, float]:
        """Return a delegate's expected time; equal ones are told apart by a rank that differs by node."""
        known = _valid(delegate.times.get(route), now)
        queued = 1.0 + delegate.open / delegate.member.cores
        jitter = 1.0 + TIME_JITTER * rng.random()
        rank = unit_interval("delegate", self.node, delegate.member.node)
        return (known or 0.0) * queued * jitter, rank

    def _is_slower_than_here(self, delegate: _Delegate, route: str, now: float) -> bool:
        there_s = _valid(delegate.times.get(route), now)
        here_s = _valid(self._own_times.get(route), now)
        return there_s is not None and here_s is not None and there_s > here_s

    def sent(self, node: str) -> None:
        """Record a query that was handed to a node."""
        delegate = self._delegates.get(node)
        if delegate is not None:
            delegate.open += 1

    def answered(self, node: str, route: str, took_s: float, now: float) -> None:
        """Record the answer of a delegate, `took_s` after the request came to this node."""
        delegate = self._ended(node)
        if delegate is None:
            return
        delegate.lost_backoff_s = INITIAL_LOST_BACKOFF_S
        delegate.answered_at = now
        _update(delegate.times, route, took_s, now)

    def refused(self, node: str, now: float) -> None:
        """Record that a delegate has not begun a query."""
        delegate = self._ended(node)
        if delegate is not None:
            delegate.retry_at = max(delegate.retry_at, now + REFUSED_BACKOFF_S)

    def lost(self, node: str, now: float) -> None:
        """Record that a delegate's answer was lost or given up: the node may be gone, paused or cut off."""
        delegate = self._ended(node)
        if delegate is not None and now >= delegate.lost_until:
            # Queries that are lost together show one fault.
            delegate.lost_until = now + delegate.lost_backoff_s
            delegate.retry_at = max(delegate.retry_at, delegate.lost_until)
            delegate.lost_backoff_s = min(MAX_LOST_BACKOFF_S, 2.0 * delegate.lost_backoff_s)

    def has_answered_since(self, node: str, since: float) -> bool:
        """Return whether a delegate has answered any query since a time: it runs and can be reached."""
        delegate = self._delegates.get(node)
        return delegate is not None and delegate.answered_at > since

    def cancelled(self, node: str) -> None:
        """Record that a query was ended because its caller left."""
        self._ended(node)

    def ran_here(self, route: str, parts: int, took_s: float, now: float) -> None:
        """Record the time of a query that this node has run itself."""
        if parts >= MIN_PARTS and self._delegates:
            _update(self._own_times, route, took_s, now)

    def _ended(self, node: str) -> _Delegate | None:
        delegate = self._delegates.get(node)
        if delegate is not None:
            delegate.open = max(0, delegate.open - 1)
        return delegate


def _update(times: dict[str, _Average], route: str, took_s: float, now: float) -> None:
    before = _valid(times.get(route), now)
    value_s = took_s if before is None else before + TIME_WEIGHT * (took_s - before)
    times[route] = _Average(value_s, now)


def _valid(average: _Average | None, now: float) -> float | None:
    if average is None or now - average.at > TIME_VALID_S:
        return None
    return average.value_s
