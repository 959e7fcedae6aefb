"""State of the roll-outs on one node.

Each node counts its own calls to the old and the new version and sends the counts to three
coordinators, chosen from the members by rendezvous hashing. A coordinator pools the counts in its
moves state, which latches a bad version and determines the share that the evidence allows. The
first reachable coordinator is the leader: it sends the share to all nodes, and a node that hears
from no leader sends no calls to the new version. Coordinators write the status; the store accepts
only the first final one.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from cactussaddle_core import moves
from cactussaddle_core.config.model import EMPTY_CONFIG
from cactussaddle_core.config.model import Move
from cactussaddle_core.config.model import MoveKind
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.hashing import rendezvous
from cactussaddle_core.hashing import unit_interval
from cactussaddle_core.moves.versions import FULL_SHARE
from cactussaddle_core.moves.versions import Pace
from cactussaddle_core.rollouts.model import LeaderUpdate
from cactussaddle_core.rollouts.model import MoveShare
from cactussaddle_core.rollouts.model import RecordRollout
from cactussaddle_core.rollouts.model import SendEvidence
from cactussaddle_core.rollouts.model import SendLeaderUpdate
from cactussaddle_core.spread.restore import LOST_REVISION
from cactussaddle_core.spread.restore import REWRITE_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.rollouts.model import RolloutOrder
    from cactussaddle_core.rollouts.model import RolloutStatus

COORDINATORS = 3
SEND_INTERVAL_S = 0.3
# A coordinator that has not sent an update for this long is no longer the leader.
LEADER_TIMEOUT_S = 1.5
RECORD_INTERVAL_S = 1.0
# Fraction of an order's time, up to a maximum, that is reserved for writing the final status before
# the operators' deadline.
WRITE_MARGIN_FRACTION = 0.1
MAX_WRITE_MARGIN_S = 1.0
# Orders last only seconds, so fewer calls must suffice than for moves from a sheet. The share stays
# at one tenth until that many calls have been seen.
PACE = Pace(canary_share=0.1, enough_calls=10, enough_route_calls=3, doubling_calls=5)


class ReceivedShare(NamedTuple):
    """A share received from a coordinator, and when."""

    share: float
    at: float


class CompletedCall(NamedTuple):
    """A completed call as counted for a roll-out; it is slow if it took longer than `limit_s`."""

    service: str
    route: str
    ok: bool
    took_s: float
    limit_s: float


Effect = SendEvidence | SendLeaderUpdate | RecordRollout


class Rollouts:
    """Orders, statuses and shares; `incarnation` is different after each start of the node."""

    def __init__(self, *, node: str, incarnation: str) -> None:
        self.node = node
        self.orders: dict[str, RolloutOrder] = {}
        self.statuses: dict[str, RolloutStatus] = {}
        self.moves = moves.MoveTable(
            node=node, incarnation=incarnation, pace=PACE, repeats_evidence=True
        )
        self._members: tuple[str, ...] = ()
        self._coordinators: tuple[str, ...] = (node,)
        self._started_at: dict[str, float] = {}
        self._received_shares: dict[str, dict[str, ReceivedShare]] = {}
        self._last_update_at: dict[str, float] = {}
        self._noted: set[str] = set()
        self._send_at = 0.0
        self._record_at = 0.0
        self._again_at = math.inf
        # Orders from before the store came back from an older copy, which may be written again until then.
        self._before: dict[str, RolloutOrder] = {}
        self._rewritten_until = -math.inf

    def store_restored(self, now: float) -> None:
        """Expect orders to be written again, and write the final states that the store has lost."""
        self._before = dict(self.orders)
        self._rewritten_until = now + REWRITE_S
        self._again_at = 0.0

    def listed(
        self, orders: Iterable[RolloutOrder], statuses: Iterable[RolloutStatus], now: float
    ) -> None:
        """Replace all orders and statuses."""
        self.statuses = {status.service: status for status in statuses}
        self.orders = {order.service: self._as_before(order, now) for order in orders}
        self._apply(now)

    def ordered(self, order: RolloutOrder, now: float) -> None:
        """Apply a new or changed order."""
        known = self.orders.get(order.service)
        if known is None or known.revision < order.revision:
            self.orders[order.service] = self._as_before(order, now)
            self._apply(now)

    def cleared(self, service: str, now: float) -> None:
        """Remove the order of a service."""
        if self.orders.pop(service, None) is not None:
            self._apply(now)

    def status_seen(self, status: RolloutStatus, now: float) -> None:
        """Apply a status that was written to the store."""
        known = self.statuses.get(status.service)
        if known is None or known.revision < status.revision:
            self.statuses[status.service] = status
            self._apply(now)

    def set_members(self, members: Iterable[str], now: float) -> None:
        """Set the members and choose the coordinators among them."""
        self._members = tuple(sorted({*members, self.node}))
        self._coordinators = tuple(rendezvous("rollouts", self._members)[:COORDINATORS])
        self._reduce(moves.Members((*self._coordinators, self.node)), now)

    def merge_evidence(self, data: bytes, now: float) -> None:
        """Merge the call counts of another node."""
        self._reduce(moves.PeerEvidence(data), now)

    def merge_leader_update(self, news: LeaderUpdate, now: float) -> None:
        """Merge an update from a leader."""
        self._last_update_at[news.node] = now
        for move, share in news.shares:
            self._received_shares.setdefault(move, {})[news.node] = ReceivedShare(share, now)
        if news.latches:
            self._reduce(moves.PeerLatch(news.latches), now)

    def is_ordered(self, service: str) -> bool:
        """Return whether a roll-out of a service is ordered."""
        return service in self.orders

    def record_call(self, leaf: Leaf, call: CompletedCall, now: float) -> None:
        """Count a completed call at a leaf."""
        order = self.orders.get(call.service)
        if order is None or self.final(order) is not None:
            return
        seen = moves.OutcomeSeen(
            move=order.move,
            route=call.route,
            version=leaf.entry.version,
            ok=call.ok,
            latency_s=call.took_s,
            cold=leaf.is_cold(now),
            leaf=leaf.name,
            limit_s=call.limit_s,
        )
        self._reduce(seen, now)

    def leaves_for_first_call(
        self, leaves: list[Leaf], service: str, request: str, now: float
    ) -> list[Leaf]:
        """Return the leaves of the version that the first call of a request goes to."""
        order = self.orders.get(service)
        if order is None:
            return leaves
        new, old = _by_version(leaves, order)
        if self.final(order) is MoveState.DONE:
            return new or old
        drawn = unit_interval("version", service, request) < self.share(order, now)
        return new if new and drawn else old

    def leaves_for_extra_call(self, leaves: list[Leaf], service: str, now: float) -> list[Leaf]:
        """Return the leaves for a retry or hedge: the new version only once it has its full share."""
        order = self.orders.get(service)
        if order is None:
            return leaves
        new, old = _by_version(leaves, order)
        if self.final(order) is MoveState.DONE:
            return new or old
        return leaves if self.share(order, now) >= FULL_SHARE else old

    def final(self, order: RolloutOrder) -> MoveState | None:
        """Return the final state of a roll-out, or None while it is in progress."""
        return self.moves.finals.get(order.move)

    def share(self, order: RolloutOrder, now: float) -> float:
        """Return the share of a service's requests that goes to the new version."""
        move = self.moves.cfg.moves[order.move]
        own = self.moves.share_of(move, now)
        if order.move in self.moves.latches or self.final(order) is not None:
            return own
        if self.leads(now):
            return own
        received = self._received_shares.get(order.move, {})
        fresh = [received[name] for name in self._coordinators if name in received]
        fresh = [entry for entry in fresh if now - entry.at < LEADER_TIMEOUT_S]
        return fresh[0].share if fresh else 0.0

    def leads(self, now: float) -> bool:
        """Return whether this node is the first coordinator that is reachable."""
        if self.node not in self._coordinators:
            return False
        before = self._coordinators[: self._coordinators.index(self.node)]
        return all(
            now - self._last_update_at.get(name, -math.inf) > LEADER_TIMEOUT_S for name in before
        )

    def require_may_send(self, service: str, version: str, now: float) -> None:
        """Assert before a dispatch that the version was not found bad some seconds ago."""
        if service in self.orders:
            self.moves.require_may_send(service, version, now)

    def tick(self, now: float) -> list[Effect]:
        """Evaluate the evidence; return the messages to send and the statuses to write."""
        effects: list[Effect] = [*self._record_again(now)]
        if not self._under_way():
            return effects
        latched = len(self.moves.latches)
        for effect in moves.reduce(self.moves, moves.Tick(), now, now):
            if isinstance(effect, moves.PutEvidence):
                others = tuple(name for name in self._coordinators if name != self.node)
                effects.append(SendEvidence(others, effect.data))
            elif isinstance(effect, moves.RecordFinal) and self.node in self._coordinators:
                effects += self._record(effect)
        if self.leads(now) and (now >= self._send_at or len(self.moves.latches) > latched):
            self._send_at = now + SEND_INTERVAL_S
            effects.append(self._leader_update(now))
            effects += self._record_under_way(now)
        return effects

    def take_latches(self) -> list[moves.Latch]:
        """Return the versions found bad since the last call."""
        fresh = [latch for name, latch in self.moves.latches.items() if name not in self._noted]
        self._noted.update(latch.move for latch in fresh)
        return fresh

    def _as_before(self, order: RolloutOrder, now: float) -> RolloutOrder:
        """Return an order as the roll-out that it began, if the store had lost it meanwhile."""
        before = self._before.get(order.service)
        if before is None or order[:3] != before[:3] or now >= self._rewritten_until:
            return order
        return order._replace(first_revision=before.first_revision or before.revision)

    def _record_again(self, now: float) -> list[RecordRollout]:
        """Write the final states that the store has lost."""
        if now < self._again_at or not self.leads(now):
            return []
        self._again_at = now + RECORD_INTERVAL_S
        effects = []
        for order in self._written_orders():
            state = self.final(order)
            if state is not None and not self._is_of(self.statuses.get(order.service), order):
                effects.append(self._status_record(order, state, "lost by the store"))
        return effects

    def _under_way(self) -> list[RolloutOrder]:
        return [order for order in self.orders.values() if self.final(order) is None]

    def _written_orders(self) -> list[RolloutOrder]:
        """Return the orders that the store has: a status is written only under its order."""
        return [order for order in self.orders.values() if order.revision != LOST_REVISION]

    def _leader_update(self, now: float) -> SendLeaderUpdate:
        shares = [MoveShare(order.move, self.share(order, now)) for order in self._under_way()]
        latches = [latch for latch in self.moves.latches.values() if latch.move in self._started_at]
        encoded = msgspec.msgpack.encode(latches) if latches else b""
        return SendLeaderUpdate(LeaderUpdate(self.node, tuple(shares), encoded))

    def _record(self, effect: moves.RecordFinal) -> list[RecordRollout]:
        for order in self._written_orders():
            if order.move == effect.move and self.final(order) is None:
                return [self._status_record(order, effect.state, effect.reason)]
        return []

    def _record_under_way(self, now: float) -> list[RecordRollout]:
        """Write the status of orders in progress that have none in the store yet."""
        if now < self._record_at:
            return []
        self._record_at = now + RECORD_INTERVAL_S
        return [
            self._status_record(order, MoveState.UNDER_WAY, "taken on")
            for order in self._written_orders()
            if self.final(order) is None
            and not self._is_of(self.statuses.get(order.service), order)
        ]

    def _status_record(self, order: RolloutOrder, state: MoveState, reason: str) -> RecordRollout:
        status = self.statuses.get(order.service)
        return RecordRollout(order, state, reason, status.revision if status is not None else 0)

    def _is_of(self, status: RolloutStatus | None, order: RolloutOrder) -> bool:
        if status is None or status.version != order.version:
            return False
        return status.revision > order.revision

    def _apply(self, now: float) -> None:
        """Update the moves state from the orders and their statuses in the store."""
        for order in self.orders.values():
            self._started_at.setdefault(order.move, now)
        wanted = {
            order.move: _move(order, self._started_at[order.move]) for order in self.orders.values()
        }
        self._started_at = {name: at for name, at in self._started_at.items() if name in wanted}
        self._received_shares = {
            name: told for name, told in self._received_shares.items() if name in wanted
        }
        self._reduce(moves.ConfigApplied(EMPTY_CONFIG._replace(moves=wanted)), now)
        for order in self.orders.values():
            status = self.statuses.get(order.service)
            if self._is_of(status, order) and status is not None and _is_final(status.state):
                self._reduce(moves.FinalRecorded(order.move, status.state), now)

    def _reduce(self, event: moves.Event, now: float) -> None:
        """Update the moves state; its latches are sent with the next leader update."""
        moves.reduce(self.moves, event, now, now)


def _by_version(leaves: list[Leaf], order: RolloutOrder) -> tuple[list[Leaf], list[Leaf]]:
    """Return the leaves of the new version, and those of any other."""
    new = [leaf for leaf in leaves if leaf.entry.version == order.version]
    old = [leaf for leaf in leaves if leaf.entry.version != order.version]
    return new, old


def _is_final(state: MoveState) -> bool:
    return state in (MoveState.DONE, MoveState.TAKEN_BACK)


def _move(order: RolloutOrder, started: float) -> Move:
    """Return the move of an order, with times on this node's monotonic clock."""
    spare_s = min(MAX_WRITE_MARGIN_S, WRITE_MARGIN_FRACTION * order.lasts_s)
    return Move(
        id=order.move,
        kind=MoveKind.VERSION,
        target=order.service,
        start=started,
        finish=started + order.lasts_s - spare_s,
        version=order.version,
    )
