"""The roll-outs that one node knows of.

Each node counts its own calls to the old and the new version and sends the counts to three judges,
drawn by hashing from the members. A judge pools them in the moves book, which latches a version that
is bad and says which share the evidence allows. The first judge that is heard leads: it tells all
nodes the share, and a node that hears no leader sends the new version nothing. Judges write the
status; the store lets only the first final one stand.
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
from cactussaddle_core.rollouts.model import LeaderNews
from cactussaddle_core.rollouts.model import RecordRollout
from cactussaddle_core.rollouts.model import ShareTold
from cactussaddle_core.rollouts.model import TellEvidence
from cactussaddle_core.rollouts.model import TellNews

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.rollouts.model import RolloutOrder
    from cactussaddle_core.rollouts.model import RolloutStatus

JUDGES = 3
TELL_EVERY_S = 0.3
# A leader that has not been heard for this long leads no more.
LEADER_SILENT_S = 1.5
RECORD_EVERY_S = 1.0
# Time kept for the last writing before the operators' deadline.
WRITE_PART = 0.1
MOST_WRITE_S = 1.0
# Orders last some seconds, so fewer calls have to do than for the moves of a sheet. The share stays
# at a tenth until they have been seen.
PACE = Pace(canary_share=0.1, enough_calls=10, enough_route_calls=3, doubling_calls=5)


class Told(NamedTuple):
    """A share that a leader told, and when."""

    share: float
    at: float


class CallSeen(NamedTuple):
    """The end of a call, as it counts for a roll-out; `limit_s` is from when on it is slow."""

    service: str
    route: str
    ok: bool
    took_s: float
    limit_s: float


Effect = TellEvidence | TellNews | RecordRollout


class Rollouts:
    """Orders, statuses and shares; `incarnation` differs at each start of the node."""

    def __init__(self, *, node: str, incarnation: str) -> None:
        self.node = node
        self.orders: dict[str, RolloutOrder] = {}
        self.statuses: dict[str, RolloutStatus] = {}
        self.moves = moves.MoveBook(node=node, incarnation=incarnation, pace=PACE)
        self._members: tuple[str, ...] = ()
        self._judges: tuple[str, ...] = (node,)
        self._began: dict[str, float] = {}
        self._told: dict[str, dict[str, Told]] = {}
        self._heard_at: dict[str, float] = {}
        self._noted: set[str] = set()
        self._tell_at = 0.0
        self._record_at = 0.0

    def listed(
        self, orders: Iterable[RolloutOrder], statuses: Iterable[RolloutStatus], now: float
    ) -> None:
        """Take in all orders and statuses that there are."""
        self.statuses = {status.service: status for status in statuses}
        self.orders = {order.service: order for order in orders}
        self._apply(now)

    def ordered(self, order: RolloutOrder, now: float) -> None:
        """Take in an order, new or changed."""
        known = self.orders.get(order.service)
        if known is None or known.revision < order.revision:
            self.orders[order.service] = order
            self._apply(now)

    def cleared(self, service: str, now: float) -> None:
        """Take in that a service's order is gone."""
        if self.orders.pop(service, None) is not None:
            self._apply(now)

    def status_seen(self, status: RolloutStatus, now: float) -> None:
        """Take in a status that was written."""
        known = self.statuses.get(status.service)
        if known is None or known.revision < status.revision:
            self.statuses[status.service] = status
            self._apply(now)

    def set_members(self, members: Iterable[str], now: float) -> None:
        """Take in which nodes there are."""
        self._members = tuple(sorted({*members, self.node}))
        self._judges = tuple(rendezvous("rollouts", self._members)[:JUDGES])
        self._reduce(moves.Members((*self._judges, self.node)), now)

    def heard_evidence(self, data: bytes, now: float) -> None:
        """Take in another node's counts."""
        self._reduce(moves.PeerEvidence(data), now)

    def heard_news(self, news: LeaderNews, now: float) -> None:
        """Take in what a leading node tells."""
        self._heard_at[news.node] = now
        for move, share in news.shares:
            self._told.setdefault(move, {})[news.node] = Told(share, now)
        if news.latches:
            self._reduce(moves.PeerLatch(news.latches), now)

    def saw(self, leaf: Leaf, call: CallSeen, now: float) -> None:
        """Count the end of a call at a leaf."""
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

    def narrow(self, leaves: list[Leaf], service: str, request: str, now: float) -> list[Leaf]:
        """Return the leaves whose version a first call of a request may go to now."""
        order = self.orders.get(service)
        if order is None:
            return leaves
        new, old = _by_version(leaves, order)
        if self.final(order) is MoveState.DONE:
            return new or old
        drawn = unit_interval("version", service, request) < self.share(order, now)
        return new if new and drawn else old

    def narrow_again(self, leaves: list[Leaf], service: str, now: float) -> list[Leaf]:
        """Return the leaves whose version a further call may go to: the new one once it has most."""
        order = self.orders.get(service)
        if order is None:
            return leaves
        new, old = _by_version(leaves, order)
        if self.final(order) is MoveState.DONE:
            return new or old
        return leaves if self.share(order, now) >= FULL_SHARE else old

    def final(self, order: RolloutOrder) -> MoveState | None:
        """Return how a roll-out has ended, None while it is under way."""
        return self.moves.finals.get(order.move)

    def share(self, order: RolloutOrder, now: float) -> float:
        """Return the share of a service's requests that the new version gets."""
        move = self.moves.cfg.moves[order.move]
        own = self.moves.share_of(move, now)
        if order.move in self.moves.latches or self.final(order) is not None:
            return own
        if self.leads(now):
            return own
        told = self._told.get(order.move, {})
        fresh = [told[judge] for judge in self._judges if judge in told]
        fresh = [entry for entry in fresh if now - entry.at < LEADER_SILENT_S]
        return fresh[0].share if fresh else 0.0

    def leads(self, now: float) -> bool:
        """Return whether this node leads: it is a judge, and no judge before it is heard."""
        if self.node not in self._judges:
            return False
        before = self._judges[: self._judges.index(self.node)]
        return all(now - self._heard_at.get(judge, -math.inf) > LEADER_SILENT_S for judge in before)

    def require_may_send(self, service: str, version: str, now: float) -> None:
        """Assert at a dispatch that the version was not found bad some seconds ago."""
        if service in self.orders:
            self.moves.require_may_send(service, version, now)

    def tick(self, now: float) -> list[Effect]:
        """Judge what came in; return what is to be told and written."""
        if not self._under_way():
            return []
        effects: list[Effect] = []
        latched = len(self.moves.latches)
        for effect in moves.reduce(self.moves, moves.Tick(), now, now):
            if isinstance(effect, moves.PutEvidence):
                others = tuple(judge for judge in self._judges if judge != self.node)
                effects.append(TellEvidence(others, effect.data))
            elif isinstance(effect, moves.RecordFinal) and self.node in self._judges:
                effects += self._record(effect)
        if self.leads(now) and (now >= self._tell_at or len(self.moves.latches) > latched):
            self._tell_at = now + TELL_EVERY_S
            effects.append(self._news(now))
            effects += self._record_under_way(now)
        return effects

    def take_latches(self) -> list[moves.Latch]:
        """Return the verdicts on bad versions since asked last."""
        fresh = [latch for name, latch in self.moves.latches.items() if name not in self._noted]
        self._noted.update(latch.move for latch in fresh)
        return fresh

    def _under_way(self) -> list[RolloutOrder]:
        return [order for order in self.orders.values() if self.final(order) is None]

    def _news(self, now: float) -> TellNews:
        shares = [ShareTold(order.move, self.share(order, now)) for order in self._under_way()]
        latches = [latch for latch in self.moves.latches.values() if latch.move in self._began]
        encoded = msgspec.msgpack.encode(latches) if latches else b""
        return TellNews(LeaderNews(self.node, tuple(shares), encoded))

    def _record(self, effect: moves.RecordFinal) -> list[RecordRollout]:
        for order in self._under_way():
            if order.move == effect.move:
                return [self._recording(order, effect.state, effect.reason)]
        return []

    def _record_under_way(self, now: float) -> list[RecordRollout]:
        """Say in the store that an order was taken on, where it doesn't say so yet."""
        if now < self._record_at:
            return []
        self._record_at = now + RECORD_EVERY_S
        return [
            self._recording(order, MoveState.UNDER_WAY, "taken on")
            for order in self._under_way()
            if not self._is_of(self.statuses.get(order.service), order)
        ]

    def _recording(self, order: RolloutOrder, state: MoveState, reason: str) -> RecordRollout:
        status = self.statuses.get(order.service)
        return RecordRollout(order, state, reason, status.revision if status is not None else 0)

    def _is_of(self, status: RolloutStatus | None, order: RolloutOrder) -> bool:
        if status is None or status.version != order.version:
            return False
        return status.revision > order.revision

    def _apply(self, now: float) -> None:
        """Have the moves book follow the orders and what the store says of them."""
        for order in self.orders.values():
            self._began.setdefault(order.move, now)
        wanted = {
            order.move: _move(order, self._began[order.move]) for order in self.orders.values()
        }
        self._began = {name: at for name, at in self._began.items() if name in wanted}
        self._told = {name: told for name, told in self._told.items() if name in wanted}
        self._reduce(moves.ConfigApplied(EMPTY_CONFIG._replace(moves=wanted)), now)
        for order in self.orders.values():
            status = self.statuses.get(order.service)
            if self._is_of(status, order) and status is not None and _is_final(status.state):
                self._reduce(moves.FinalRecorded(order.move, status.state), now)

    def _reduce(self, event: moves.Event, now: float) -> None:
        """Feed the moves book; what it wants spread goes out with the next news."""
        moves.reduce(self.moves, event, now, now)


def _by_version(leaves: list[Leaf], order: RolloutOrder) -> tuple[list[Leaf], list[Leaf]]:
    """Return the leaves of the new version, and those of any other."""
    new = [leaf for leaf in leaves if leaf.entry.version == order.version]
    old = [leaf for leaf in leaves if leaf.entry.version != order.version]
    return new, old


def _is_final(state: MoveState) -> bool:
    return state in (MoveState.DONE, MoveState.TAKEN_BACK)


def _move(order: RolloutOrder, began: float) -> Move:
    """Return the move of an order; its times are of this node's steady clock."""
    spare_s = min(MOST_WRITE_S, WRITE_PART * order.lasts_s)
    return Move(
        id=order.move,
        kind=MoveKind.VERSION,
        target=order.service,
        start=began,
        finish=began + order.lasts_s - spare_s,
        version=order.version,
    )
