"""Tracks which of each leaf's slots this node may use.

The placement assigns each half of a leaf's slots to one node, the owner or the deputy. At each
heartbeat the deputy lends the unused slots of its half to the owner for a short time. Two rules keep
the calls in flight within the leaf's slots:

- the owner uses borrowed slots only for calls whose time limit ends before the loan does;
- the deputy does not use lent slots until the loan has ended by its own clock, counted from its
  answer plus a margin. The owner counts from its heartbeat, which is earlier.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require
from cactussaddle_core.slots.clearance import named_incarnations
from cactussaddle_core.slots.messages import LeafHint
from cactussaddle_core.slots.messages import PairPing
from cactussaddle_core.slots.messages import PairPong
from cactussaddle_core.slots.messages import Send
from cactussaddle_core.slots.model import half_size
from cactussaddle_core.slots.pause import PAUSE_S
from cactussaddle_core.slots.pause import PauseGuard
from cactussaddle_core.slots.record import Borrowed
from cactussaddle_core.slots.record import LeafRecord
from cactussaddle_core.slots.record import Lending
from cactussaddle_core.slots.record import Source
from cactussaddle_core.slots.rights import Rights
from cactussaddle_core.slots.share import Share

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactussaddle_core.slots.model import Placement
    from cactussaddle_core.slots.model import Settled

PING_INTERVAL_S = 0.25
# Heartbeat interval while the owner has no calls in flight.
IDLE_PING_INTERVAL_S = 0.5
LEND_S = 2.0
MAX_LEND_S = 5.0
# Time for which the deputy keeps lent slots unused after the loan has ended.
LEND_MARGIN_S = 0.25
MAX_CALL_S = 5.0
# Added to the longest call or loan before the slots of a node that has ended are used again.
GONE_MARGIN_S = 2.0


class SlotBook:
    """Slot rights, calls in flight and loans of one incarnation of a node.

    Every method that takes `now` also passes the time to the pause guard, so one of them must be
    called at least once per `pause_s`; the regular call of `pair_pings` ensures this.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        lend_s: float = LEND_S,
        max_call_s: float = MAX_CALL_S,
        pause_s: float = PAUSE_S,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self._lend_s = lend_s
        self._max_call_s = max_call_s
        self._guard = PauseGuard(pause_s=pause_s)
        grace_s = max(max_call_s, MAX_LEND_S) + GONE_MARGIN_S
        self.rights = Rights(node=node, incarnation=incarnation, grace_s=grace_s)
        self.records: dict[str, LeafRecord] = {}
        self._seq = 0
        self._asked: dict[int, tuple[str, float]] = {}
        self._hints: dict[str, LeafHint] = {}
        self._retired = False

    @property
    def epoch(self) -> int:
        """The epoch of the placement that is applied."""
        return self.rights.epoch

    @property
    def placement(self) -> Placement:
        """The placement that is applied."""
        return self.rights.placement

    @property
    def retired(self) -> bool:
        """Whether the other nodes consider this incarnation ended; it may use no slots any more."""
        return self._retired

    def apply_placement(
        self,
        placement: Placement,
        leaf_slots: Mapping[str, int],
        now: float,
        leaf_connections: Mapping[str, int] | None = None,
    ) -> bool:
        """Apply a placement of the same or a newer epoch; return whether it was applied.

        `leaf_slots` and `leaf_connections` are the configured limits of each leaf.
        """
        self._observe(now)
        if placement["epoch"] < self.epoch:
            return False
        before = {leaf: self.rights.roles(leaf) for leaf in self.rights.named}
        first_unseen = self.epoch + 1
        self.rights.apply(placement, leaf_slots, leaf_connections or {}, now)
        for leaf, roles in before.items():
            if roles != self.rights.roles(leaf):
                self._drop_borrowed(leaf)
        for leaf, record in self.records.items():
            if not self._within_rights(leaf, record, now) and record.unsettled_since is None:
                record.unsettled_since = first_unseen
        self._forget_returned()
        return True

    def pair_pings(self, now: float, hints: Mapping[str, LeafHint] | None = None) -> list[Send]:
        """Return this round's heartbeats, one to each deputy of a leaf that this node owns.

        `hints` holds this node's last observations of its leaves, for the deputies.
        """
        self._observe(now)
        if self._retired or not self.rights.is_member():
            return []
        by_deputy: dict[str, list[str]] = {}
        for leaf in self.rights.named:
            owner, deputy = self.rights.roles(leaf)
            if owner == self.node and deputy not in ("", self.node):
                by_deputy.setdefault(deputy, []).append(leaf)
        self._asked = {
            seq: asked for seq, asked in self._asked.items() if asked[1] + self._lend_s > now
        }
        return [self._ping(to, leaves, now, hints or {}) for to, leaves in by_deputy.items()]

    def receive_ping(self, sender: str, ping: PairPing, now: float) -> PairPong:
        """Answer an owner's heartbeat; lend it the slots of this node's halves that are not in use."""
        self._observe(now)
        gone = self.rights.clearance.is_gone(sender, ping.incarnation)
        fresh = not self._stale()
        lent: list[tuple[str, int]] = []
        if fresh and not gone and self.rights.names(sender, ping.incarnation):
            self._hints.update({hint.leaf: hint for hint in ping.hints})
            lent = [(leaf, self._lend(sender, leaf, ping, now)) for leaf in ping.leaves]
        return PairPong(
            incarnation=self.incarnation,
            epoch=self.epoch,
            seq=ping.seq,
            fresh=fresh,
            gone=gone,
            lent=tuple(lent),
        )

    def receive_pong(self, sender: str, pong: PairPong, now: float) -> None:
        """Record the slots lent by a deputy's answer."""
        self._observe(now)
        asked = self._asked.pop(pong.seq, None)
        if asked is None or asked[0] != sender:
            return
        if pong.gone:
            self._retired = True
            return
        if pong.fresh:
            self._guard.answered(pong.epoch, asked[1])
        for leaf, count in pong.lent:
            self._borrow(leaf, Borrowed(sender, pong.seq, count, asked[1] + self._lend_s), now)

    def refreshed(self, placement_epoch: int, asked_at: float, now: float) -> None:
        """Record an answer of the store or a peer to a request sent at `asked_at`.

        The peer must not be stale itself. `placement_epoch` is the epoch that the answer reports.
        """
        self._observe(now)
        self._guard.answered(placement_epoch, asked_at)

    def heard(
        self, peer: str, incarnation: int, settled_epoch: int, now: float, address: str = ""
    ) -> None:
        """Record what a peer reports about itself.

        If its address is given, older incarnations at the same address are known to have ended.
        """
        self._observe(now)
        if peer == self.node:
            return
        self.rights.heard(peer, incarnation, settled_epoch, address, now)
        self._forget_returned()

    def gone(self, node: str, incarnation: int, now: float) -> None:
        """Record that an incarnation of a node has certainly ended."""
        self._observe(now)
        if (node, incarnation) == (self.node, self.incarnation):
            self._retired = True
        self.rights.clearance.gone(node, incarnation, now)

    def host_gone(self, name: str, now: float) -> None:
        """Record that the platform's host list has dropped a host.

        Every incarnation of it that the placement names has ended.
        """
        for node, incarnation in sorted(named_incarnations(self.placement)):
            if node == name:
                self.gone(node, incarnation, now)

    def usable(self, leaf: str, now: float, time_limit_s: float = 0.0) -> int:
        """Return how many calls with this time limit this node may have in flight at the leaf."""
        self._observe(now)
        if self._stale():
            return 0
        record = self.record(leaf)
        return self._own(leaf, record, now) + record.borrowed_until(now + time_limit_s)

    def acquire(self, leaf: str, call_id: str, now: float, time_limit_s: float) -> bool:
        """Take a slot for a call that ends, or is cancelled, within `time_limit_s`.

        Return False if no slot may be used until then. Must be called in the step that dispatches
        the call, with the clock read in that step.
        """
        self._observe(now)
        if self._stale() or time_limit_s > self._max_call_s:
            return False
        record = self.record(leaf)
        if call_id in record.calls:
            return False
        if record.borrowed_in_use < record.borrowed_until(now + time_limit_s):
            record.begin(call_id, Source.BORROWED)
        elif record.own_in_use < self._own(leaf, record, now):
            record.begin(call_id, Source.OWN)
            self._check_own(leaf, record, now)
        else:
            return False
        return True

    def release(self, leaf: str, call_id: str, now: float) -> None:
        """Release the slot of a call that has ended at the leaf; unknown calls are ignored."""
        self._observe(now)
        record = self.records.get(leaf)
        if record is not None:
            record.end(call_id)

    def share(self, leaf: str, now: float, time_limit_s: float = 0.0) -> Share:
        """Return the share of the leaf that is available to a call with this time limit."""
        self._observe(now)
        held = [] if self._stale() else self.rights.halves(leaf, now)
        if not held:
            return Share.NONE
        total = self.rights.total(leaf)
        record = self.record(leaf)
        if len(held) == 2:
            return Share.NONE if record.lent(now) else Share.WHOLE
        other = half_size(total, 1 - held[0])
        if record.borrowed_until(now + time_limit_s) >= other:
            return Share.WHOLE
        return Share.LARGER if held[0] == 0 else Share.SMALLER

    def connections(self, leaf: str, now: float) -> int:
        """Return how many connections to the leaf this node may have open.

        The owner and the deputy have a quarter of the leaf's limit each. The other half is reserved
        for connections that failed hosts have left open.
        """
        self._observe(now)
        return 0 if self._stale() else self.rights.connections(leaf, now)

    def open_connection(self, leaf: str, now: float) -> bool:
        """Count a connection that is about to be opened; return whether it may be."""
        allowed = self.connections(leaf, now)
        record = self.record(leaf)
        if record.connections >= allowed:
            return False
        record.connections += 1
        require(
            record.connections <= self.rights.connections(leaf, now),
            Promise.CONNECTION_LIMIT,
            f"{self.node}: {record.connections} connections open to {leaf}",
        )
        return True

    def close_connection(self, leaf: str, now: float) -> None:
        """Count a connection that was closed."""
        self._observe(now)
        record = self.record(leaf)
        record.connections = max(0, record.connections - 1)

    def settled_epoch(self, now: float) -> int:
        """Return the newest epoch for which this node uses no rights of older epochs."""
        self._observe(now)
        settled = self.epoch
        for leaf, record in list(self.records.items()):
            if record.unsettled_since is not None and self._within_rights(leaf, record, now):
                record.unsettled_since = None
            if record.unsettled_since is not None:
                settled = min(settled, record.unsettled_since - 1)
            elif record.is_idle() and leaf not in self.rights.named:
                del self.records[leaf]
        return settled

    def awaited(self) -> bool:
        """Return whether a placement entry waits for this node to settle, so that it must report it."""
        return self.rights.awaited()

    def waits(self) -> bool:
        """Return whether this node waits for others to release a leaf that is assigned to it."""
        return self.rights.waits()

    def stale(self, now: float) -> bool:
        """Return whether this node must hear from a peer or the store before it uses any slot."""
        self._observe(now)
        return self._stale()

    def hint(self, leaf: str) -> LeafHint | None:
        """Return the owner's last hint about a leaf."""
        return self._hints.get(leaf)

    def settled(self) -> dict[str, Settled]:
        """Return the settled epochs of the other nodes, for the planner."""
        return self.rights.clearance.settled()

    def gone_and_clear(self, now: float) -> set[tuple[str, int]]:
        """Return the incarnations that have certainly ended, for the planner."""
        return self.rights.clearance.gone_and_clear(now)

    def owned(self) -> list[str]:
        """Return the leaves that this node owns."""
        return [leaf for leaf in self.rights.named if self.rights.roles(leaf)[0] == self.node]

    def _observe(self, now: float) -> None:
        if self._guard.observe(now):
            self._asked.clear()

    def _stale(self) -> bool:
        return self._retired or self._guard.stale(self.epoch)

    def record(self, leaf: str) -> LeafRecord:
        """Return the record of a leaf, created on first use."""
        return self.records.setdefault(leaf, LeafRecord())

    def _own(self, leaf: str, record: LeafRecord, now: float) -> int:
        return max(0, self.rights.capacity(leaf, now) - record.lent(now))

    def _within_rights(self, leaf: str, record: LeafRecord, now: float) -> bool:
        if record.own_in_use + record.lent(now) > self.rights.capacity(leaf, now):
            return False
        if record.borrowed_in_use and self.rights.roles(leaf)[0] != self.node:
            return False
        return record.connections <= self.rights.connections(leaf, now)

    def _check_own(self, leaf: str, record: LeafRecord, now: float) -> None:
        own = record.own_in_use + record.lent(now)
        require(
            own <= self.rights.capacity(leaf, now),
            Promise.SLOT_LIMIT,
            f"{self.node}: {own} of {self.rights.capacity(leaf, now)} own slots of {leaf} in use or lent",
        )

    def _ping(self, to: str, leaves: list[str], now: float, hints: Mapping[str, LeafHint]) -> Send:
        self._seq += 1
        self._asked[self._seq] = (to, now)
        ping = PairPing(
            incarnation=self.incarnation,
            epoch=self.epoch,
            seq=self._seq,
            lend_s=self._lend_s,
            leaves=tuple(leaves),
            hints=tuple(hints[leaf] for leaf in leaves if leaf in hints),
        )
        return Send(to, ping)

    def _lend(self, sender: str, leaf: str, ping: PairPing, now: float) -> int:
        if self.rights.roles(leaf) != (sender, self.node) or ping.lend_s > MAX_LEND_S:
            return 0
        borrower = (sender, ping.incarnation)
        record = self.record(leaf)
        bound = record.own_in_use + record.lent(now, except_to=borrower)
        count = max(0, self.rights.capacity(leaf, now) - bound)
        if count:
            record.lend(Lending(borrower, count, now + ping.lend_s + LEND_MARGIN_S))
        return count

    def _borrow(self, leaf: str, borrowed: Borrowed, now: float) -> None:
        if self.rights.roles(leaf) != (self.node, borrowed.lender):
            return
        record = self.record(leaf)
        if record.borrowed is None or record.borrowed.seq < borrowed.seq:
            record.borrowed = borrowed

    def _drop_borrowed(self, leaf: str) -> None:
        record = self.records.get(leaf)
        if record is not None:
            record.borrowed = None
        self._asked.clear()

    def _forget_returned(self) -> None:
        """End the loans to former owners that no longer use them.

        A node that has settled at the epoch applied here, in which it no longer owns the leaf, has
        dropped what it had borrowed, and no answer still in transit can restore it.
        """
        for leaf, record in self.records.items():
            for borrower in {item.borrower for item in record.lendings}:
                if self.rights.roles(leaf)[0] == borrower[0]:
                    continue
                if self.rights.has_settled_here(*borrower):
                    record.forget_lendings(borrower)
