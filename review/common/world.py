"""A small deployment: stand-ins in this process, nodes as processes of their own."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import tempfile
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from common.http import ClientConnection
from common.http import Reply
from common.leaf import Arrival
from common.leaf import Leaf
from common.store import Store

if TYPE_CHECKING:
    import signal

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, ADMIN_PORT = 8226, 8227, 8224
PEER_PORT, STORE_PORT, LEAF_PORT, METRICS_PORT = 7740, 8229, 9000, 9464
HOST = "shop.example"
# A small deployment of the users' pages: three regions with a zone each, nine machines.
ZONES = {"sierra-quito": "sierra", "costa-gye": "costa", "oriente-tena": "oriente"}
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "expose_share": 0.1,
    "expose_slack": 50,
    "rollback_ms": 5000,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recover_s": 12,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 15000,
}
MEMORY_MB = 300
# Clients reuse connections for up to four fifths of `idle_timeout_ms`.
CLIENT_IDLE_S = 12.0
# Exit status of a script that found the rule broken; Python itself exits with 1 on an error.
BROKEN_STATUS = 10


class CannotRunError(Exception):
    """The case could not be set up."""


class Answer(NamedTuple):
    """What a client got for a request; status 0 if the connection ended without an answer."""

    sent_at: float
    answered_at: float
    request: str
    path: str
    node: str
    status: int
    reply: Reply | None


class Node:
    """One node, a process started with the command of the deploy file."""

    def __init__(self, *, name: str, zone: str, ip: str, seeds: list[str], folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._seeds = seeds
        self.child: subprocess.Popen[bytes] | None = None
        self.peak_mb = 0

    def write_settings(self, store: tuple[str, int], bootstrap: bool) -> None:
        """Write the settings file as the deploy file's template gives it."""
        settings = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen_addrs": {
                "frontend": f"{self.ip}:{FRONT_PORT}",
                "readiness": f"{self.ip}:{READY_PORT}",
                "admin": f"{self.ip}:{ADMIN_PORT}",
            },
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "seeds": self._seeds,
            "bootstrap": bootstrap,
            "limits": {"cpu_share": 0.537, "cpu_speed": 2, "memory_mb": MEMORY_MB, "max_fds": 4100},
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": f"{store[0]}:{store[1]}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CACTUSSADDLE_CONFIG"] = str(self._settings)
        env["CACTUSSADDLE_METRICS_PORT"] = str(METRICS_PORT)
        argv = ["python3", "-S", "-m", "cactussaddle_node"]
        with self._log.open("ab") as log:
            self.child = subprocess.Popen(argv, cwd=ROOT, env=env, stdout=log, stderr=log)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.child is not None:
            if self.child.poll() is None:
                self.child.kill()
            self.child.wait()

    def memory_mb(self) -> int:
        """Return the resident memory of the process, 0 if it does not run."""
        if self.child is None or self.child.poll() is not None:
            return 0
        try:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return 0
        lines = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        memory_mb = int(lines[0].split()[1]) // 1024 if lines else 0
        self.peak_mb = max(self.peak_mb, memory_mb)
        return memory_mb

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class World:
    """Store, leafs, nodes and clients of one case, and the record of what they saw."""

    def __init__(self, *, folder: Path, seed: int, nodes_per_zone: int = 3) -> None:
        self.folder = folder
        self.rng = random.Random(seed)
        self.net = _free_net()
        self.store = Store(self.rng)
        self.store_address = (f"{self.net}.1", STORE_PORT)
        self.arrivals: list[Arrival] = []
        self.answers: list[Answer] = []
        self.leafs: list[Leaf] = []
        self.notes: list[str] = []
        self.began = time.monotonic()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._idle: dict[str, list[ClientConnection]] = {}
        self._requests = 0
        self._version = 0
        self.nodes: list[Node] = []
        for number in range(nodes_per_zone * len(ZONES)):
            zone = list(ZONES)[number % len(ZONES)]
            ip = f"{self.net}.{100 + number}"
            seeds = [f"{self.net}.{100 + other}:{ADMIN_PORT}" for other in range(len(ZONES))]
            node = Node(name=f"front-{number}", zone=zone, ip=ip, seeds=seeds, folder=folder)
            node.write_settings(self.store_address, bootstrap=True)
            self.nodes.append(node)

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append(f"{time.monotonic() - self.began:8.3f} {text}")

    async def add_leaf(self, service: str, zone: str, **options: Any) -> Leaf:
        """Start a leaf of a service in a zone."""
        number = len(self.leafs)
        leaf = Leaf(
            name=f"i-{number:03d}-{service}",
            service=service,
            zone=zone,
            address=(f"{self.net}.2", LEAF_PORT + number),
            store=self.store,
            arrivals=self.arrivals,
            rng=self.rng,
            **options,
        )
        self.leafs.append(leaf)
        await leaf.start()
        return leaf

    def write_config(self, routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> int:
        """Write the next configuration as the operator does; return its version."""
        self._version += 1 + self.rng.randrange(3)
        config = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.note(f"operator: configuration {self._version} acknowledged")
        return self._version

    async def start_nodes(self) -> None:
        """Start the store and all nodes, and wait until the nodes are ready."""
        await self.store.server.listen(*self.store_address)
        self.spawn(self.store.run_leases())
        for node in self.nodes:
            node.start()
        until = time.monotonic() + 12.0
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > until:
                    raise CannotRunError(f"{node.name} is not ready: {node.log_text()[-500:]}")
                await asyncio.sleep(0.1)
        self.note("all nodes are ready")

    async def is_ready(self, node: Node) -> bool:
        """Ask a node for its readiness as the balancer does."""
        connection = ClientConnection(node.ip, READY_PORT)
        try:
            reply = await asyncio.wait_for(
                connection.ask("GET", "/cactussaddle/ready", {"Host": node.ip}, b""), 1.0
            )
        except (TimeoutError, OSError, EOFError):
            return False
        finally:
            connection.close()
        return reply.status == 200

    async def request(self, node: Node, path: str, deadline_s: float = 3.0) -> Answer:
        """Send one request of a client to a node and record its answer."""
        self._requests += 1
        name = f"r{self._requests:06d}"
        connection = self._take_connection(node)
        sent_at = time.monotonic()
        headers = {"Host": HOST, "Request-Id": name, "Deadline-Ms": str(int(deadline_s * 1000.0))}
        reply: Reply | None = None
        try:
            asking = connection.ask("GET", path, headers, b"")
            reply = await asyncio.wait_for(asking, deadline_s + 1.0)
        except (TimeoutError, OSError, EOFError):
            connection.close()
        else:
            if connection.closing:
                connection.close()
            else:
                connection.idle_since = time.monotonic()
                self._idle.setdefault(node.name, []).append(connection)
        status = reply.status if reply is not None else 0
        answer = Answer(sent_at, time.monotonic(), name, path, node.name, status, reply)
        self.answers.append(answer)
        return answer

    def _take_connection(self, node: Node) -> ClientConnection:
        """Return an idle connection that may be used again, or a new one."""
        idle = self._idle.setdefault(node.name, [])
        while idle:
            connection = idle.pop()
            idle_s = time.monotonic() - connection.idle_since
            if connection.usable and idle_s < CLIENT_IDLE_S:
                return connection
            connection.close()
        return ClientConnection(node.ip, FRONT_PORT)

    async def load(self, path: str, per_s: float, for_s: float, deadline_s: float = 3.0) -> None:
        """Send requests at a steady rate to the nodes in turn."""
        started = time.monotonic()
        for number in range(int(per_s * for_s)):
            due = started + number / per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            node = self.nodes[number % len(self.nodes)]
            self.spawn(self.request(node, path, deadline_s))

    def close(self) -> None:
        """End the nodes and the stand-ins."""
        for task in list(self._tasks):
            task.cancel()
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        for node in self.nodes:
            node.end()
        self.store.server.close()
        for leaf in self.leafs:
            leaf.server.close()

    def write_record(self, path: Path) -> None:
        """Write what was sent, answered and run."""
        lines = list(self.notes)
        for answer in self.answers:
            lines.append(
                f"{answer.sent_at - self.began:8.3f} sent {answer.request} {answer.path} to"
                f" {answer.node}: status {answer.status}"
                f" at {answer.answered_at - self.began:.3f}"
            )
        for arrival in self.arrivals:
            what = "ran" if arrival.ran else "rejected"
            lines.append(
                f"{arrival.at - self.began:8.3f} {what} {arrival.request} at {arrival.leaf}"
                f" of {arrival.service} from {arrival.node}"
            )
        for at, peer, call in self.store.lost_calls:
            lines.append(f"{at - self.began:8.3f} store: answer to {call} of {peer} lost")
        path.write_text("\n".join(sorted(lines)) + "\n")


def _free_net() -> str:
    """Return the first three numbers of loopback addresses that nobody uses at present."""
    rng = random.SystemRandom()
    for _ in range(50):
        net = f"127.{rng.randrange(30, 250)}.{rng.randrange(1, 250)}"
        try:
            for host, port in ((f"{net}.1", STORE_PORT), (f"{net}.100", FRONT_PORT)):
                with socket.socket() as sock:
                    sock.bind((host, port))
        except OSError:
            continue
        return net
    raise CannotRunError("no free loopback addresses")


def run_case(case: Any, folder: Path) -> int:
    """Run a case; return `BROKEN_STATUS` if it found the rule broken, 0 if not, 2 if it could not run.

    `case(world, trouble)` is a coroutine function that returns the breaches, as texts.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "1"))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            return asyncio.run(_run(case, Path(temporary), folder, seed, trouble))
        except (CannotRunError, OSError) as exc:
            print(f"cannot run: {exc}")
            return 2


async def _run(case: Any, temporary: Path, folder: Path, seed: int, trouble: bool) -> int:
    world = World(folder=temporary, seed=seed)
    try:
        breaches = await case(world, trouble)
    finally:
        world.close()
    for breach in breaches:
        world.note(f"BROKEN: {breach}")
        print(breach)
    if not breaches:
        print("the rule held")
    keep = os.environ.get("KEEP_LOGS")
    if keep:
        for node in world.nodes:
            (Path(keep) / f"{node.name}.log").write_text(node.log_text())
    world.write_record(folder / "record.txt")
    return BROKEN_STATUS if breaches else 0
