"""Several nodes over leaves that name, in their answers, how many requests a second they take."""

from __future__ import annotations

import functools

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_common.http.message import Response
from cactussaddle_core.fanout import model as fan
from cactussaddle_platform.leaves import decode_call_end
from tests.core.edge.fleetworld import FleetNode
from tests.core.edge.fleetworld import FleetWorld

if TYPE_CHECKING:
    from tests.core.edge.leafbehavior import CallOutcome

# What the deployments grant: in any such window, so many times what the leaf named, and so many more.
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5.0


class Node(FleetNode):
    """One node of a `LimitWorld`."""

    fleet: LimitWorld

    def _send(self, call: Any) -> None:
        super()._send(call)
        self.fleet.arrivals[call.leaf.name].append(self.now)

    def answer_call(self, call: Any, does: CallOutcome, trip_s: float) -> None:
        limit = self.fleet.limits.get(call.leaf.name)
        if does.ending is not fan.CallEnding.ANSWERED or limit is None:
            super().answer_call(call, does, trip_s)
            return
        headers = (
            (b"server-stamp", b"sig-%d" % call.call_id),
            (b"server-limit", b"%.3f" % limit),
        )
        response = Response(200, headers, b"\x01" * 16)
        end = decode_call_end(call.call_id, response)
        self.later(trip_s + does.work_s, functools.partial(self._end_call, call, end))


class LimitWorld(FleetWorld[Node]):
    """`limits` holds what leaves name now; `arrivals` the times of the calls at each leaf."""

    def __init__(self, *, nodes: int = 8) -> None:
        super().__init__()
        self.limits: dict[str, float] = {}
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.nodes = [Node(fleet=self, number=number, nodes=nodes) for number in range(nodes)]
        for node in self.nodes:
            node.load_all()
        self.run(2.0)

    def load(
        self, per_s: float, seconds: float, target: bytes = b"/s/x", weights: Any = None
    ) -> list[Any]:
        """Send requests at random times to nodes drawn by weight; return them as (node, id)."""
        asked = []
        until = self.now + seconds
        while self.now < until:
            (node,) = self.rng.choices(self.nodes, weights)
            asked.append((node, node.ask(target)))
            self.run(self.rng.expovariate(per_s))
        return asked

    def share_served(self, asked: list[Any]) -> float:
        """Return the share of the requests that got a success."""
        kinds = [node.done[req_id].kind for node, req_id in asked if req_id in node.done]
        return sum(kind in ("merged", "relayed 200") for kind in kinds) / max(1, len(asked))

    def worst_window(self, leaf: str, since: float) -> int:
        """Return the most arrivals at a leaf in a window that begins at `since` or later."""
        times = [at for at in self.arrivals[leaf] if at >= since]
        return max(
            (sum(1 for at in times if start <= at < start + WINDOW_S) for start in times), default=0
        )


def allowed(limit: float) -> float:
    return OVER * WINDOW_S * limit + SLACK
