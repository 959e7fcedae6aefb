"""Soft state shared by all nodes: each node owns its entries, and all nodes hold the newest of each.

In a small cluster the origin of a change pushes it once to all peers. In a larger one every node that
has it pushes it to a few random peers in each of about log2(n) rounds. Digests reveal lost messages. A
byte budget bounds what a node sends; only urgent entries exceed it.
"""

from __future__ import annotations

import math
import random

from typing import TYPE_CHECKING

from cactussaddle_core.gossip.entries import Entries
from cactussaddle_core.gossip.model import FetchConfig
from cactussaddle_core.gossip.model import FetchPlacement
from cactussaddle_core.gossip.model import GossipMessage
from cactussaddle_core.gossip.model import Item
from cactussaddle_core.gossip.model import Received
from cactussaddle_core.gossip.model import Send
from cactussaddle_core.gossip.model import Stamp
from cactussaddle_core.gossip.model import item_bytes
from cactussaddle_core.gossip.model import message_bytes
from cactussaddle_core.gossip.model import stamp_bytes

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cactussaddle_core.gossip.model import Changed

ROUND_S = 0.25
FANOUT = 3
DIRECT_PEERS = 16
URGENT_PEERS = 32
URGENT_RELAYS = 6
MAX_VALUE_BYTES = 16 * 1024
MAX_MESSAGE_BYTES = 1200
BUDGET_BYTES_PER_S = 6000.0
BUDGET_BURST_BYTES = 24000.0
REPAIR_INTERVAL_S = 1.0
BUSY_REPAIR_INTERVAL_S = 2.0
JOIN_PEERS = 32
JOIN_ROUNDS = 4
FETCH_RETRY_S = 0.5
ORIGIN_KEEP_S = 120.0


class Gossip:
    """One node's view of the soft state."""

    def __init__(self, *, node: str, incarnation: int, rng_seed: int) -> None:
        self.node = node
        self.incarnation = incarnation
        self.config_revision = 0
        self.placement_epoch = 0
        self._rng = random.Random(f"{rng_seed}/{node}/{incarnation}")
        self._entries = Entries()
        self._counter = 0
        self._peers: tuple[str, ...] = ()
        self._rounds_left: dict[tuple[str, str], int] = {}
        self._epoch_rounds_left = 0
        self._absent_since: dict[str, float] = {}
        self._fetched_at: dict[str, tuple[int, float]] = {}
        self._next_round = 0.0
        self._repaired_at = -math.inf
        self._join_rounds_left = JOIN_ROUNDS
        self._budget = BUDGET_BURST_BYTES
        self._budget_at: float | None = None

    def put(self, key: str, value: bytes, now: float, urgent: bool = False) -> list[Send]:
        """Set one of this node's entries; return the messages to send at once if it is urgent."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{key}: {len(value)} bytes; at most {MAX_VALUE_BYTES}")
        known = self._entries.get(self.node, key)
        if known is not None and known.value == value:
            return []
        self._counter += 1
        item = Item(Stamp(self.node, key, self.incarnation, self._counter), value, urgent)
        self._entries.put(item)
        self._heat(item)
        return self._spread_at_once([item], URGENT_PEERS) if urgent else []

    def get(self, origin: str, key: str) -> bytes | None:
        """Return the value of an entry."""
        item = self._entries.get(origin, key)
        return None if item is None else item.value

    def entries(self, prefix: str = "") -> list[Item]:
        """Return the entries whose key starts with `prefix`, ordered by origin and key."""
        return self._entries.with_prefix(prefix)

    def set_versions(self, config_revision: int, placement_epoch: int) -> None:
        """Set this node's versions; a newer one is sent to more peers for some rounds."""
        if (config_revision, placement_epoch) != (self.config_revision, self.placement_epoch):
            self._epoch_rounds_left = self._rounds()
        self.config_revision = config_revision
        self.placement_epoch = placement_epoch

    def tick(self, now: float, peers: Sequence[str], partner: str = "") -> list[Send]:
        """Carry out the round that is due; `peers` are the other nodes that are alive.

        `partner` is a peer that is sent a message anyway; a round without changes goes to it, in the
        same frame.
        """
        self._peers = tuple(peer for peer in peers if peer != self.node)
        if now < self._next_round:
            return []
        self._next_round = now + ROUND_S
        self._forget_departed(now)
        hot = self._rounds_left or self._epoch_rounds_left
        fanout = (len(self._peers) if self._is_small() else FANOUT) if hot else 1
        self._epoch_rounds_left = max(0, self._epoch_rounds_left - 1)
        if not hot and partner in self._peers:
            chosen = [partner]
        else:
            chosen = self._rng.sample(self._peers, min(fanout, len(self._peers)))
        items = self._hot_items() if chosen else ()
        sends = [Send(peer, self._message(items=items)) for peer in chosen]
        return self._within_budget(self._join() + sends, now)

    def receive(self, sender: str, message: GossipMessage, now: float) -> Received:
        """Handle a message from another node."""
        changes: list[Changed] = []
        fresh: list[Item] = []
        for item in message.items:
            if item.stamp.origin != self.node and self._entries.is_newer(item.stamp):
                changes += self._entries.put(item)
                self._heat(item)
                fresh.append(item)
        urgent = [item for item in fresh if item.urgent and not self._is_small()]
        sends = self._spread_at_once(urgent, URGENT_RELAYS)
        sends += self._within_budget(self._repair(sender, message, now), now)
        return Received(sends, changes, self._fetches(sender, message, now))

    def _join(self) -> list[Send]:
        """In the first rounds, ask many peers for all entries of the empty buckets."""
        if not self._join_rounds_left or not self._peers:
            return []
        self._join_rounds_left -= 1
        empty = self._entries.buckets_without_others(self.node)
        chosen = self._rng.sample(self._peers, min(JOIN_PEERS, len(self._peers), len(empty)))
        return [
            Send(peer, self._message(listed=tuple(empty[i :: len(chosen)])))
            for i, peer in enumerate(chosen)
        ]

    def _message(
        self,
        *,
        items: tuple[Item, ...] = (),
        buckets: tuple[int, ...] = (),
        listed: tuple[int, ...] = (),
        stamps: tuple[Stamp, ...] = (),
        wanted: tuple[Stamp, ...] = (),
    ) -> GossipMessage:
        return GossipMessage(
            config_revision=self.config_revision,
            placement_epoch=self.placement_epoch,
            root=self._entries.root,
            items=items,
            buckets=buckets,
            listed=listed,
            stamps=stamps,
            wanted=wanted,
        )

    def _is_small(self) -> bool:
        return len(self._peers) <= DIRECT_PEERS

    def _rounds(self) -> int:
        """Return for how many rounds a node pushes a change."""
        return 1 if self._is_small() else math.ceil(math.log2(len(self._peers)) / FANOUT)

    def _heat(self, item: Item) -> None:
        if self._is_small() and item.stamp.origin != self.node:
            return
        self._rounds_left[(item.stamp.origin, item.stamp.key)] = self._rounds()

    def _hot_items(self) -> tuple[Item, ...]:
        """Return the items that this round pushes, the least often pushed first, within the message size."""
        ranked = sorted(self._rounds_left, key=lambda name: -self._rounds_left[name])
        known = [(name, self._entries.get(*name)) for name in ranked]
        items = _fitting([item for _, item in known if item is not None])
        pushed = {(item.stamp.origin, item.stamp.key) for item in items}
        for name, item in known:
            if item is None:
                del self._rounds_left[name]
            elif name in pushed:
                self._rounds_left[name] -= 1
                if self._rounds_left[name] <= 0:
                    del self._rounds_left[name]
        return items

    def _spread_at_once(self, items: list[Item], peers: int) -> list[Send]:
        if not items:
            return []
        chosen = self._rng.sample(self._peers, min(peers, len(self._peers)))
        message = self._message(items=tuple(items))
        return [Send(peer, message) for peer in chosen]

    def _repair(self, sender: str, message: GossipMessage, now: float) -> list[Send]:
        if message.wanted:
            known = [self._entries.get(stamp.origin, stamp.key) for stamp in message.wanted]
            items = _fitting([item for item in known if item is not None])
            return [Send(sender, self._message(items=items))] if items else []
        if message.listed:
            return self._answer_listing(sender, message)
        if message.buckets:
            return self._list_differing(sender, message)
        interval_s = BUSY_REPAIR_INTERVAL_S if self._rounds_left else REPAIR_INTERVAL_S
        if message.root == self._entries.root or now < self._repaired_at + interval_s:
            return []
        self._repaired_at = now
        return [Send(sender, self._message(buckets=tuple(self._entries.buckets)))]

    def _list_differing(self, sender: str, message: GossipMessage) -> list[Send]:
        pairs = zip(self._entries.buckets, message.buckets, strict=False)
        differing = [i for i, (mine, theirs) in enumerate(pairs) if mine != theirs]
        self._rng.shuffle(differing)
        listed: list[int] = []
        stamps: list[Stamp] = []
        size = 0
        for bucket in differing:
            content = self._entries.stamps(bucket)
            size += sum(map(stamp_bytes, content))
            if listed and size > MAX_MESSAGE_BYTES:
                break
            listed.append(bucket)
            stamps += content
        if not listed:
            return []
        return [Send(sender, self._message(listed=tuple(listed), stamps=tuple(stamps)))]

    def _answer_listing(self, sender: str, message: GossipMessage) -> list[Send]:
        missing = self._entries.missing_from(message.listed, message.stamps)
        wanted = tuple(s for s in message.stamps if self._entries.is_newer(s))
        sends = [Send(sender, self._message(wanted=wanted))] if wanted else []
        while missing:
            items = _fitting(missing)
            missing = missing[len(items) :]
            sends.append(Send(sender, self._message(items=items)))
        return sends

    def _fetches(
        self, sender: str, message: GossipMessage, now: float
    ) -> list[FetchConfig | FetchPlacement]:
        found: list[FetchConfig | FetchPlacement] = []
        revision, epoch = message.config_revision, message.placement_epoch
        if revision > self.config_revision and self._may_fetch("config", revision, now):
            found.append(FetchConfig(sender, revision))
        if epoch > self.placement_epoch and self._may_fetch("placement", epoch, now):
            found.append(FetchPlacement(sender, epoch))
        return found

    def _may_fetch(self, what: str, version: int, now: float) -> bool:
        asked, at = self._fetched_at.get(what, (0, -math.inf))
        if version <= asked and now < at + FETCH_RETRY_S:
            return False
        self._fetched_at[what] = (version, now)
        return True

    def _forget_departed(self, now: float) -> None:
        present = {self.node, *self._peers}
        for origin in self._entries.origins():
            if origin in present:
                self._absent_since.pop(origin, None)
            elif now - self._absent_since.setdefault(origin, now) > ORIGIN_KEEP_S:
                del self._absent_since[origin]
                self._entries.forget(origin)

    def _within_budget(self, sends: Iterable[Send], now: float) -> list[Send]:
        if self._budget_at is not None:
            self._budget += (now - self._budget_at) * BUDGET_BYTES_PER_S
        self._budget_at = now
        self._budget = min(self._budget, BUDGET_BURST_BYTES)
        allowed = []
        for send in sends:
            size = message_bytes(send.message)
            if size <= self._budget:
                self._budget -= size
                allowed.append(send)
        return allowed


def _fitting(items: list[Item]) -> tuple[Item, ...]:
    """Return the first items that fit into a message, at least one."""
    size = 0
    chosen: list[Item] = []
    for item in items:
        size += item_bytes(item)
        if chosen and size > MAX_MESSAGE_BYTES:
            break
        chosen.append(item)
    return tuple(chosen)
