"""One run of the soak: stand-ins in this process, nodes as processes, faults, and the checks."""

from __future__ import annotations

import os
import random
import signal

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import trio

from tests.soak.callers import HOST
from tests.soak.callers import Caller
from tests.soak.faults import Fault
from tests.soak.faults import draw
from tests.soak.kv import Store
from tests.soak.leaf import LeafServer
from tests.soak.ledger import Ledger
from tests.soak.link import Link
from tests.soak.nodes import GRACE_S
from tests.soak.nodes import REGIONS
from tests.soak.nodes import NodeProcess
from tests.standins import http11

if TYPE_CHECKING:
    from pathlib import Path

DOMAINS = tuple(REGIONS)
SHARD_SETS = (tuple(f"a{n}" for n in range(5)), tuple(f"b{n}" for n in range(7)))
PLAIN = "orders"
LEAST, TOP = 0.6, 4
WORK_S = 0.012
STORE_PORT, LEAF_PORT, LINK_PORT = 8300, 8400, 8500
CONFIG_IN_FORCE_S = 3.0
DRAIN_S = 3.0
# After a fault a node has this long before bounds hold for it again.
STEADY_S = 4.0
RECOVER_S = 8.0


class Options(NamedTuple):
    """`nodes` in all and how long faults come; `folder` keeps the logs."""

    seed: int
    seconds: float
    nodes: int
    callers: int
    folder: Path


class Soak:
    """The world of one run: stand-ins, links, nodes, what the operator has written, and the ledger.

    A node is steady when the last fault on it, its links or its access to the store ended some time
    ago; bounds in seconds are checked on steady nodes only.
    """

    def __init__(self, *, options: Options, nursery: trio.Nursery) -> None:
        self.options = options
        self.nursery = nursery
        self.rng = random.Random(options.seed)
        self.net = f"127.{20 + os.getpid() % 200}.{options.seed % 250}"
        self.store = Store(rng=self.rng)
        self.ledger = Ledger(
            shard_sets=[frozenset(shards) for shards in SHARD_SETS], least=LEAST, top=TOP
        )
        self.version = 1
        self.shards = SHARD_SETS[0]
        self.leaves: list[LeafServer] = []
        self.links: list[Link] = []
        self.nodes: list[NodeProcess] = []

    async def start(self) -> None:
        """Open the stand-ins, write the configuration, start the nodes."""
        store_address = (f"{self.net}.1", STORE_PORT)
        await http11.listen(self.nursery, f"{self.net}.1:{STORE_PORT}", self.store.server.accept)
        self.nursery.start_soon(self.store.expire_leases)
        for service in (*SHARD_SETS[0], *SHARD_SETS[1], PLAIN):
            for domain in DOMAINS:
                await self.add_leaf(service, domain)
        self.write_config()
        for number in range(self.options.nodes):
            node = NodeProcess(
                name=f"node-{number}",
                ip=f"{self.net}.{100 + number}",
                domain=DOMAINS[number % len(DOMAINS)],
                store=store_address,
                folder=self.options.folder,
            )
            self.nodes.append(node)
            node.start()
        self.nursery.start_soon(self.keep_running)

    async def add_leaf(self, service: str, domain: str, version: str = "v1") -> LeafServer:
        """Start a leaf behind a link of its own."""
        number = len(self.leaves)
        host = f"{self.net}.2"
        link = Link(host=host, port=LINK_PORT + number, target=(host, LEAF_PORT + number))
        await link.listen(self.nursery)
        leaf = LeafServer(
            name=f"i-{service}-{domain}-{version}",
            service=service,
            domain=domain,
            address=(host, LINK_PORT + number),
            work_s=WORK_S * (10 if service == PLAIN else 1),
            store=self.store,
            ledger=self.ledger,
            rng=self.rng,
            version=version,
        )
        await http11.listen(self.nursery, f"{host}:{LEAF_PORT + number}", leaf.server.accept)
        self.nursery.start_soon(leaf.beat)
        self.leaves.append(leaf)
        self.links.append(link)
        return leaf

    def write_config(self) -> None:
        """Write the operator's configuration; a route named after its version tells it apart."""
        common = {
            "host": HOST,
            "type": "safe",
            "timeout_ms": 1500,
            "slo_ms": 300,
            "priority": 1,
            "max_attempts": 2,
            "allowed_regions": [],
        }
        routes: list[dict[str, Any]] = [
            {
                **common,
                "name": "g",
                "prefix": "/g/",
                "gather": self.shards,
                "top_k": TOP,
                "least": LEAST,
            },
            {**common, "name": "p", "prefix": "/p/", "service": PLAIN},
            {**common, "name": "o", "prefix": "/o/", "service": PLAIN, "type": "unsafe"},
            {**common, "name": "v", "prefix": f"/v{self.version}/", "service": PLAIN},
        ]
        names = [*SHARD_SETS[0], *SHARD_SETS[1], PLAIN]
        services = [{"name": name, "health_path": "/healthz", "max_conns": 40} for name in names]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        config = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        self.store.put("op/config", msgspec.json.encode(config))

    def next_config(self) -> None:
        """Put a new version in force and have it checked on the nodes that are steady."""
        self.version += 1 + self.rng.randrange(3)
        self.write_config()
        self.nursery.start_soon(self._check_in_force, self.version, trio.current_time())

    async def _check_in_force(self, version: int, since: float) -> None:
        await trio.sleep(CONFIG_IN_FORCE_S)
        if self.version != version:
            return
        for node in self.nodes:
            if (
                node.is_running()
                and node.steady_since < since - STEADY_S
                and not node.stopping_since
            ):
                self.nursery.start_soon(self._probe, node, version, since)

    async def _probe(self, node: NodeProcess, version: int, since: float) -> None:
        caller = Caller(number=-version, nodes=[node], ledger=self.ledger, seed=self.options.seed)
        status = await caller.ask("probe", f"/v{version}/x")
        steady = node.steady_since < since - STEADY_S and not node.stopping_since
        if status == 404 and self.version == version and steady:
            self.ledger.breach(f"version {version} is not in force on {node.name}")

    async def keep_running(self) -> None:
        """Start ended nodes again, as the platform does; one that ended by itself is a finding."""
        while True:
            await trio.sleep(0.1)
            for node in self.nodes:
                if node.is_running():
                    continue
                if node.ended_by_itself():
                    code = node.child.returncode if node.child is not None else None
                    self.ledger.breach(f"{node.name} ended by itself with status {code}")
                node.steady_since = trio.current_time() + STEADY_S
                await trio.sleep(0.2)
                node.start()

    async def run_faults(self) -> None:
        """Bring on the faults of the seed, each in a task of its own."""
        began = trio.current_time()
        faults = draw(
            self.options.seed, self.options.seconds, nodes=len(self.nodes), leaves=len(self.leaves)
        )
        for fault in faults:
            await trio.sleep_until(began + fault.at)
            self.nursery.start_soon(self._bring, fault)
        await trio.sleep_until(began + self.options.seconds)

    async def _bring(self, fault: Fault) -> None:
        actions = {
            "node": self._node_fault,
            "leaf": self._leaf_fault,
            "link": self._link_fault,
            "store": self._store_fault,
            "operator": self._operator_act,
        }
        await actions[fault.group](fault)

    async def _node_fault(self, fault: Fault) -> None:
        node = self.nodes[fault.which]
        if fault.kind == "term":
            if node.is_running() and node.stopping_since is None and not node.paused:
                node.stopping_since = trio.current_time()
                node.signal(signal.SIGTERM)
                await trio.sleep(GRACE_S)
                node.signal(signal.SIGKILL)
            return
        node.steady_since = trio.current_time() + fault.for_s
        if fault.kind == "kill":
            node.signal(signal.SIGKILL)
        elif fault.kind == "pause":
            node.signal(signal.SIGSTOP)
            await trio.sleep(fault.for_s)
            node.signal(signal.SIGCONT)
        elif fault.kind == "hup":
            node.write_settings(budget_slack=40 + self.rng.randrange(3))
            node.signal(signal.SIGHUP)
        else:
            self.store.modes[node.ip] = self.rng.choice(["silent", "busy"])
            await trio.sleep(fault.for_s)
            self.store.modes.pop(node.ip, None)
        node.steady_since = trio.current_time()

    async def _leaf_fault(self, fault: Fault) -> None:
        leaf, link = self.leaves[fault.which], self.links[fault.which]
        if fault.kind == "crash":
            leaf.registered = False
            link.set_mode("refuse")
            leaf.server.cut_all()
            await trio.sleep(fault.for_s)
            link.set_mode("ok")
            leaf.restart()
            leaf.registered = True
        elif fault.kind == "restart":
            leaf.restart()
        elif fault.kind == "drain":
            leaf.drain()
            if self._all_steady():
                self.ledger.closed(leaf, trio.current_time() + DRAIN_S + WORK_S)
            await trio.sleep(DRAIN_S + fault.for_s)
            self.ledger.reopened(leaf)
            leaf.restart()
        elif fault.kind == "lapse":
            leaf.registered = False
            await trio.sleep(fault.for_s)
            leaf.registered = True
        else:
            leaf.fault = fault.kind
            await trio.sleep(fault.for_s)
            leaf.fault = ""

    def _all_steady(self) -> bool:
        now = trio.current_time()
        return self.store.mode == "ok" and all(n.steady_since < now - STEADY_S for n in self.nodes)

    async def _link_fault(self, fault: Fault) -> None:
        link = self.links[fault.which]
        link.set_mode(fault.kind)
        await trio.sleep(fault.for_s)
        link.set_mode("ok")

    async def _store_fault(self, fault: Fault) -> None:
        if fault.kind == "compact":
            self.store.compact()
            return
        self._unsteady(trio.current_time() + fault.for_s)
        self.store.mode = fault.kind
        await trio.sleep(fault.for_s)
        self.store.mode = "ok"
        self._unsteady(trio.current_time())

    def _unsteady(self, until: float) -> None:
        for node in self.nodes:
            node.steady_since = max(node.steady_since, until)

    async def _operator_act(self, fault: Fault) -> None:
        if fault.kind == "domain out":
            domain = self.rng.choice(DOMAINS)
            self.store.put(f"op/evacuate/{domain}", b"{}")
            await trio.sleep(fault.for_s)
            self.store.delete(f"op/evacuate/{domain}")
            return
        if fault.kind == "reshard":
            self.shards = SHARD_SETS[1] if self.shards == SHARD_SETS[0] else SHARD_SETS[0]
        for _ in range(8 if fault.kind == "storm" else 1):
            self.next_config()
            await trio.sleep(0.1)


async def run_soak(options: Options) -> Ledger:
    """Run one seed; return what callers and leaves saw."""
    async with trio.open_nursery() as nursery:
        soak = Soak(options=options, nursery=nursery)
        try:
            await soak.start()
            await trio.sleep(3.0)
            for number in range(options.callers):
                caller = Caller(
                    number=number, nodes=soak.nodes, ledger=soak.ledger, seed=options.seed
                )
                nursery.start_soon(caller.run)
            await soak.run_faults()
            await trio.sleep(RECOVER_S)
            _check_end(soak)
        finally:
            for node in soak.nodes:
                node.end()
            nursery.cancel_scope.cancel()
    return soak.ledger


def _check_end(soak: Soak) -> None:
    ledger = soak.ledger
    if trio.current_time() - ledger.last_served_at > 1.0:
        ledger.breach("nothing is served after the faults")
    ledger.check_budget(0.2, 40.0, 10.0)
    for node in soak.nodes:
        for line in node.faults_logged():
            ledger.breach(f"{node.name} logged: {line}")
