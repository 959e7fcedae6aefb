"""Pool of connections to one leaf."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Self

import trio

from cactussaddle_node.leafclient.connection import LeafConnection

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from trio.abc import Stream

    from cactussaddle_node.leafclient.model import ConnectionHooks

    Connect = Callable[[], Awaitable[Stream]]


WATCH_INTERVAL_S = 0.1


class Acquired(NamedTuple):
    """A connection acquired for one exchange; `connect_s` is 0 for a reused one."""

    conn: LeafConnection
    connect_s: float


class LeafPool:
    """Pool of connections that reuses the most recently used idle connection first.

    Limits change over time, so each caller passes the current one. A connection counts towards
    the limit from just before it is opened until it is closed.
    """

    def __init__(
        self,
        *,
        connect: Connect,
        connect_timeout_s: float,
        hooks: ConnectionHooks,
    ) -> None:
        self._connect = connect
        self._connect_timeout_s = connect_timeout_s
        self._hooks = hooks
        self._idle: deque[LeafConnection] = deque()
        self._idle_added = trio.lowlevel.ParkingLot()
        self._watched: LeafConnection | None = None
        self._watch_scope = trio.CancelScope()
        self._waiters = trio.lowlevel.ParkingLot()
        self._open = 0
        self._closed = False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._closed = True
        with trio.CancelScope(shield=True):
            await self.close_idle(len(self._idle))

    @property
    def connections(self) -> int:
        """Number of open connections, including those being opened."""
        return self._open

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    @property
    def busy(self) -> int:
        """Number of connections in use, including those being opened."""
        return self._open - len(self._idle)

    def acquire_idle(self, limit: int, reserved: int = 0) -> Acquired | None:
        """Return an idle connection without waiting, or None when `acquire` is needed."""
        if not self._idle or self._open > limit or self.busy >= limit - reserved:
            return None
        if not self._idle[-1].is_quiet():
            return None
        return Acquired(self._pop_idle(), 0.0)

    async def acquire(self, limit: int, reserved: int = 0) -> Acquired:
        """Return an idle or a new connection, with at most `limit` connections open.

        Wait while all but `reserved` connections of the limit are busy. Raise `OSError` when no
        connection may be opened or opening one fails.
        """
        if limit <= reserved:
            raise ConnectionRefusedError("connection limit leaves no connection for this request")
        while True:
            await self._trim(limit)
            if self.busy < limit - reserved:
                reused = await self._reuse()
                if reused is not None:
                    return Acquired(reused, 0.0)
                if self._open < limit:
                    return await self._open_new()
                continue
            await self._waiters.park()

    async def release(self, conn: LeafConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if self._closed or not conn.reusable:
            await self._close(conn)
            return
        self._idle.append(conn)
        self._idle_added.unpark_all()
        self._waiters.unpark_all()

    async def watch_idle(self) -> None:
        """Watch the longest idle connection, and drop all ended ones when it ends. Never returns."""
        while True:
            if not self._idle:
                await self._idle_added.park()
            # On a busy leaf, connections are idle only briefly; watching each of those would add
            # overhead to every call.
            await trio.sleep(WATCH_INTERVAL_S)
            if not self._idle:
                continue
            with trio.CancelScope() as self._watch_scope:
                self._watched = self._idle[0]
                await self._watched.wait_readable()
            self._watched = None
            await self._drop_ended()

    async def warm(self, count: int, limit: int) -> int:
        """Open connections until `count` are idle or `limit` are open; return the idle count."""
        try:
            while self.idle < count and self._open < limit:
                acquired = await self._open_new()
                await self.release(acquired.conn)
        except OSError:
            pass
        return self.idle

    async def close_idle(self, count: int) -> int:
        """Close up to `count` idle connections, longest idle first; return how many were closed."""
        closed = 0
        while closed < count and self._idle:
            await self._close(self._idle.popleft())
            closed += 1
        return closed

    async def _trim(self, limit: int) -> None:
        excess = self._open - limit
        if excess > 0:
            await self.close_idle(excess)

    async def _reuse(self) -> LeafConnection | None:
        while self._idle:
            conn = self._pop_idle()
            end = conn.idle_end()
            if end is None:
                return conn
            self._hooks.idle_ended(end)
            await self._close(conn)
        return None

    def _pop_idle(self) -> LeafConnection:
        conn = self._idle.pop()
        if conn is self._watched:
            self._watch_scope.cancel()
        return conn

    async def _drop_ended(self) -> None:
        for conn in list(self._idle):
            # While `_close` awaits, other tasks may take or close idle connections.
            end = conn.idle_end() if conn in self._idle else None
            if end is not None:
                self._idle.remove(conn)
                self._hooks.idle_ended(end)
                await self._close(conn)

    async def _open_new(self) -> Acquired:
        if not self._hooks.may_open():
            raise ConnectionRefusedError("opening a connection is not permitted at present")
        started = trio.current_time()
        self._open += 1
        conn: LeafConnection | None = None
        try:
            with trio.move_on_after(self._connect_timeout_s):
                conn = LeafConnection(stream=await self._connect())
        finally:
            if conn is None:
                self._count_closed()
        if conn is None:
            raise TimeoutError("connection attempt timed out")
        if not conn.is_quiet():
            await self._close(conn)
            raise ConnectionRefusedError(
                "leaf closed the connection immediately after accepting it"
            )
        return Acquired(conn, trio.current_time() - started)

    async def _close(self, conn: LeafConnection) -> None:
        try:
            await conn.aclose()
        finally:
            self._count_closed()

    def _count_closed(self) -> None:
        self._open -= 1
        self._hooks.closed()
        self._waiters.unpark_all()
