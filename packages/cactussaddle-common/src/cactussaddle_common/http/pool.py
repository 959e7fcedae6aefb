"""The connections to one server, reused last in, first out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_common.http.channel import Channel

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.channel import Address
    from cactussaddle_common.http.channel import Exchange

# A connection idle for longer is not used again: the peer may have dropped it.
FIRST_IDLE_LIMIT_S = 8.0
LEAST_IDLE_LIMIT_S = 0.05
IDLE_LIMIT_CUT = 0.5


class PoolSettings(NamedTuple):
    """`most` connections are kept at once; `opened` hears how long each took to open."""

    most: int
    connect_timeout_s: float
    opened: Callable[[float], None]


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
        self._closed = False

    def start(self, exchange: Exchange, *, fresh: bool = False) -> Channel | None:
        """Begin an exchange; None when no further connection is allowed.

        A `fresh` one is for requests that may not run twice: it never meets a dropped connection.
        """
        if self._closed:
            return None
        now = trio.current_time()
        channel = None if fresh else self._take_idle(now)
        if channel is None:
            if len(self.channels) >= self.most and not self._close_one_idle():
                return None
            channel = self._open()
        channel.start(exchange)
        return channel

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
            if now - channel.idle_since > self.idle_limit_s:
                channel.close()
        for channel in list(self.channels):
            if channel.linger_until is not None and channel.linger_until <= now:
                channel.close()

    def close(self) -> None:
        """Close all connections but those with a call under way, which end with it."""
        self._closed = True
        self.flush()

    def abort(self) -> None:
        """Close all connections at once."""
        self._closed = True
        for channel in list(self.channels):
            channel.close()

    def _open(self) -> Channel:
        channel = Channel(
            address=self.address,
            nursery=self._nursery,
            connect_timeout_s=self._settings.connect_timeout_s,
            connected=self._connected,
            idle=self._fell_idle,
            closed=self._channel_closed,
        )
        self.channels.add(channel)
        self._nursery.start_soon(channel.run)
        return channel

    def _take_idle(self, now: float) -> Channel | None:
        while self._idle:
            channel = self._idle.pop()
            if now - channel.idle_since <= self.idle_limit_s:
                return channel
            channel.close()
        return None

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

    def _channel_closed(self, channel: Channel) -> None:
        self.channels.discard(channel)
        if channel in self._idle:
            self._idle.remove(channel)
