"""The connections to one server, reused last in, first out."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_common.http.channel import Channel
from cactussaddle_common.http.channel import ExchangeEnd
from cactussaddle_common.http.channel import Loss

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.bounds import BodyAllowance
    from cactussaddle_common.http.channel import Address
    from cactussaddle_common.http.channel import Exchange

# A connection idle for longer is not used again, whatever the peer says.
FIRST_IDLE_LIMIT_S = 30.0
LEAST_IDLE_LIMIT_S = 0.05
IDLE_LIMIT_CUT = 0.5
# Exchanges that wait for a connection at one server; more are better sent elsewhere.
MAX_WAITING = 16
UNSENT = ExchangeEnd(None, Loss.NEVER_SENT, "waited for a connection", False, 0.0)


class PoolSettings(NamedTuple):
    """`most` connections are kept at once; `opened` hears how long each took to open.

    `allowance` bounds the unfinished bodies of all pools that share it.
    """

    most: int
    connect_timeout_s: float
    opened: Callable[[float], None]
    allowance: BodyAllowance | None = None


class Ticket:
    """An exchange in a pool: on its connection, or waiting for one."""

    __slots__ = ("channel", "exchange", "fresh")

    def __init__(self, *, exchange: Exchange, fresh: bool) -> None:
        self.exchange = exchange
        self.fresh = fresh
        self.channel: Channel | None = None


class Pool:
    """Connections to one address; the owner closes it."""

    def __init__(self, *, address: Address, nursery: trio.Nursery, settings: PoolSettings) -> None:
        self.address = address
        self.most = settings.most
        self.idle_limit_s = FIRST_IDLE_LIMIT_S
        self.channels: set[Channel] = set()
        self._nursery = nursery
        self._settings = settings
        self._idle: list[Channel] = []
        self._queue: deque[Ticket] = deque()
        self._closed = False

    def start(self, exchange: Exchange, *, fresh: bool = False) -> Ticket | None:
        """Begin an exchange, or have it wait for a connection; None when too many wait.

        A `fresh` one is for requests that may not run twice: it never meets a dropped connection.
        """
        if self._closed:
            return None
        ticket = Ticket(exchange=exchange, fresh=fresh)
        if not self._begin(ticket):
            if len(self._queue) >= MAX_WAITING:
                return None
            self._queue.append(ticket)
        return ticket

    def is_active(self, ticket: Ticket) -> bool:
        """Return whether an exchange has not ended yet."""
        if ticket.channel is None:
            return ticket in self._queue
        return ticket.channel.exchange is ticket.exchange

    def cancel(self, ticket: Ticket) -> None:
        """End an exchange by closing its connection, or its wait for one."""
        if ticket.channel is not None:
            ticket.channel.cancel(ticket.exchange)
        elif ticket in self._queue:
            self._queue.remove(ticket)
            ticket.exchange.ended(UNSENT)

    def linger(self, ticket: Ticket, until: float) -> None:
        """Wait for the answer until then at most; one that has not been sent is cancelled."""
        channel = ticket.channel
        if channel is None or not channel.open:
            self.cancel(ticket)
        elif channel.exchange is ticket.exchange:
            channel.linger_until = until

    def warm(self, count: int) -> None:
        """Open connections until there are `count`."""
        while len(self.channels) < min(count, self.most) and not self._closed:
            self._open()

    def flush(self) -> None:
        """Close the idle connections: one of them has turned out to be dead."""
        for channel in list(self._idle):
            channel.close()

    def dropped_idle(self, idle_s: float) -> None:
        """Take in that the peer had dropped a connection that was idle for `idle_s`."""
        limit_s = max(LEAST_IDLE_LIMIT_S, IDLE_LIMIT_CUT * idle_s)
        self.idle_limit_s = min(self.idle_limit_s, limit_s)

    def sweep(self, now: float) -> None:
        """Close what has been idle for too long, and calls that nobody waits for any more."""
        for channel in list(self._idle):
            if self._is_stale(channel, now):
                channel.close()
        for channel in list(self.channels):
            if channel.linger_until is not None and channel.linger_until <= now:
                channel.close()

    def close(self) -> None:
        """Close all connections but those with a call under way, which end with it."""
        self._closed = True
        self._turn_away()
        self.flush()

    def abort(self) -> None:
        """Close all connections at once."""
        self._closed = True
        self._turn_away()
        for channel in list(self.channels):
            channel.close()

    def _turn_away(self) -> None:
        while self._queue:
            self._queue.popleft().exchange.ended(UNSENT)

    def _begin(self, ticket: Ticket) -> bool:
        now = trio.current_time()
        channel = None if ticket.fresh else self._take_idle(now)
        if channel is None:
            if len(self.channels) >= self.most and not self._close_one_idle():
                return False
            channel = self._open()
        ticket.channel = channel
        channel.start(ticket.exchange)
        return True

    def _serve_queue(self) -> None:
        while self._queue and not self._closed:
            ticket = self._queue.popleft()
            if not self._begin(ticket):
                self._queue.appendleft(ticket)
                return

    def _open(self) -> Channel:
        channel = Channel(
            address=self.address,
            nursery=self._nursery,
            connect_timeout_s=self._settings.connect_timeout_s,
            connected=self._connected,
            idle=self._fell_idle,
            closed=self._channel_closed,
            allowance=self._settings.allowance,
        )
        self.channels.add(channel)
        self._nursery.start_soon(channel.run)
        return channel

    def _take_idle(self, now: float) -> Channel | None:
        while self._idle:
            channel = self._idle.pop()
            if not self._is_stale(channel, now):
                return channel
            channel.close()
        return None

    def _is_stale(self, channel: Channel, now: float) -> bool:
        return now - channel.idle_since > self.idle_limit_s or now > channel.idle_until

    def _close_one_idle(self) -> bool:
        if not self._idle:
            return False
        self._idle[0].close()
        return True

    def _connected(self, channel: Channel, took_s: float) -> None:
        self._settings.opened(took_s)

    def _fell_idle(self, channel: Channel) -> None:
        channel.linger_until = None
        if self._closed:
            channel.close()
        else:
            self._idle.append(channel)
            self._serve_queue()

    def _channel_closed(self, channel: Channel) -> None:
        self.channels.discard(channel)
        if channel in self._idle:
            self._idle.remove(channel)
        self._serve_queue()
