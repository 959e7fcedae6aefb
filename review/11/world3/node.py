"""The nodes: the project's own program as a process, with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from world3.http import GONE
from world3.http import encode_request
from world3.http import read_response

if TYPE_CHECKING:
    import signal

ROOT = Path(__file__).resolve().parents[3]
COMMAND = ("python3", "-S", "-m", "cactussaddle_node")
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
ZONES = {"limerick": "shannon", "dublin": "liffey", "waterford": "suir"}
READY_S = 15.0
POLICIES = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "scatter",
    "places",
    "rollout",
    "platform",
]
BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 4000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 4000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 15000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "expose_share": 0.1,
    "expose_slack": 50,
    "rollback_ms": 5000,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recover_s": 12,
}


class Node:
    """One node on an address of its own."""

    def __init__(self, *, name: str, host: str, zone: str, store: str, folder: Path) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.port, self.ready_port, self.metrics_port, *self._peer_ports = free_ports(host)
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.json"
        self._store = store
        self._child: subprocess.Popen[bytes] | None = None
        self._settings.write_text(json.dumps(self._fields()))

    def start(self) -> None:
        """Start the process."""
        env = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CACTUSSADDLE_CONFIG"] = str(self._settings)
        env["CACTUSSADDLE_METRICS_PORT"] = str(self.metrics_port)
        with self.log.open("ab") as log:
            self._child = subprocess.Popen(COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it still runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.kill()
            self._child.wait()

    def status(self) -> int | None:
        """Return the exit status of the process; None while it runs."""
        return self._child.poll() if self._child is not None else None

    async def wait_ready(self) -> None:
        """Wait until the node is ready for callers; raises `TimeoutError` if it never is."""
        async with asyncio.timeout(READY_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        try:
            head = {"Host": self.host, "Connection": "close"}
            writer.write(encode_request("GET", "/cactussaddle/ready", head))
            status, _, _ = await read_response(reader)
        except GONE:
            return False
        finally:
            writer.close()
        return status == 200

    def _fields(self) -> dict[str, Any]:
        return {
            "node_name": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.host,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen_addrs": {
                "frontend": f"{self.host}:{self.port}",
                "readiness": f"{self.host}:{self.ready_port}",
            },
            "internal_ports": [self._peer_ports[0], self._peer_ports[1]],
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_speed": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "policies": POLICIES,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 1},
            "bounds": BOUNDS,
            "platform": {
                "address": self._store,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }


def free_ports(host: str) -> list[int]:
    """Return free ports: for callers, readiness and metrics, and a range of 16 between nodes."""
    socks = [_bind(host, 0) for _ in range(3)]
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    first = _free_range(host, set(ports))
    return [*ports, first, first + 15]


def _free_range(host: str, taken: set[int]) -> int:
    for first in range(21_000, 60_000, 16):
        if taken.isdisjoint(range(first, first + 16)) and _is_free(host, first):
            return first
    raise OSError("no range of ports is free")


def _is_free(host: str, first: int) -> bool:
    try:
        for port in (first, first + 1):
            _bind(host, port).close()
    except OSError:
        return False
    return True


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket()
    sock.bind((host, port))
    return sock
