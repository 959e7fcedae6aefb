"""Sends calls and health probes to leaves and feeds their results as events."""

from __future__ import annotations

import functools

from typing import TYPE_CHECKING

import trio

from cactussaddle_common.http.bounds import BodyAllowance
from cactussaddle_common.http.channel import Address
from cactussaddle_common.http.channel import Exchange
from cactussaddle_common.http.channel import ExchangeFailure
from cactussaddle_common.http.fetch import accept_any
from cactussaddle_common.http.fetch import fetch
from cactussaddle_common.http.message import HEAD
from cactussaddle_common.http.pool import Pool
from cactussaddle_common.http.pool import PoolSettings
from cactussaddle_core.edge import events as ev
from cactussaddle_core.fanout.model import CallEnd
from cactussaddle_core.fanout.model import CallEnding
from cactussaddle_core.fleet.model import Availability
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from cactussaddle_node.edge.busyclock import no_reading

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.channel import ExchangeResult
    from cactussaddle_common.http.pool import Ticket
    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_core.edge.effects import ConnectionLimits
    from cactussaddle_core.fanout.effects import EndCall
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.routing.model import Route
    from cactussaddle_core.waiting.room import HostReading
    from cactussaddle_node.edge.guard import TaskGuard
    from cactussaddle_node.edge.wire import LeafWire

MIB = 1024 * 1024
ALWAYS_ALLOWED_BYTES = MIB // 4
MAX_REPLY_BYTES = 16 * MIB
# The response to a part has about the requested number of records; a leaf may send more.
MIN_PART_LIMIT_BYTES = 64 * 1024
PART_BYTES_PER_RECORD = 256
MAX_HEALTH_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.8
# A probe on a reused connection, which may be silent, waits only so long before a new one is tried.
REUSED_PROBE_TIMEOUT_S = 0.25
NO_ANSWER = ProbeResult(
    end=ProbeOutcome.SILENT, leaf="", healthy=False, cold_left_s=None, work_s=0.0
)


class LeafCaller:
    """Connection pools for all leaves of this node; `wire` encodes and decodes their protocol.

    `max_buffered_bytes` limits the buffered bytes of incomplete responses from all leaves.
    """

    def __init__(
        self,
        *,
        nursery: TaskStarter,
        wire: LeafWire,
        local_host: str,
        feed: Callable[[ev.Event], None],
        guard: TaskGuard,
        max_buffered_bytes: int,
        read_host: Callable[[], HostReading] = no_reading,
    ) -> None:
        self._nursery = nursery
        self._read_host = read_host
        self._guard = guard
        self._wire = wire
        self._local_host = local_host
        self._feed = feed
        self._pools: dict[str, Pool] = {}
        self._closing_pools: list[Pool] = []
        self._tickets: dict[int, tuple[Pool, Ticket]] = {}
        self._allowance = BodyAllowance(
            max_bytes=max_buffered_bytes, guaranteed_bytes=ALWAYS_ALLOWED_BYTES
        )

    def update_pools(self, leaves: tuple[ConnectionLimits, ...]) -> None:
        """Keep pools for exactly these leaves; open missing ones and close the rest."""
        wanted = {kept.leaf.name: kept for kept in leaves}
        for name, pool in list(self._pools.items()):
            kept = wanted.get(name)
            if kept is None or pool.address != self._address(kept.leaf):
                pool.close()
                self._closing_pools.append(self._pools.pop(name))
        for kept in leaves:
            pool = self._pool(kept.leaf)
            pool.most = kept.most
            pool.idle_limit_s = min(pool.idle_limit_s, kept.idle_s)
            pool.warm(kept.warm)

    def send(self, call: Call, deadline: float) -> None:
        """Send a call, which the leaf has to answer by `deadline`."""
        query = call.part.query
        exchange = Exchange(
            encode=functools.partial(self._encode_call, call, deadline),
            left=functools.partial(self._call_left, call.call_id),
            accept=functools.partial(self._wire.is_answer_to, query.request),
            ended=functools.partial(self._call_ended, call),
            max_body_bytes=_max_response_bytes(query.route),
            is_foreign=self._wire.is_health_answer,
            bodiless=query.request.method == HEAD,
            body=query.request.body,
        )
        pool = self._pool(call.leaf)
        ticket = pool.start(exchange, fresh=not query.route.idempotent)
        if ticket is None:
            self._feed(
                ev.CallEnded(
                    CallEnd(call.call_id, CallEnding.CONNECTION_LIMIT, "too many calls queued")
                )
            )
        elif pool.is_active(ticket):
            self._tickets[call.call_id] = (pool, ticket)

    def _call_left(self, call_id: int) -> None:
        self._feed(ev.CallLeft(call_id, self._read_host()))

    def _encode_call(self, call: Call, deadline: float) -> bytes:
        left_s = deadline - trio.current_time()
        return self._wire.encode_call(call.part.query.request, call.leaf, left_s)

    def end(self, end: EndCall) -> None:
        """Wait for a call's answer for the linger time, then close its connection."""
        found = self._tickets.get(end.call.call_id)
        if found is None:
            return
        pool, ticket = found
        if end.linger_s > 0.0:
            pool.linger(ticket, trio.current_time() + end.linger_s)
            return
        if not end.is_suspect:
            del self._tickets[end.call.call_id]
        pool.cancel(ticket)

    def probe(self, leaf: Leaf, health_path: str) -> None:
        """Probe a leaf's health, over a kept connection if possible."""
        self._nursery.start_soon(self._guard.run_once, "probe", self._probe, leaf, health_path)

    def sweep(self, now: float) -> None:
        """Close connections that have been idle too long, and calls past their linger time."""
        self._closing_pools = [pool for pool in self._closing_pools if pool.channels]
        for pool in [*self._pools.values(), *self._closing_pools]:
            pool.sweep(now)

    def _pool(self, leaf: Leaf) -> Pool:
        pool = self._pools.get(leaf.name)
        if pool is None:
            opened = functools.partial(self._on_connected, leaf)
            dropped = functools.partial(self._on_dropped, leaf)
            settings = PoolSettings(1, CONNECT_TIMEOUT_S, opened, self._allowance, on_drop=dropped)
            pool = self._pools[leaf.name] = Pool(
                address=self._address(leaf), nursery=self._nursery, settings=settings
            )
        return pool

    def _address(self, leaf: Leaf) -> Address:
        return Address(leaf.entry.host, leaf.entry.port, self._local_host)

    def _on_connected(self, leaf: Leaf, took_s: float) -> None:
        self._feed(ev.Connected(leaf.name, took_s))

    def _on_dropped(self, leaf: Leaf) -> None:
        self._feed(ev.ConnectionDropped(leaf.name))

    def _call_ended(self, call: Call, end: ExchangeResult) -> None:
        is_suspect = self._tickets.pop(call.call_id, None) is not None
        pool = self._pools.get(call.leaf.name)
        if end.response is not None:
            decoded = self._wire.decode_call_end(call.call_id, end.response)
            self._feed(ev.CallEnded(decoded, self._read_host()))
            return
        if (
            end.reused
            and end.failure in (ExchangeFailure.RESET, ExchangeFailure.CLOSED)
            and pool is not None
        ):
            pool.record_idle_drop(end.idle_s)
        is_lost = end.failure is ExchangeFailure.CANCELLED and call.left and is_suspect
        if is_lost and pool is not None:
            # The connection may have gone silent, and with it all others of the same way.
            pool.flush()
        ended = CallEnd(call.call_id, _call_ending(end.failure), end.detail)
        self._feed(ev.CallEnded(ended, self._read_host()))

    async def _probe(self, leaf: Leaf, health_path: str) -> None:
        pool = self._pool(leaf)
        # Whether a leaf is slow shows mostly in the setup of a connection; whether it is up, on any.
        is_timed = leaf.host_pace is None or leaf.availability is Availability.READY
        if not is_timed and pool.has_idle(trio.current_time()):
            end, work_s = await self._fetch_health(leaf, health_path, REUSED_PROBE_TIMEOUT_S)
            if end.response is not None:
                health = self._health(end, work_s)._replace(timed=False)
                self._feed(ev.ProbeEnded(leaf.name, health))
                return
            # Nothing is known of the leaf yet: it may have dropped just this connection.
            if end.failure is ExchangeFailure.CANCELLED:
                pool.flush()
            else:
                pool.record_idle_drop(end.idle_s)
        if pool.has_room():
            end, work_s = await self._fetch_health(leaf, health_path, PROBE_TIMEOUT_S, fresh=True)
            self._feed(ev.ProbeEnded(leaf.name, self._health(end, work_s)))
        else:
            await self._probe_single(leaf, health_path)

    async def _fetch_health(
        self, leaf: Leaf, health_path: str, timeout_s: float, *, fresh: bool = False
    ) -> tuple[ExchangeResult, float]:
        """Probe a leaf over a kept connection; return the result and its time without round trips.

        On a `fresh` connection, the time until the request is sent is about one round trip.
        """
        started = trio.current_time()
        sent: list[float] = []
        end = await fetch(
            self._pool(leaf),
            self._wire.encode_probe(leaf, health_path, kept=True),
            timeout_s,
            max_body_bytes=MAX_HEALTH_BYTES,
            fresh=fresh,
            accept=accept_any if fresh else self._wire.is_health_answer,
            sent=lambda: sent.append(trio.current_time()),
        )
        ended = trio.current_time()
        sent_at = sent[-1] if sent else ended
        trip_s = sent_at - started if fresh else leaf.connect_s or 0.0
        return end, max(0.0, ended - sent_at - trip_s)

    def _health(self, end: ExchangeResult, work_s: float) -> ProbeResult:
        if end.response is not None:
            return self._wire.decode_health(end.response, work_s)
        return NO_ANSWER._replace(end=_PROBE_ENDS.get(end.failure, ProbeOutcome.RESET))

    async def _probe_single(self, leaf: Leaf, health_path: str) -> None:
        """Probe a leaf over a connection of its own, with the time that its answer takes."""
        trips: list[float] = []
        started = trio.current_time()
        busy_mark_s = self._read_host().busy_s
        async with trio.open_nursery() as nursery:
            settings = PoolSettings(1, CONNECT_TIMEOUT_S, trips.append)
            pool = Pool(address=self._address(leaf), nursery=nursery, settings=settings)
            data = self._wire.encode_probe(leaf, health_path)
            end = await fetch(pool, data, PROBE_TIMEOUT_S, max_body_bytes=MAX_HEALTH_BYTES)
            health = self._health(end, trio.current_time() - started - 2.0 * sum(trips))
            pool.abort()
        busy_s = self._read_host().busy_s - busy_mark_s
        self._feed(ev.ProbeEnded(leaf.name, health, busy_s))


def _max_response_bytes(route: Route) -> int:
    """Return the maximum body size of a leaf's response on a route."""
    if not route.shards:
        return MAX_REPLY_BYTES
    return max(MIN_PART_LIMIT_BYTES, PART_BYTES_PER_RECORD * route.top)


def _call_ending(failure: ExchangeFailure | None) -> CallEnding:
    if failure is ExchangeFailure.NOT_CONNECTED:
        return CallEnding.NOT_SENT
    if failure is ExchangeFailure.NEVER_SENT:
        return CallEnding.CONNECTION_LIMIT
    if failure is ExchangeFailure.CANCELLED:
        return CallEnding.CANCELLED
    return CallEnding.BROKEN


_PROBE_ENDS: dict[ExchangeFailure | None, ProbeOutcome] = {
    ExchangeFailure.NOT_CONNECTED: ProbeOutcome.NOT_CONNECTED,
    ExchangeFailure.CANCELLED: ProbeOutcome.SILENT,
}
