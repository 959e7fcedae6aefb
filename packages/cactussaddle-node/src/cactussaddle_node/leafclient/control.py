"""Control requests to a leaf: health checks and the cancellation of calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from cactussaddle_core.calls import CallOutcome
from cactussaddle_node.leafclient.connection import CONNECTION_ERRORS
from cactussaddle_node.leafclient.model import IdleEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_node.leafclient.connection import Response
    from cactussaddle_node.leafclient.pool import LeafPool

CONTROL_TIMEOUT_S = 0.5
CONTROL_CONNECTIONS = 1
IDLE_CHECK_TIMEOUT_S = 0.1


class ControlChannel:
    """Sends control requests over the connections of `pool`.

    `host` is the leaf's `host:port`, and `limit` the number of connections that may be open.
    `idle_ended` is called with the cause when an idle connection turns out to have ended. A
    request without a response returns a `CallOutcome` that says how it failed.
    """

    def __init__(
        self, *, pool: LeafPool, host: bytes, idle_ended: Callable[[IdleEnd], None]
    ) -> None:
        self._pool = pool
        self._host = host
        self._idle_ended = idle_ended
        self.limit = CONTROL_CONNECTIONS + 1

    async def health(self, timeout_s: float) -> Response | CallOutcome:
        """Request the leaf's health on an idle or a new connection."""
        return await self._request(b"GET", b"/health", timeout_s)

    async def end_call(self, call_id: str, timeout_s: float) -> Response | CallOutcome:
        """Cancel a call on the leaf; any response, whatever its status, confirms receipt."""
        return await self._request(b"DELETE", f"/v1/calls/{call_id}".encode("ascii"), timeout_s)

    async def idle_health(self) -> Response | CallOutcome:
        """Request the leaf's health on an idle connection.

        If that connection is silent, all idle connections are closed. Return `REFUSED` when no
        idle connection is available.
        """
        acquired = self._pool.acquire_idle(self._connection_limit())
        if acquired is None:
            return CallOutcome.REFUSED
        response: Response | CallOutcome = CallOutcome.SILENT
        try:
            with trio.move_on_after(IDLE_CHECK_TIMEOUT_S):
                response = await acquired.conn.exchange(b"GET", b"/health", [(b"host", self._host)])
        except CONNECTION_ERRORS as exc:
            response = CallOutcome.RESET
            self._idle_ended(IdleEnd.CLOSED if isinstance(exc, EOFError) else IdleEnd.RESET)
        finally:
            await self._pool.release(acquired.conn)
        if response is CallOutcome.SILENT:
            await self.close_idle()
        return response

    async def close_idle(self) -> None:
        """Close all idle connections, since they may be silent like the one that just failed."""
        await self._pool.close_idle(self._pool.idle)

    async def _request(
        self, method: bytes, target: bytes, timeout_s: float
    ) -> Response | CallOutcome:
        kind = CallOutcome.REFUSED
        with trio.move_on_after(timeout_s):
            try:
                acquired = await self._pool.acquire(self._connection_limit())
            except OSError:
                return CallOutcome.REFUSED
            kind = CallOutcome.SILENT
            try:
                return await acquired.conn.exchange(method, target, [(b"host", self._host)])
            except CONNECTION_ERRORS:
                return CallOutcome.RESET
            finally:
                await self._pool.release(acquired.conn)
        return kind

    def _connection_limit(self) -> int:
        return max(self.limit, CONTROL_CONNECTIONS)


def reserved_connections(limit: int) -> int:
    """Return how many of `limit` connections are reserved for control requests."""
    return CONTROL_CONNECTIONS if limit > CONTROL_CONNECTIONS else 0
