"""Several nodes on one virtual clock that send each other messages; the base of worlds with shared leaves."""

from __future__ import annotations

import random

from typing import Any
from typing import Generic
from typing import TypeVar

from cactussaddle_core.edge import effects as fx
from cactussaddle_core.edge import events as ev
from cactussaddle_core.spread.model import Member
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import World

STEP_S = 0.005
DATAGRAM_S = 0.02

N = TypeVar("N", bound="FleetNode")


class FleetNode(World):
    """One node; the nodes are spread over all domains."""

    def __init__(self, *, fleet: Any, number: int, nodes: int) -> None:
        self.fleet = fleet
        super().__init__(seed=number + 1, nodes=nodes, number=number, loaded=False)

    @property
    def name(self) -> str:
        return self.state.me.node

    def members(self, count: int) -> tuple[Member, ...]:
        return tuple(
            Member(f"node-{n}", "127.0.0.1", 1, DOMAINS[n % len(DOMAINS)]) for n in range(count)
        )

    def _carry_out(self, effect: Any) -> None:
        super()._carry_out(effect)
        self.fleet.carry_out(self, effect)


class FleetWorld(Generic[N]):
    """The nodes, in step; messages between them are lost with the probability `loss`."""

    def __init__(self, *, loss: float = 0.0) -> None:
        self.rng = random.Random(1)
        self.loss = loss
        self.nodes: list[N] = []

    @property
    def now(self) -> float:
        return self.nodes[0].now

    def run(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / STEP_S))):
            for node in self.nodes:
                node.run(STEP_S)

    def carry_out(self, node: N, effect: Any) -> None:
        """Deliver a message of a node to the others."""
        if isinstance(effect, fx.SendHints):
            self._datagram(effect.members, ev.HintsHeard(effect.hints))
        elif isinstance(effect, fx.SendCrashes):
            self._datagram(effect.members, ev.CrashesHeard(effect.snapshot))
        elif isinstance(effect, fx.SendLimits):
            self._datagram(effect.members, ev.LimitsHeard(effect.notes))
        elif isinstance(effect, fx.SendTraffic):
            self._datagram(effect.members, ev.TrafficHeard(effect.report))

    def _datagram(self, members: Any, event: ev.Event) -> None:
        names = {member.node for member in members}
        for node in self.nodes:
            if node.name in names and self.rng.random() >= self.loss:
                node.later(DATAGRAM_S, event)
