"""Several complete node states connected by lossy links, driven by direct calls."""

from __future__ import annotations

import itertools
import random

from typing import Any

from cactussaddle_core import wire
from cactussaddle_core.config.model import ConfigDoc
from cactussaddle_core.config.model import encode_doc
from cactussaddle_core.node.effects import RecordMove
from cactussaddle_core.node.effects import SendPeer
from cactussaddle_core.node.events import DocSeen
from cactussaddle_core.node.events import HostEntry
from cactussaddle_core.node.events import HostsSeen
from cactussaddle_core.node.events import PeerMessage
from cactussaddle_core.node.events import Tick
from cactussaddle_core.node.reduce import reduce
from cactussaddle_core.node.state import NodeIdentity
from cactussaddle_core.node.state import NodeState
from cactussaddle_core.node.state import PolicyName

TICK_S = 0.05
WALL = 1_800_000_000.0
MAX_DELAY_S = 0.4
LEAVES = 3


def config(revision: int, domains: int = 1, moves: list[Any] | None = None) -> bytes:
    """Return a configuration with one service, whose leaves are distributed over the domains."""
    doc: ConfigDoc = {
        "revision": revision,
        "change_id": f"c{revision}",
        "domains": [
            {"name": domain_of(number, domains), "region": f"r{number}"}
            for number in range(domains)
        ],
        "services": [{"name": "s1", "slots": 4, "connections": 40, "connect_ms": 1.0}],
        "leaves": [
            {
                "name": f"s1-{number}",
                "service": "s1",
                "domain": domain_of(number, domains),
                "address": f"127.0.0.1:{9000 + number}",
                "version": "v1",
            }
            for number in range(LEAVES)
        ],
        "routes": [
            {
                "name": "r",
                "services": ["s1"],
                "idempotent": True,
                "priority": 0,
                "deadline_ms": 1000,
                "min_coverage": 0.5,
            }
        ],
        "moves": moves or [],
    }
    return encode_doc(doc)


def domain_of(number: int, domains: int) -> str:
    return f"d{number % domains + 1}"


class World:
    """Nodes by name; messages in flight as (due, target, sender, frame).

    Messages between two domains are lost if one of them is in `parted`; a paused node receives
    nothing until it resumes. `skew` is the error of a node's wall clock in seconds.
    """

    def __init__(self, *, nodes: int, seed: int, loss: float, domains: int = 1):
        self.rng = random.Random(seed)
        self.loss = loss
        self.domains = domains
        self.now = 100.0
        self.starts = 0
        self.accepted = 0
        self.moves: list[Any] = []
        self.flight: list[tuple[float, str, str, bytes]] = []
        self.nodes: dict[str, NodeState] = {}
        self.paused: set[str] = set()
        self.parted: frozenset[str] = frozenset()
        self.skew: dict[str, float] = {}
        self.seen: dict[str, int] = {}
        self.recorded: list[RecordMove] = []
        for number in range(nodes):
            self.start(f"n{number}")

    def start(self, name: str) -> None:
        """Start a node, or replace it with a new process at the same address."""
        self.starts += 1
        domain = domain_of(int(name[1:]), self.domains)
        me = NodeIdentity(name, self.starts, f"127.0.0.1:{name[1:]}", domain)
        self.nodes[name] = NodeState(me=me, policy=PolicyName.ADAPTIVE, seed=self.starts)
        self.seen[name] = 0
        self.paused.discard(name)
        self.tell_hosts()

    def tell_hosts(self) -> None:
        entries = tuple(
            HostEntry(name, state.me.address, state.me.domain, False)
            for name, state in self.nodes.items()
        )
        for name in self.awake():
            self.feed(name, HostsSeen(entries))

    def awake(self) -> list[str]:
        return [name for name in self.nodes if name not in self.paused]

    def accept(self, watchers: list[str]) -> None:
        """Accept the next configuration; only the given nodes receive it from the store."""
        self.accepted += 1
        for name in watchers:
            self.feed(name, DocSeen("config", self.document(self.accepted), "store"))

    def document(self, revision: int) -> bytes:
        return config(revision, self.domains, self.moves)

    def replay(self, name: str, revision: int) -> None:
        """Deliver an old configuration, as a lagging store or a relay may do."""
        if 0 < revision <= self.accepted:
            self.feed(name, DocSeen("config", self.document(revision), "late"))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            self.step()

    def step(self) -> None:
        self.deliver()
        for name in self.awake():
            self.feed(name, Tick())

    def deliver(self) -> None:
        arrived = [item[0] <= self.now and item[1] not in self.paused for item in self.flight]
        due = list(itertools.compress(self.flight, arrived))
        self.flight = list(itertools.compress(self.flight, (not here for here in arrived)))
        self.rng.shuffle(due)
        for _, target, sender, frame in due:
            for message in wire.decode_frame(frame):
                self.feed(target, PeerMessage(sender, message))

    def feed(self, name: str, event: Any) -> None:
        state = self.nodes[name]
        wall = WALL + self.now + self.skew.get(name, 0.0)
        for effect in reduce(state, event, self.now, wall):
            self.carry_out(name, effect)
        revision = state.cfg.revision
        assert revision >= self.seen[name], f"{name} went from {self.seen[name]} to {revision}"
        self.seen[name] = revision

    def carry_out(self, name: str, effect: Any) -> None:
        if isinstance(effect, SendPeer):
            self.send(name, effect)
        elif isinstance(effect, RecordMove):
            self.recorded.append(effect)

    def send(self, sender: str, effect: SendPeer) -> None:
        by_address = {state.me.address: name for name, state in self.nodes.items()}
        target = by_address.get(effect.address, effect.node)
        if target not in self.nodes or self.rng.random() < self.loss or self.apart(sender, target):
            return
        copies = 2 if self.rng.random() < self.loss else 1
        for _ in range(copies):
            due = self.now + self.rng.uniform(0.0, MAX_DELAY_S if self.loss else 0.01)
            self.flight.append((due, target, sender, wire.encode_frame([effect.message])))

    def apart(self, one: str, other: str) -> bool:
        domains = {self.nodes[name].me.domain for name in (one, other)}
        return len(domains) == 2 and bool(domains & self.parted)
