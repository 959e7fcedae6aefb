"""Runs leaf calls and health checks for the reducer."""

from __future__ import annotations

import functools

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import trio

from returns.result import Success

from cactussaddle_core.calls import NEWEST_SNAPSHOT
from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import SnapshotInfo
from cactussaddle_core.node.events import CallEnded
from cactussaddle_core.node.events import HealthFailed
from cactussaddle_core.node.events import HealthSeen
from cactussaddle_core.node.events import IdleEnded
from cactussaddle_node.leafclient import ConnectionHooks
from cactussaddle_node.leafclient import IdleEnd
from cactussaddle_node.leafclient import LeafClient
from cactussaddle_node.leafclient import LeafRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_core.node.effects import RunCall
    from cactussaddle_core.node.effects import StopCall
    from cactussaddle_node.leafclient import LeafReply

HEALTH_CHECK_INTERVAL_S = 1.0
READY = "ready"


class ReplyDetail(msgspec.Struct):
    """The fields of a leaf's body, other than its hits, that the reducer uses."""

    incarnation: str = ""
    snapshots: tuple[SnapshotInfo, ...] = ()


_detail_decoder = msgspec.json.Decoder(ReplyDetail)


class ConnectionLimits(NamedTuple):
    """Limits and counts this node's connections to each leaf.

    `allowed(leaf)` is the number of connections that the node may keep. `may_open(leaf)` counts a
    connection that is about to be opened, or returns False to forbid it; `closed(leaf)` removes one
    from the count.
    """

    allowed: Callable[[str], int]
    may_open: Callable[[str], bool]
    closed: Callable[[str], None]


class LeafRunner:
    """Keeps a client for each leaf that this node talks to."""

    def __init__(
        self,
        *,
        node: str,
        local_host: str,
        nursery: trio.Nursery,
        feed: Callable[[Any], None],
        limits: ConnectionLimits,
    ) -> None:
        self.clients: dict[str, LeafClient] = {}
        self._node = node
        self._local_host = local_host
        self._nursery = nursery
        self._feed = feed
        self._limits = limits
        self._addresses: dict[str, str] = {}
        self._scopes: dict[str, trio.CancelScope] = {}

    def watch(self, leaves: dict[str, str]) -> None:
        """Keep clients and health checks for exactly these leaves (name to address)."""
        for name in list(self._addresses):
            if leaves.get(name) != self._addresses[name]:
                self._scopes[name].cancel()
                del self._addresses[name]
                self.clients.pop(name, None)
        for name, address in leaves.items():
            if name not in self._addresses:
                self._addresses[name] = address
                self._scopes[name] = trio.CancelScope()
                client = LeafClient(
                    address=address,
                    local_host=self._local_host,
                    hooks=ConnectionHooks(
                        functools.partial(self._limits.may_open, name),
                        functools.partial(self._limits.closed, name),
                        functools.partial(self._idle_ended, name),
                    ),
                )
                self.clients[name] = client
                self._nursery.start_soon(self._maintain, name, client, self._scopes[name])

    def run(self, effect: RunCall) -> None:
        """Run a call in the background and feed its end as `CallEnded`."""
        client = self.clients.get(effect.call.leaf)
        if client is None:
            self._feed(_call_ended(effect, CallOutcome.REFUSED, b"", 0.0, 0.0))
            return
        self._nursery.start_soon(self._run_call, client, effect)

    def stop(self, effect: StopCall) -> None:
        """Cancel a call in the background."""
        client = self.clients.get(effect.leaf)
        if client is not None:
            self._nursery.start_soon(
                client.cancel, self._leaf_call_id(effect.sender, effect.call_id)
            )

    def _leaf_call_id(self, sender: str, call_id: int) -> str:
        return f"{self._node}.{sender}.{call_id}"

    async def _run_call(self, client: LeafClient, effect: RunCall) -> None:
        call = effect.call
        req = LeafRequest(
            call_id=self._leaf_call_id(effect.sender, call.call_id),
            route=call.route,
            snapshot=None if call.snapshot == NEWEST_SNAPSHOT else call.snapshot,
            deadline_s=effect.timeout_s,
            body=call.body,
            idempotency_key=call.key or None,
        )
        reply = await client.call(req, effect.connections)
        self._feed(_reply_event(effect, reply))

    async def _maintain(self, name: str, client: LeafClient, scope: trio.CancelScope) -> None:
        with scope:
            async with client, trio.open_nursery() as nursery:
                nursery.start_soon(client.watch_idle)
                while True:
                    await client.set_limit(self._limits.allowed(name))
                    await self._check_health(name, client)
                    await trio.sleep(HEALTH_CHECK_INTERVAL_S)

    def _idle_ended(self, name: str, end: IdleEnd) -> None:
        self._feed(IdleEnded(name, end is IdleEnd.RESET))

    async def _check_health(self, name: str, client: LeafClient) -> None:
        outcome = await client.health()
        if not isinstance(outcome, Success):
            self._feed(HealthFailed(name))
            return
        health = outcome.unwrap()
        infos = tuple(SnapshotInfo(*info) for info in health.snapshots)
        self._feed(HealthSeen(name, health.status == READY, health.incarnation, infos))


def _reply_event(effect: RunCall, reply: LeafReply) -> CallEnded:
    outcome = reply.kind
    detail = ReplyDetail()
    if reply.kind in (CallOutcome.OK, CallOutcome.WRONG_SNAPSHOT, CallOutcome.SHED):
        try:
            detail = _detail_decoder.decode(reply.body)
        except (msgspec.ValidationError, msgspec.DecodeError):
            outcome = CallOutcome.FAILED
    return CallEnded(
        sender=effect.sender,
        call_id=effect.call.call_id,
        outcome=outcome,
        body=reply.body if outcome is CallOutcome.OK else b"",
        latency_s=reply.latency_s,
        incarnation=detail.incarnation,
        retry_after_s=reply.retry_after_s,
        snapshots=detail.snapshots,
        surely=reply.ended,
    )


def _call_ended(
    effect: RunCall, outcome: CallOutcome, body: bytes, latency_s: float, retry_after_s: float
) -> CallEnded:
    call_id = effect.call.call_id
    return CallEnded(effect.sender, call_id, outcome, body, latency_s, "", retry_after_s, ())
