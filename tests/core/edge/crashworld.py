"""Several nodes and their leaves on one virtual clock, and requests that end the leaves running them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from cactussaddle_core.edge import events as ev
from cactussaddle_core.fanout import model as fan
from cactussaddle_core.fleet.probing import ProbeOutcome
from cactussaddle_core.fleet.probing import ProbeResult
from cactussaddle_core.hold.trials import RemoveTrial
from cactussaddle_core.hold.trials import TrialRecord
from cactussaddle_core.hold.trials import WriteTrial
from tests.core.edge.fleetworld import FleetNode
from tests.core.edge.fleetworld import FleetWorld
from tests.core.edge.leafbehavior import CallOutcome
from tests.core.edge.world import DOMAINS
from tests.core.edge.world import entry
from tests.core.edge.world import leaf_name

if TYPE_CHECKING:
    from cactussaddle_core.fleet.model import LeafEntry

REGISTRY_LAG_S = 0.8
STORE_S = 0.01
WATCH_LAG_S = 0.5
ENTRY_EXPIRY_S = 3.6
DOWN_S = 4.5
POISON = "poison"
REFUSED = ProbeResult(ProbeOutcome.NOT_CONNECTED, "", False, None, 0.0)
SILENT = ProbeResult(ProbeOutcome.SILENT, "", False, None, 0.0)


class Run(NamedTuple):
    """A request that a leaf began to run: when, at which node and leaf, and its fingerprint."""

    at: float
    attempt: tuple[str, int]
    leaf: str
    fingerprint: str


class Node(FleetNode):
    """One node of a `CrashWorld`; its calls run on the leaves that all nodes share."""

    fleet: CrashWorld

    def leaves(self) -> tuple[LeafEntry, ...]:
        more = [
            entry("orders", domain, leaf=leaf_name(f"orders.{copy}", domain))
            for copy in range(self.fleet.order_copies)
            for domain in DOMAINS
        ]
        return (*super().leaves(), *more)

    def _send(self, call: Any) -> None:
        leaf = call.leaf.name
        if not self.fleet.is_down(leaf):
            super()._send(call)
            self.fleet.begin(self, call)
            return
        self._calls[call.call_id] = call
        if self.fleet.silent:
            self.later(0.0, ev.CallLeft(call.call_id))
        else:
            self.answer_call(
                call, CallOutcome(0.0, fan.CallEnding.NOT_SENT), self._trip_s(call.leaf)
            )

    def _probe(self, leaf: Any) -> None:
        if not self.fleet.is_down(leaf.name):
            super()._probe(leaf)
        elif self.fleet.silent:
            self.later(0.8, ev.ProbeEnded(leaf.name, SILENT))
        else:
            self.later(self._trip_s(leaf), ev.ProbeEnded(leaf.name, REFUSED))


class CrashWorld(FleetWorld[Node]):
    """`nodes` nodes over the same leaves.

    A leaf that begins to run a request with the fingerprint `POISON` ends, with all its calls; it is
    back after `DOWN_S`. If `silent`, its connections and probes then get no answer at all. Datagrams
    are lost with the probability `loss`. The unsharded service has `order_copies` leaves more in each
    domain.
    """

    def __init__(
        self, *, nodes: int = 6, silent: bool = False, loss: float = 0.0, order_copies: int = 3
    ) -> None:
        super().__init__(loss=loss)
        self.silent = silent
        self.order_copies = order_copies
        self.down_until: dict[str, float] = {}
        self.born: dict[str, int] = defaultdict(lambda: 1)
        self.runs: list[Run] = []
        self.crashes: list[tuple[float, str]] = []
        self.records: dict[str, TrialRecord] = {}
        self.revision = 0
        self._open: dict[str, list[tuple[Node, Any]]] = defaultdict(list)
        self._count = nodes
        self._start_nodes()
        for node in self.nodes:
            node.load_all()
        self.run(2.0)

    def _start_nodes(self) -> None:
        self.nodes = [
            Node(fleet=self, number=number, nodes=self._count) for number in range(self._count)
        ]

    def ask(self, number: int, target: bytes, fingerprint: str) -> tuple[str, int]:
        node = self.nodes[number % len(self.nodes)]
        return (node.name, node.ask(target, fingerprint=fingerprint))

    def answer(self, attempt: tuple[str, int]) -> Any:
        node = next(node for node in self.nodes if node.name == attempt[0])
        return node.done.get(attempt[1])

    def is_down(self, leaf: str) -> bool:
        return self.now < self.down_until.get(leaf, 0.0)

    def begin(self, node: Node, call: Any) -> None:
        """A leaf begins to run a call."""
        leaf = call.leaf.name
        request = call.part.query.request
        self.runs.append(Run(self.now, (node.name, request.req_id), leaf, request.fingerprint))
        self._open[leaf] = [pair for pair in self._open[leaf] if pair[1].ending is None]
        self._open[leaf].append((node, call))
        if request.fingerprint == POISON:
            self.crash(leaf)

    def crash(self, leaf: str) -> None:
        """End a leaf with all its calls; start it again after `DOWN_S`."""
        self.crashes.append((self.now, leaf))
        self.down_until[leaf] = self.now + DOWN_S
        self.born[leaf] += 1
        for node, call in self._open.pop(leaf, []):
            node.forget_answer(call)
            if not self.silent:
                broken = CallOutcome(0.0, fan.CallEnding.BROKEN)
                node.answer_call(call, broken, node._trip_s(call.leaf))
        service, _, domain = leaf.rpartition("-")
        back = entry(service.split(".")[0], domain, leaf=leaf, born_ms=self.born[leaf])
        for node in self.nodes:
            node.later(ENTRY_EXPIRY_S + REGISTRY_LAG_S, ev.LeafRemoved(leaf))
            node.later(DOWN_S + REGISTRY_LAG_S, ev.LeafChanged(back))

    def crash_service(self, service: str) -> None:
        for domain in DOMAINS:
            self.crash(leaf_name(service, domain))

    def restart_nodes(self) -> None:
        """Replace all nodes by new processes that know nothing of before."""
        now = self.now
        self._start_nodes()
        for node in self.nodes:
            node.now = now
            node.load_all()
            node.feed(ev.TrialsListed(tuple(self.records.values())))
        self._open.clear()

    def carry_out(self, node: Node, effect: Any) -> None:
        super().carry_out(node, effect)
        if isinstance(effect, WriteTrial):
            self._write(node, effect)
        elif isinstance(effect, RemoveTrial):
            self._remove(effect)

    def _write(self, node: Node, effect: WriteTrial) -> None:
        """Write a record to the store, which tells all nodes after `WATCH_LAG_S`."""
        record = effect.record
        revision = None
        if self._revision_of(record.fingerprint) == record.revision:
            self.revision += 1
            revision = self.revision
            self.records[record.fingerprint] = record._replace(revision=revision)
            self._tell_all(ev.TrialSeen(self.records[record.fingerprint]))
        node.later(STORE_S, ev.TrialWritten(effect, revision))

    def _remove(self, effect: RemoveTrial) -> None:
        if self._revision_of(effect.fingerprint) == effect.revision:
            self.revision += 1
            del self.records[effect.fingerprint]
            self._tell_all(ev.TrialRemoved(effect.fingerprint, self.revision))

    def _revision_of(self, fingerprint: str) -> int:
        known = self.records.get(fingerprint)
        return known.revision if known is not None else 0

    def _tell_all(self, event: ev.Event) -> None:
        for node in self.nodes:
            node.later(WATCH_LAG_S, event)

    def late_retries(self, window_s: float) -> int:
        """Return how many attempts of the poison reached leaves later than `window_s` after the third crash."""
        if len(self.crashes) < 3:
            return 0
        from_s = self.crashes[2][0] + window_s
        late = {run.attempt for run in self.runs if run.fingerprint == POISON and run.at > from_s}
        return len(late)


def send_poison(
    world: CrashWorld, every_s: float, seconds: float, target: bytes = b"/o/1"
) -> list[tuple[str, int]]:
    """Send the poison through the nodes in turn; return the attempts."""
    attempts = []
    for number in range(round(seconds / every_s)):
        attempts.append(world.ask(number, target, POISON))
        world.run(every_s)
    return attempts
