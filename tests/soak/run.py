"""One run of the soak: stand-ins in this process, nodes as processes, faults, and the checks."""

from __future__ import annotations

import os
import random
import signal
import time

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from tests.soak.callers import Caller
from tests.soak.configs import LEAST
from tests.soak.configs import PLAIN
from tests.soak.configs import SHARD_SETS
from tests.soak.configs import TOP
from tests.soak.configs import Configs
from tests.soak.faults import Fault
from tests.soak.faults import draw_all
from tests.soak.inforce import InForceCheck
from tests.soak.inforce import Prober
from tests.soak.kv import Store
from tests.soak.leaf import LeafServer
from tests.soak.ledger import Ledger
from tests.soak.link import Link
from tests.soak.nodes import GRACE_S
from tests.soak.nodes import REGIONS
from tests.soak.nodes import STEADY_S
from tests.soak.nodes import NodeProcess
from tests.soak.strangers import Stranger
from tests.standins import http11

if TYPE_CHECKING:
    from pathlib import Path

DOMAINS = tuple(REGIONS)
WORK_S = 0.012
STORE_PORT, LEAF_PORT, LINK_PORT = 8300, 8400, 8500
CONFIG_EVERY_S = (0.4, 2.6)
DRAIN_S = 3.0
EVACUATE_S = 5.0
RESTART_S = 0.2
# How long a store that comes back from a copy is away, and when its writers have written again.
AWAY_S = 0.5
REWRITTEN_S = 1.0
STRANGERS = 4
# In every third run hosts are uneven, as their settings say: the first node of each domain is strong.
UNEVEN_EVERY = 3
STRONG_CORES, WEAK_CORES = 2.0, 0.5
# Time after the last fault: that of the longest, then that without one, then some to be checked in.
RECOVER_S = 13.0


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
            shard_sets=[frozenset(shards) for shards in SHARD_SETS],
            least=LEAST,
            top=TOP,
            in_touch=self.in_touch,
        )
        self.configs = Configs(store=self.store, rng=random.Random(f"versions {options.seed}"))
        self.in_force = InForceCheck(breach=self.ledger.breach)
        self.store_steady_since = 0.0
        self.leaves: list[LeafServer] = []
        self.links: list[Link] = []
        self.nodes: list[NodeProcess] = []
        self.strangers: list[Stranger] = []

    async def start(self) -> None:
        """Open the stand-ins, write the configuration, start the nodes."""
        store_address = (f"{self.net}.1", STORE_PORT)
        await http11.listen(self.nursery, f"{self.net}.1:{STORE_PORT}", self.store.server.accept)
        self.nursery.start_soon(self.store.expire_leases)
        for service in (*SHARD_SETS[0], *SHARD_SETS[1], PLAIN):
            for domain in DOMAINS:
                await self.add_leaf(service, domain)
        self.write_next()
        for number in range(STRANGERS):
            stranger = Stranger(
                name=f"stranger-{number}",
                host=f"{self.net}.{10 + number}",
                store=self.store,
                rng=random.Random(f"stranger {number} of {self.options.seed}"),
                breach=self.ledger.breach,
            )
            await stranger.listen(self.nursery)
            self.strangers.append(stranger)
        for number in range(self.options.nodes):
            node = NodeProcess(
                name=f"node-{number}",
                ip=f"{self.net}.{100 + number}",
                domain=DOMAINS[number % len(DOMAINS)],
                store=store_address,
                folder=self.options.folder,
                cores=self._cores(number),
            )
            self.nodes.append(node)
            self._start(node)
        self.nursery.start_soon(self.keep_running)

    def _cores(self, number: int) -> float | None:
        """Return the processor that a node is told; in every third run that of uneven hosts, else None.

        There requests wait for the host, and the weak nodes hand their searches to the strong ones.
        """
        if self.options.seed % UNEVEN_EVERY:
            return None
        return STRONG_CORES if number < len(DOMAINS) else WEAK_CORES

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

    def write_next(self) -> None:
        """Write the next version of the configuration."""
        self.configs.write_next(trio.current_time())
        dropped = [r.version for r in self.configs.added if r.dropped_by == self.configs.version]
        self.note(f"version {self.configs.version}, drops {dropped}")

    def note(self, text: str) -> None:
        """Note for who traces a failure what happened, with the time of the nodes' logs."""
        with (self.options.folder / "soak.log").open("a") as log:
            log.write(f"{time.time():.3f} {text}\n")

    async def keep_configuring(self) -> None:
        """Write versions at uneven intervals until cancelled."""
        while True:
            await trio.sleep(self.rng.uniform(*CONFIG_EVERY_S))
            self.write_next()

    def watch_versions(self) -> None:
        """Check from now on that versions are in force in time."""
        for node in self.nodes:
            prober = Prober(
                node=node, added=self.configs.added, check=self.in_force, ledger=self.ledger
            )
            self.nursery.start_soon(prober.run)

    def in_touch(self, address: str, at: float) -> bool:
        """Return whether bounds in seconds hold at a time for the node at an address."""
        return any(node.ip == address and node.in_touch(at) for node in self.nodes)

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
                node.disturb(trio.current_time() + RESTART_S)
                await trio.sleep(RESTART_S)
                self._start(node)

    def _start(self, node: NodeProcess) -> None:
        node.start()
        node.disturb(trio.current_time())
        self.note(f"{node.name} started")

    async def run_faults(self) -> None:
        """Bring on the faults of the seed, each in a task of its own."""
        began = trio.current_time()
        faults = draw_all(
            self.options.seed, self.options.seconds, nodes=len(self.nodes), leaves=len(self.leaves)
        )
        for fault in faults:
            await trio.sleep_until(began + fault.at)
            self.note(f"{fault}")
            self.nursery.start_soon(self._bring, fault)
        await trio.sleep_until(began + self.options.seconds)

    async def _bring(self, fault: Fault) -> None:
        actions = {
            "node": self._node_fault,
            "leaf": self._leaf_fault,
            "link": self._link_fault,
            "store": self._store_fault,
            "operator": self._operator_act,
            "writer": self._stranger_writes,
        }
        await actions[fault.group](fault)

    async def _node_fault(self, fault: Fault) -> None:
        node = self.nodes[fault.which]
        if fault.kind == "term":
            if node.is_running() and node.stopping_since is None and not node.paused:
                await self._stop(node)
            return
        if fault.kind == "hup":
            node.write_settings(budget_slack=40 + self.rng.randrange(3))
            node.signal(signal.SIGHUP)
            return
        if fault.kind == "garbage":
            await node.send_garbage()
            return
        node.disturb(trio.current_time() + fault.for_s)
        if fault.kind == "kill":
            node.signal(signal.SIGKILL)
        elif fault.kind == "pause":
            node.signal(signal.SIGSTOP)
            await trio.sleep(fault.for_s)
            node.signal(signal.SIGCONT)
        else:
            kinds = ["lost"] if fault.kind == "lost" else ["silent", "busy"]
            self.store.modes[node.ip] = self.rng.choice(kinds)
            await trio.sleep(fault.for_s)
            self.store.modes.pop(node.ip, None)
        node.disturb(trio.current_time())

    async def _stop(self, node: NodeProcess) -> None:
        """Stop a node as the platform does; without another fault it has to be gone before its kill."""
        child = node.child
        assert child is not None
        asked_at = node.stopping_since = trio.current_time()
        node.signal(signal.SIGTERM)
        await trio.sleep(GRACE_S)
        if child.poll() is not None:
            return
        if node.steady_since <= asked_at - STEADY_S:
            self.ledger.breach(f"{node.name} still runs at the end of its grace period")
        child.kill()

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
            now = trio.current_time()
            if self.store_steady_since <= now - STEADY_S:
                self.ledger.closures.close_leaf(leaf.name, now + DRAIN_S + WORK_S)
            await trio.sleep(DRAIN_S + fault.for_s)
            self.ledger.closures.reopen_leaf(leaf.name)
            leaf.restart()
        elif fault.kind == "lapse":
            leaf.registered = False
            await trio.sleep(fault.for_s)
            leaf.registered = True
        else:
            leaf.fault = fault.kind
            await trio.sleep(fault.for_s)
            leaf.fault = ""

    async def _link_fault(self, fault: Fault) -> None:
        link = self.links[fault.which]
        if fault.kind == "strand":
            link.strand()
            return
        link.set_mode(fault.kind)
        await trio.sleep(fault.for_s)
        link.set_mode("ok")

    async def _restore_store(self, fault: Fault) -> None:
        """Let the store go away and come back from a copy; its writers write again what it lost."""
        self._unsteady(trio.current_time() + fault.for_s + AWAY_S + REWRITTEN_S)
        self.store.copy()
        await trio.sleep(fault.for_s)
        mode, self.store.mode = self.store.mode, "silent"
        await trio.sleep(AWAY_S)
        self.store.mode = mode
        lost = self.store.restore()
        await trio.sleep(REWRITTEN_S)
        self.store.rewrite(lost)
        self._unsteady(trio.current_time())

    async def _store_fault(self, fault: Fault) -> None:
        if fault.kind == "compact":
            self.store.compact()
            return
        if fault.kind == "strand":
            self._unsteady(trio.current_time())
            self.store.strand()
            return
        if fault.kind == "restore":
            await self._restore_store(fault)
            return
        self._unsteady(trio.current_time() + fault.for_s)
        self.store.mode = fault.kind
        await trio.sleep(fault.for_s)
        self.store.mode = "ok"
        self._unsteady(trio.current_time())

    def _unsteady(self, until: float) -> None:
        self.store_steady_since = max(self.store_steady_since, until)
        for node in self.nodes:
            node.disturb(until)

    async def _operator_act(self, fault: Fault) -> None:
        if fault.kind == "domain out":
            await self._evacuate(self.rng.choice(DOMAINS), EVACUATE_S + fault.for_s)
            return
        if fault.kind == "reshard":
            self.configs.shards = SHARD_SETS[self.configs.shards == SHARD_SETS[0]]
        for _ in range(8 if fault.kind == "storm" else 1):
            self.write_next()
            await trio.sleep(0.1)

    async def _evacuate(self, domain: str, for_s: float) -> None:
        closures = self.ledger.closures
        if any(closures.is_closed(other) for other in DOMAINS):
            return
        self.store.put(f"op/evacuate/{domain}", b"{}")
        closures.close_domain(domain, trio.current_time() + EVACUATE_S)
        await trio.sleep(for_s)
        self.store.delete(f"op/evacuate/{domain}")
        closures.reopen_domain(domain)

    async def _stranger_writes(self, fault: Fault) -> None:
        leaf = self.leaves[fault.which]
        for stranger in self.strangers:
            stranger.write(leaf.service, leaf.domain)
            if self.rng.random() < 0.5:
                self.write_next()
        await trio.sleep(fault.for_s)
        for stranger in self.strangers:
            stranger.remove()


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
            soak.watch_versions()
            nursery.start_soon(soak.keep_configuring)
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
    ledger.versions_judged = soak.in_force.judged
    if trio.current_time() - ledger.last_served_at > 1.0:
        ledger.breach("nothing is served after the faults")
    ledger.check_budget(0.2, 40.0, 10.0)
    for node in soak.nodes:
        for line in node.faults_logged():
            ledger.breach(f"{node.name} logged: {line}")
