"""The nodes under test: real processes, ended and signalled by their own ids alone."""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio

from tests.harness.process import ROOT
from tests.harness.process import environment

if TYPE_CHECKING:
    from pathlib import Path

CALLER_PORT = 8226
READY_PORT = 8227
PEER_PORT = 7740
GARBAGE = (
    b"/records?after=%ff&age=1&wait=0.5&era=0",
    b"/records?after=1&age=-1&wait=-1&era=-1",
    b"/query?%ff",
    b"/records?after=" + b"9" * 5000,
)
NOT_TAKEN = (OSError, trio.BrokenResourceError, trio.TooSlowError)
METRICS_PORT = 9464
GRACE_S = 4.0
# Bounds in seconds hold for a node on which no fault was for this long.
STEADY_S = 4.0
REGIONS = {"north": "upper", "south": "lower", "west": "lower"}


class NodeProcess:
    """One node on an address of its own.

    With `cores` its settings say that hosts are short and how strong its own is. `steady_since` is when the last fault on it or on its access to the store ended, or will end;
    `starts` counts the starts of its process.
    """

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        domain: str,
        store: tuple[str, int],
        folder: Path,
        cores: float | None = None,
    ) -> None:
        self.name = name
        self.ip = ip
        self.domain = domain
        self.store = store
        self.cores = cores
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.json"
        self.child: subprocess.Popen[bytes] | None = None
        self.ended_by_us = True
        self.paused = False
        self.stopping_since: float | None = None
        self.steady_since = 0.0
        self.starts = 0
        self.write_settings()

    def write_settings(self, **changes: Any) -> None:
        bounds = {
            "grace_s": GRACE_S,
            "drain_ms": 3000,
            "config_apply_ms": 3000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 40,
            **changes,
        }
        settings = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.domain,
            "zones": REGIONS,
            "listen_addrs": {
                "frontend": f"{self.ip}:{CALLER_PORT}",
                "readiness": f"{self.ip}:{READY_PORT}",
            },
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "bounds": bounds,
            "platform": {"address": f"{self.store[0]}:{self.store[1]}"},
        }
        if self.cores is not None:
            settings["policies"] = ["pressure"]
            settings["limits"] = {"cpu_share": self.cores}
        self.settings.write_bytes(msgspec.json.encode(settings))

    def start(self) -> None:
        env = environment() | {
            "CACTUSSADDLE_CONFIG": str(self.settings),
            "CACTUSSADDLE_METRICS_PORT": str(METRICS_PORT),
        }
        argv = [sys.executable, "-m", "cactussaddle_node"]
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(argv, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.ended_by_us = False
        self.paused = False
        self.stopping_since = None
        self.starts += 1

    def disturb(self, until: float) -> None:
        """Note a fault that lasts until a time."""
        self.steady_since = max(self.steady_since, until)

    def in_touch(self, at: float) -> bool:
        """Return whether no fault was on the node for long enough before a time, nor since."""
        is_up = self.is_running() and self.stopping_since is None
        return is_up and self.steady_since <= at - STEADY_S

    def is_running(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the child, if it still runs."""
        if not self.is_running():
            return
        assert self.child is not None
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.ended_by_us = True
        if number is signal.SIGSTOP:
            self.paused = True
        if number is signal.SIGCONT:
            self.paused = False
        self.child.send_signal(number)

    async def send_garbage(self) -> None:
        """Send messages that no node sends to the port for other nodes, the second behind a sound one."""
        for target in GARBAGE:
            with contextlib.suppress(*NOT_TAKEN), trio.fail_after(1.0):
                async with await trio.open_tcp_stream(self.ip, PEER_PORT) as stream:
                    first = b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n"
                    await stream.send_all(first + b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % target)
                    await stream.receive_some()

    def end(self) -> None:
        """Make sure that the child is gone."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def ended_by_itself(self) -> bool:
        return self.child is not None and not self.is_running() and not self.ended_by_us

    def faults_logged(self) -> list[str]:
        """Return the log lines that tell of a broken promise or a fault of the program."""
        if not self.log.exists():
            return []
        text = self.log.read_text(errors="replace")
        words = ('"event":"breach"', '"event":"unexpected_error"', "Traceback")
        return [line[:400] for line in text.splitlines() if any(word in line for word in words)]
