"""A connection pool for one server; idle connections are reused last in, first out."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_common.http.channel import Channel
from cactussaddle_common.http.channel import ExchangeFailure
from cactussaddle_common.http.channel import ExchangeResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.bounds import BodyAllowance
    from cactussaddle_common.http.channel import Address
    from cactussaddle_common.http.channel import Exchange
    from cactussaddle_common.tasks import TaskStarter

# A connection that has been idle for longer is not reused, whatever keep-alive timeout the peer sent.
INITIAL_IDLE_LIMIT_S = 30.0
MIN_IDLE_LIMIT_S = 0.05
IDLE_LIMIT_FACTOR = 0.5
# Limit for the exchanges that wait for a connection to one server; any more are better sent to
# another server.
MAX_QUEUED = 16
UNSENT = ExchangeResult(
    None, ExchangeFailure.NEVER_SENT, "ended while waiting for a connection", False, 0.0
)


def _ignore_drop() -> None:
    """Do nothing."""


class PoolSettings(NamedTuple):
    """Settings of a pool.

    At most `max_connections` are open at a time, and `on_open` is called with the time that opening
    each one took. `allowance` limits the unfinished bodies of all pools that share it. If responses
    don't identify their requests, an idle connection `is_checked` for unread data before it is reused.
    `on_drop` is called when the peer ends an idle connection before its time.
    """

    max_connections: int
    connect_timeout_s: float
    on_open: Callable[[float], None]
    allowance: BodyAllowance | None = None
    is_checked: bool = False
    on_drop: Callable[[], None] = _ignore_drop


class Ticket:
    """An exchange in a pool, either on a connection or waiting for one."""

    __slots__ = ("channel", "exchange", "fresh")

    def __init__(self, *, exchange: Exchange, fresh: bool) -> None:
        self.exchange = exchange
        self.fresh = fresh
        self.channel: Channel | None = None


class Pool:
    """A pool of at most `most` connections to one address; its owner has to close it."""

    def __init__(self, *, address: Address, nursery: TaskStarter, settings: PoolSettings) -> None:
        self.address = address
        self.most = settings.max_connections
        self.idle_limit_s = INITIAL_IDLE_LIMIT_S
        self.channels: set[Channel] = set()
        self._nursery = nursery
        self._settings = settings
        self._idle: list[Channel] = []
        self._queue: deque[Ticket] = deque()
        self._closed = False

    def start(self, exchange: Exchange, *, fresh: bool = False) -> Ticket | None:
        """Start an exchange or queue it; None if the queue is full or the pool is closed.

        A `fresh` exchange never uses an idle connection, which the peer may have closed already. It is
        meant for requests that must not be executed twice.
        """
        if self._closed:
            return None
        ticket = Ticket(exchange=exchange, fresh=fresh)
        if not self._try_start(ticket):
            if len(self._queue) >= MAX_QUEUED:
                return None
            self._queue.append(ticket)
        return ticket

    def has_idle(self, now: float) -> bool:
        """Return whether an idle connection could be reused."""
        return any(not self._is_stale(channel, now) for channel in self._idle)

    def has_room(self) -> bool:
        """Return whether an exchange would get a new connection without waiting."""
        return not self._closed and (len(self.channels) < self.most or bool(self._idle))

    def is_active(self, ticket: Ticket) -> bool:
        """Return whether an exchange is queued or in progress."""
        if ticket.channel is None:
            return ticket in self._queue
        return ticket.channel.exchange is ticket.exchange

    def cancel(self, ticket: Ticket) -> None:
        """Cancel an exchange by closing its connection or removing it from the queue."""
        if ticket.channel is not None:
            ticket.channel.cancel(ticket.exchange)
        elif ticket in self._queue:
            self._queue.remove(ticket)
            ticket.exchange.ended(UNSENT)

    def linger(self, ticket: Ticket, until: float) -> None:
        """Wait for the response until `until` at most; a request not sent yet is cancelled."""
        channel = ticket.channel
        if channel is None or not channel.open:
            self.cancel(ticket)
        elif channel.exchange is ticket.exchange:
            channel.linger_until = until

    def warm(self, count: int) -> None:
        """Open connections until there are `count`, or as many as allowed."""
        with suppress(OSError):
            while len(self.channels) < min(count, self.most) and not self._closed:
                self._open()

    def flush(self) -> None:
        """Close all idle connections, for example after one of them was found dead."""
        for channel in list(self._idle):
            channel.close()

    def record_idle_drop(self, idle_s: float) -> None:
        """Lower the idle limit after the peer dropped a connection that was idle for `idle_s`."""
        limit_s = max(MIN_IDLE_LIMIT_S, IDLE_LIMIT_FACTOR * idle_s)
        self.idle_limit_s = min(self.idle_limit_s, limit_s)

    def sweep(self, now: float) -> None:
        """Close connections that are idle for too long or whose exchange has passed its linger time."""
        for channel in list(self._idle):
            if self._is_stale(channel, now):
                channel.close()
        for channel in list(self.channels):
            if channel.linger_until is not None and channel.linger_until <= now:
                channel.close()

    def close(self) -> None:
        """Close idle connections and reject queued exchanges; the others close after their exchange."""
        self._closed = True
        self._reject_queued()
        self.flush()

    def abort(self) -> None:
        """Close all connections immediately."""
        self._closed = True
        self._reject_queued()
        for channel in list(self.channels):
            channel.close()

    def _reject_queued(self) -> None:
        while self._queue:
            self._queue.popleft().exchange.ended(UNSENT)

    def _try_start(self, ticket: Ticket) -> bool:
        """Start an exchange, or end it if the process may open no more sockets; False if it must wait."""
        now = trio.current_time()
        channel = None if ticket.fresh else self._pop_idle(now)
        if channel is None:
            if len(self.channels) >= self.most and not self._close_oldest_idle():
                return False
            try:
                channel = self._open()
            except OSError as exc:
                ticket.exchange.ended(_not_opened(exc))
                return True
        ticket.channel = channel
        channel.start(ticket.exchange)
        return True

    def _start_queued(self) -> None:
        while self._queue and not self._closed:
            ticket = self._queue.popleft()
            if not self._try_start(ticket):
                self._queue.appendleft(ticket)
                return

    def _open(self) -> Channel:
        channel = Channel(
            address=self.address,
            nursery=self._nursery,
            connect_timeout_s=self._settings.connect_timeout_s,
            on_connected=self._handle_connected,
            on_idle=self._handle_idle,
            on_closed=self._handle_closed,
            allowance=self._settings.allowance,
        )
        self.channels.add(channel)
        self._nursery.start_soon(channel.run)
        return channel

    def _pop_idle(self, now: float) -> Channel | None:
        while self._idle:
            channel = self._idle.pop()
            is_spoiled = self._settings.is_checked and channel.has_unread_data()
            if not is_spoiled and not self._is_stale(channel, now):
                return channel
            channel.close()
        return None

    def _is_stale(self, channel: Channel, now: float) -> bool:
        return now - channel.idle_since > self.idle_limit_s or now > channel.idle_until

    def _close_oldest_idle(self) -> bool:
        if not self._idle:
            return False
        self._idle[0].close()
        return True

    def _handle_connected(self, channel: Channel, took_s: float) -> None:
        self._settings.on_open(took_s)

    def _handle_idle(self, channel: Channel) -> None:
        channel.linger_until = None
        if self._closed:
            channel.close()
        else:
            self._idle.append(channel)
            self._start_queued()

    def _handle_closed(self, channel: Channel) -> None:
        self.channels.discard(channel)
        if channel in self._idle:
            self._idle.remove(channel)
        if channel.dropped:
            self._settings.on_drop()
        self._start_queued()


def _not_opened(exc: OSError) -> ExchangeResult:
    return ExchangeResult(None, ExchangeFailure.NEVER_SENT, str(exc), False, 0.0)
