"""Costs of membership: many members' states driven by direct calls, messages after 10 ms."""

from __future__ import annotations

import heapq
import time

from typing import NamedTuple

import msgspec

from cactussaddle_core.membership.membership import Membership
from cactussaddle_core.membership.model import MemberRecord
from cactussaddle_core.membership.model import Message
from cactussaddle_core.membership.model import NodeState
from cactussaddle_core.membership.model import Rumor
from cactussaddle_core.membership.model import Send
from tools.capacity.fleet import INCARNATION
from tools.capacity.fleet import domain_of
from tools.capacity.fleet import node_address
from tools.capacity.fleet import node_name

TICK_S = 0.05
DELAY_S = 0.01
SETTLE_S = 8.0
BOUND_S = 40.0
LOOK_S = 5.0
SAMPLE = 8


class Steady(NamedTuple):
    """What membership costs one node while nothing happens."""

    messages_per_s: float
    bytes_per_s: float
    cpu_us_per_s: float


class Burst(NamedTuple):
    """How the news of deaths spreads.

    `known_s` is the time to the last node, `unknown` the share of (node, victim) pairs unknown
    after `LOOK_S`; the rest is of the worst second, a node.
    """

    known_s: float
    unknown: float
    messages_in_worst_s: float
    bytes_in_worst_s: float


class Members:
    """Members' states with the messages between them; each knows `known` others or all."""

    def __init__(self, *, nodes: int, seed: int, known: int = 0) -> None:
        self.now = 0.0
        self.dead: set[str] = set()
        self.messages = 0
        self.bytes = 0
        self.cpu_s = 0.0
        self._number = 0
        self._queue: list[tuple[float, int, str, Message]] = []
        self.nodes = {
            node_address(n): Membership(
                node=node_name(n),
                incarnation=INCARNATION + n,
                address=node_address(n),
                domain=domain_of(n),
                seed=seed,
            )
            for n in range(nodes)
        }
        records = tuple(
            MemberRecord(node_name(n), INCARNATION + n, 0, 0, node_address(n), domain_of(n))
            for n in range(max(nodes, known))
        )
        for member in self.nodes.values():
            member.receive(Rumor(records[0], False, True, records), 0.0)
            member.seeds(record.address for record in records)

    def run(self, seconds: float) -> None:
        """Run for some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            began = time.process_time()
            waiting = [
                e for a, m in self.nodes.items() if a not in self.dead for e in self._tick(m)
            ]
            self.cpu_s += time.process_time() - began
            self._post(waiting)
            self._deliver()

    def _tick(self, member: Membership) -> list[Send]:
        return [effect for effect in member.tick(self.now) if isinstance(effect, Send)]

    def _post(self, sends: list[Send]) -> None:
        for send in sends:
            self._number += 1
            self.messages += 1
            if self._number % SAMPLE == 0:
                self.bytes += SAMPLE * len(msgspec.msgpack.encode(send.message))
            due = self.now + DELAY_S
            heapq.heappush(self._queue, (due, self._number, send.address, send.message))

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now + TICK_S / 2:
            _, _, address, message = heapq.heappop(self._queue)
            member = self.nodes.get(address)
            if member is None or address in self.dead:
                continue
            began = time.process_time()
            effects = member.receive(message, self.now + DELAY_S)
            self.cpu_s += time.process_time() - began
            self._post([effect for effect in effects if isinstance(effect, Send)])

    def unknown(self, victims: set[str]) -> int:
        """Return how many pairs of a living node and a victim that it holds alive there are."""
        pairs = 0
        for address, member in self.nodes.items():
            if address in self.dead:
                continue
            records = (member.get(name) for name in victims)
            pairs += sum(r is not None and r.state != NodeState.DEAD for r in records)
        return pairs


def steady(nodes: int, seconds: float, seed: int = 1) -> Steady:
    """Measure a fleet in which nothing happens."""
    fleet = Members(nodes=nodes, seed=seed)
    fleet.run(SETTLE_S)
    fleet.messages = fleet.bytes = 0
    fleet.cpu_s = 0.0
    fleet.run(seconds)
    per = nodes * seconds
    return Steady(fleet.messages / per, fleet.bytes / per, fleet.cpu_s * 1e6 / per)


def deaths(nodes: int, killed: int, seed: int = 1) -> Burst:
    """Kill some nodes at once."""
    fleet = Members(nodes=nodes, seed=seed)
    fleet.run(SETTLE_S)
    victims = list(fleet.nodes)[nodes - killed :]
    names = {fleet.nodes[address].me.name for address in victims}
    fleet.dead.update(victims)
    began = fleet.now
    worst_messages = worst_bytes = 0.0
    alive = nodes - killed
    left = alive * killed
    unknown = 0.0
    while left and fleet.now < began + BOUND_S:
        fleet.messages = fleet.bytes = 0
        fleet.run(1.0)
        left = fleet.unknown(names)
        if fleet.now <= began + LOOK_S + TICK_S:
            unknown = left / (alive * killed)
        worst_messages = max(worst_messages, fleet.messages / alive)
        worst_bytes = max(worst_bytes, fleet.bytes / alive)
    return Burst(fleet.now - began, unknown, worst_messages, worst_bytes)
