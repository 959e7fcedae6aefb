"""Costs of gossip: many nodes' entries driven by direct calls, messages after 10 ms."""

from __future__ import annotations

import random
import time

from typing import NamedTuple

import msgspec

from cactussaddle_core.calls import LeafStatus
from cactussaddle_core.calls import SnapshotInfo
from cactussaddle_core.gossip import Gossip
from cactussaddle_core.gossip.model import GossipMessage
from cactussaddle_core.gossip.model import Item
from cactussaddle_core.gossip.model import Send
from cactussaddle_core.gossip.model import Stamp
from tools.capacity.fleet import INCARNATION
from tools.capacity.fleet import SNAPSHOT
from tools.capacity.fleet import leaf_of
from tools.capacity.fleet import node_name

ROUND_S = 0.25
FILL_ITEMS = 500
SETTLE_ROUNDS = 24
SAMPLE = 8


class GossipCost(NamedTuple):
    """What gossip costs one node, and how long a change took to reach the last node."""

    messages_per_s: float
    bytes_per_s: float
    cpu_us_per_s: float
    reach_s: float


def status_bytes(leaf: str, limit: int) -> bytes:
    """Return the encoded status of a leaf."""
    infos = (SnapshotInfo(SNAPSHOT, 2, (0, 1)),)
    return msgspec.msgpack.encode(LeafStatus(leaf, f"{leaf}-1764800000000-1", limit, infos))


class Fleet:
    """The gossip of all nodes, each owning its share of the leaves' entries."""

    def __init__(self, *, nodes: int, leaves: int, seed: int) -> None:
        self.now = 0.0
        self.messages = 0
        self.bytes = 0
        self.cpu_s = 0.0
        self._rng = random.Random(seed)
        self._waiting: list[tuple[str, Send]] = []
        self.names = [node_name(n) for n in range(nodes)]
        self.leaves = [(leaf_of(n), self.names[n % nodes]) for n in range(leaves)]
        self.nodes = {
            name: Gossip(node=name, incarnation=INCARNATION + n, rng_seed=seed)
            for n, name in enumerate(self.names)
        }
        self._fill()

    def _fill(self) -> None:
        items: list[Item] = []
        for name, gossip in self.nodes.items():
            for leaf, owner in self.leaves:
                if owner == name:
                    gossip.put(f"leaf/{leaf}", status_bytes(leaf, 6), 0.0)
            items += [item for item in gossip.entries() if item.stamp.origin == name]
        for name, gossip in self.nodes.items():
            for first in range(0, len(items), FILL_ITEMS):
                chunk = tuple(items[first : first + FILL_ITEMS])
                gossip.receive(name, GossipMessage(0, 0, 0, chunk), 0.0)
            gossip._rounds_left.clear()

    def change(self) -> Stamp:
        """Change one leaf's status at its owner."""
        leaf, owner = self._rng.choice(self.leaves)
        value = status_bytes(leaf, self._rng.randrange(1_000))
        began = time.process_time()
        self._collect(owner, self.nodes[owner].put(f"leaf/{leaf}", value, self.now))
        self.cpu_s += time.process_time() - began
        return self.nodes[owner].entries(f"leaf/{leaf}")[0].stamp

    def round(self) -> None:
        """Run one round of every node and deliver what was sent."""
        self.now += ROUND_S
        began = time.process_time()
        for name, gossip in self.nodes.items():
            self._collect(name, gossip.tick(self.now, self.names))
        self.cpu_s += time.process_time() - began
        while self._waiting:
            batch, self._waiting = self._waiting, []
            for sender, send in batch:
                self._count(send)
                began = time.process_time()
                received = self.nodes[send.to].receive(sender, send.message, self.now + 0.01)
                self.cpu_s += time.process_time() - began
                self._collect(send.to, received.sends)

    def _collect(self, sender: str, sends: list[Send]) -> None:
        self._waiting += [(sender, send) for send in sends]

    def _count(self, send: Send) -> None:
        self.messages += 1
        if self.messages % SAMPLE == 0:
            self.bytes += SAMPLE * len(msgspec.msgpack.encode(send.message))

    def reached(self, stamp: Stamp) -> bool:
        """Return whether every node has this version of the entry."""
        for gossip in self.nodes.values():
            item = gossip._entries.get(stamp.origin, stamp.key)
            if item is None or item.stamp.version() < stamp.version():
                return False
        return True


def gossip_cost(nodes: int, leaves: int, changes_per_s: float, seconds: float) -> GossipCost:
    """Measure a fleet with a steady rate of changes."""
    fleet = Fleet(nodes=nodes, leaves=leaves, seed=1)
    for _ in range(8):
        fleet.round()
    fleet.messages = fleet.bytes = 0
    fleet.cpu_s = 0.0
    due, made = 0.0, 0
    open_changes: list[tuple[float, Stamp]] = []
    reach_s = 0.0
    began = fleet.now
    while fleet.now < began + seconds or (open_changes and fleet.now < began + 2 * seconds):
        due += changes_per_s * ROUND_S if fleet.now < began + seconds else 0.0
        while made < int(due):
            made += 1
            open_changes.append((fleet.now, fleet.change()))
        fleet.round()
        for at, stamp in list(open_changes):
            if fleet.reached(stamp):
                open_changes.remove((at, stamp))
                reach_s = max(reach_s, fleet.now - at)
    per = nodes * (fleet.now - began)
    return GossipCost(fleet.messages / per, fleet.bytes / per, fleet.cpu_s * 1e6 / per, reach_s)
