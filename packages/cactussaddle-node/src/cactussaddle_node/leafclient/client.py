"""Client of one leaf: calls with deadlines, cancellation and detection of silent connections."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self

import trio

from returns.result import Failure
from returns.result import Result

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_node.leafclient.active import ActiveCall
from cactussaddle_node.leafclient.connection import CONNECTION_ERRORS
from cactussaddle_node.leafclient.connection import tcp_connector
from cactussaddle_node.leafclient.control import CONTROL_TIMEOUT_S
from cactussaddle_node.leafclient.control import IDLE_CHECK_TIMEOUT_S
from cactussaddle_node.leafclient.control import ControlChannel
from cactussaddle_node.leafclient.control import reserved_connections
from cactussaddle_node.leafclient.messages import call_headers
from cactussaddle_node.leafclient.messages import call_reply
from cactussaddle_node.leafclient.messages import read_health
from cactussaddle_node.leafclient.model import NO_HOOKS
from cactussaddle_node.leafclient.model import HealthError
from cactussaddle_node.leafclient.model import LeafReply
from cactussaddle_node.leafclient.model import LeafRequest
from cactussaddle_node.leafclient.model import ProbeResult
from cactussaddle_node.leafclient.pool import LeafPool
from cactussaddle_node.leafclient.silence import SilenceDetector

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from trio.abc import Stream

    from cactussaddle_node.leafclient.connection import LeafConnection
    from cactussaddle_node.leafclient.connection import Response
    from cactussaddle_node.leafclient.model import ConnectionHooks
    from cactussaddle_node.leafclient.model import LeafHealth
    from cactussaddle_node.leafclient.pool import Acquired

CONNECT_TIMEOUT_S = 1.0
SILENT_GRACE_S = 0.1
CANCEL_GRACE_S = 0.25
INITIAL_TYPICAL_LATENCY_S = 0.02
TYPICAL_LATENCY_WEIGHT = 0.1
SUSPECT_FACTOR = 5.0
SUSPECT_MIN_S = 0.05
MOVE_FACTOR = 25.0
MOVE_MIN_S = 0.2


class LeafClient:
    """Client of one leaf.

    `address` is `host:port`; `local_host` is the local address that connections are bound to;
    `connect`, if given, opens the connections instead of TCP.

    A leaf responds by the deadline that it was given, if only with 504. A call that has received
    no byte `silent_grace_s` after its deadline therefore ends as `SILENT`. When a call waits much
    longer than the typical latency, its connection is checked. If the connection is silent, an
    idempotent call is moved to a new connection, after the leaf has confirmed on a new connection
    that the call isn't running.

    With a limit of two connections or more, calls leave one to cancellation and health checks.
    `hooks.idle_ended` is called for each idle connection that the leaf has closed or reset:
    immediately while `watch_idle` runs, otherwise at the connection's next use.
    """

    def __init__(
        self,
        *,
        address: str,
        local_host: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        silent_grace_s: float = SILENT_GRACE_S,
        connect: Callable[[], Awaitable[Stream]] | None = None,
        hooks: ConnectionHooks = NO_HOOKS,
    ) -> None:
        self._host = address.encode("ascii")
        self._silent_grace_s = silent_grace_s
        self._active: dict[str, ActiveCall] = {}
        self._typical_latency_s = INITIAL_TYPICAL_LATENCY_S
        self._pool = LeafPool(
            connect=connect or tcp_connector(address, local_host),
            connect_timeout_s=connect_timeout_s,
            hooks=hooks,
        )
        self._control = ControlChannel(
            pool=self._pool, host=self._host, idle_ended=hooks.idle_ended
        )
        self._silence = SilenceDetector(
            control=self._control, on_silence=self._recheck_waiting_calls
        )

    async def __aenter__(self) -> Self:
        await self._pool.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._pool.__aexit__(*exc_info)

    @property
    def connections(self) -> int:
        """Number of open connections, including those being opened."""
        return self._pool.connections

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return self._pool.idle

    @property
    def active(self) -> int:
        """Number of calls in progress."""
        return len(self._active)

    async def watch_idle(self) -> None:
        """Report ended idle connections to `hooks.idle_ended` immediately, until cancelled."""
        await self._pool.watch_idle()

    async def set_limit(self, connections: int) -> None:
        """Apply a new connection limit between calls, closing excess idle connections."""
        self._control.limit = connections
        await self._pool.close_idle(self._pool.connections - connections)

    async def close_idle(self, count: int) -> int:
        """Close up to `count` idle connections and return how many were closed."""
        return await self._pool.close_idle(count)

    async def warm(self, count: int, connections_allowed: int) -> int:
        """Open connections until `count` are idle or the limit is reached; return the idle count."""
        self._control.limit = connections_allowed
        return await self._pool.warm(count, connections_allowed)

    async def call(self, req: LeafRequest, connections_allowed: int) -> LeafReply:
        """Run one call. Network errors are never raised; the reply's `kind` reports them."""
        require(
            req.call_id not in self._active,
            Promise.OWN_ANSWER,
            f"call id already in use: {req.call_id}",
        )
        self._control.limit = connections_allowed
        deadline = trio.current_time() + req.deadline_s
        active = ActiveCall(scope=trio.CancelScope(deadline=deadline), expires_at=deadline)
        self._active[req.call_id] = active
        try:
            return await self._run(req, active, deadline)
        finally:
            del self._active[req.call_id]

    async def cancel(self, call_id: str) -> None:
        """Cancel a call on the leaf; it ends with a 499 response or after `CANCEL_GRACE_S`."""
        active = self._active.get(call_id)
        if active is None or active.cancelled:
            return
        active.cancelled = True
        if not active.sent or self._pool.busy >= self._control.limit:
            active.scope.cancel()
            return
        expires_at = trio.current_time() + CANCEL_GRACE_S
        active.expire_by(expires_at)
        await self._control.end_call(call_id, CANCEL_GRACE_S)

    async def health(self, timeout_s: float = CONTROL_TIMEOUT_S) -> Result[LeafHealth, HealthError]:
        """Fetch the leaf's health report, retrying once if an idle connection fails."""
        response = await self._control.idle_health()
        if isinstance(response, CallOutcome):
            response = await self._control.health(timeout_s)
        if isinstance(response, CallOutcome):
            return Failure(HealthError(response, "no response"))
        return read_health(response)

    async def _run(self, req: LeafRequest, active: ActiveCall, deadline: float) -> LeafReply:
        limit = self._control.limit
        acquired = self._pool.acquire_idle(limit, reserved_connections(limit))
        if acquired is None:
            acquired = await self._acquire(active)
        if acquired is None:
            kind = CallOutcome.CANCELLED if active.cancelled else CallOutcome.REFUSED
            return LeafReply(kind, 0, b"", 0.0, 0.0, sent=False, ended=True)
        reply = await self._exchange(req, active, acquired, deadline)
        if reply.kind is CallOutcome.SILENT and reply.probe is ProbeResult.NOT_TRIED:
            return reply._replace(probe=await self._probe_server())
        return reply

    async def _acquire(self, active: ActiveCall) -> Acquired | None:
        limit = self._control.limit
        acquired: Acquired | None = None
        with active.scope:
            try:
                acquired = await self._pool.acquire(limit, reserved_connections(limit))
            except OSError:
                acquired = None
        return acquired

    async def _exchange(
        self, req: LeafRequest, active: ActiveCall, acquired: Acquired, deadline: float
    ) -> LeafReply:
        conn = acquired.conn
        started = trio.current_time()
        active.expires_at = deadline + self._silent_grace_s
        active.sent = True
        response: Response | None = None
        kind = CallOutcome.SILENT
        try:
            response = await self._send_and_receive(req, active, conn, deadline)
        except CONNECTION_ERRORS:
            kind = CallOutcome.RESET
        finally:
            active.waiting_since = None
            received = conn.received
            await self._pool.release(conn)
        if active.move_pending:
            return await self._move(req, active, deadline, started)
        latency_s = trio.current_time() - started
        if response is not None:
            self._typical_latency_s += TYPICAL_LATENCY_WEIGHT * (
                latency_s - self._typical_latency_s
            )
            return call_reply(response, latency_s, acquired.connect_s)
        if received:
            kind = CallOutcome.RESET
        ended = kind is CallOutcome.RESET
        if active.cancelled:
            kind = CallOutcome.CANCELLED
            ended = ended or await self._confirm_ended(req)
        return LeafReply(kind, 0, b"", latency_s, acquired.connect_s, sent=True, ended=ended)

    async def _send_and_receive(
        self, req: LeafRequest, active: ActiveCall, conn: LeafConnection, deadline: float
    ) -> Response | None:
        """Send the call and return its response.

        Return None when the time has run out, or with `active.move_pending` set when the call is
        to be moved. A call that may be moved is moved once it exceeds `_suspect_s` on a silent
        connection, or once it exceeds `MOVE_FACTOR` times the typical latency.
        """
        started = trio.current_time()
        active.waiting_since = started
        with active.start_step(started + self._suspect_s()):
            headers = call_headers(self._host, req, deadline - started)
            call_id = req.call_id.encode("ascii")
            await conn.send_request(b"POST", b"/v1/calls", headers, req.body, call_id)
            return await conn.read_response()
        if not conn.sent:
            return None
        silent = await self._is_silent(active, conn)
        if not silent:
            with active.start_step(
                started + max(MOVE_MIN_S, MOVE_FACTOR * self._typical_latency_s)
            ):
                return await conn.read_response()
        active.waiting_since = None
        if _is_movable(req, active, conn) and trio.current_time() < deadline:
            active.move_pending = True
            return None
        if active.cancelled and self._silence.is_affected(conn):
            return None
        with active.start_step(active.expires_at):
            return await conn.read_response()
        return None

    def _suspect_s(self) -> float:
        """Return the wait after which a call's connection is suspected to be silent."""
        return max(SUSPECT_MIN_S, SUSPECT_FACTOR * self._typical_latency_s)

    async def _is_silent(self, active: ActiveCall, conn: LeafConnection) -> bool:
        if active.moved or conn.received or not conn.is_quiet():
            return False
        late = trio.current_time() - self._suspect_s()
        waiting = [
            other.waiting_since
            for other in self._active.values()
            if other is not active and other.waiting_since is not None
        ]
        return await self._silence.is_silent(conn, others_waiting=min(waiting, default=late) < late)

    def _recheck_waiting_calls(self) -> None:
        """Interrupt the waiting calls, so that each checks its own connection."""
        for active in self._active.values():
            active.interrupt_wait(trio.current_time())

    async def _move(
        self, req: LeafRequest, active: ActiveCall, deadline: float, started: float
    ) -> LeafReply:
        """Confirm on a new connection that the call isn't running, then send it again."""
        active.move_pending = False
        active.moved = True
        left_s = max(0.0, deadline - trio.current_time())
        answer = await self._control.end_call(req.call_id, min(CONTROL_TIMEOUT_S, left_s))
        if isinstance(answer, CallOutcome):
            return await self._wait_until_expired(active, started)
        if active.cancelled:
            latency_s = trio.current_time() - started
            return LeafReply(CallOutcome.CANCELLED, 0, b"", latency_s, 0.0, sent=True, ended=True)
        active.sent = False
        active.expires_at = deadline
        active.start_step(deadline)
        reply = await self._run(req, active, deadline)
        return reply._replace(sent=True, probe=ProbeResult.SERVER_ANSWERS)

    async def _confirm_ended(self, req: LeafRequest) -> bool:
        """Return whether the leaf confirms that a call with a closed connection has ended."""
        answer = await self._control.end_call(req.call_id, IDLE_CHECK_TIMEOUT_S)
        if isinstance(answer, CallOutcome):
            await self._control.close_idle()
            answer = await self._control.end_call(req.call_id, CONTROL_TIMEOUT_S)
        return not isinstance(answer, CallOutcome)

    async def _wait_until_expired(self, active: ActiveCall, started: float) -> LeafReply:
        """Wait out the time in which the call may still run on an unreachable leaf."""
        with active.start_step(active.expires_at):
            await trio.sleep_forever()
        kind = CallOutcome.CANCELLED if active.cancelled else CallOutcome.SILENT
        latency_s = trio.current_time() - started
        return LeafReply(kind, 0, b"", latency_s, 0.0, True, False, probe=ProbeResult.SERVER_SILENT)

    async def _probe_server(self) -> ProbeResult:
        """Check the leaf's health on a new connection; the idle ones may be silent as well."""
        await self._control.close_idle()
        if isinstance(await self._control.health(CONTROL_TIMEOUT_S), CallOutcome):
            return ProbeResult.SERVER_SILENT
        return ProbeResult.SERVER_ANSWERS


def _is_movable(req: LeafRequest, active: ActiveCall, conn: LeafConnection) -> bool:
    """Return whether the call may be moved to a new connection.

    A call that isn't idempotent is never moved, since it may have been executed.
    """
    if active.cancelled or active.moved or req.idempotency_key is not None:
        return False
    return not conn.received and conn.is_quiet()
