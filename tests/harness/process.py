"""One child process with its log, ended by its id alone."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parent.parent.parent
SOURCES = (
    *(f"packages/cactussaddle-{name}/src" for name in ("core", "common", "node", "cli")),
    "platform/src",
)
POLL_S = 0.02
STOP_S = 5.0
START_S = 15.0


def wait_for(condition: Callable[[], object], bound_s: float, what: str) -> None:
    """Wait until the condition is true; raise `AssertionError` naming it after `bound_s`."""
    end = time.monotonic() + bound_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"not within {bound_s} s: {what}")
        time.sleep(POLL_S)


def environment() -> dict[str, str]:
    """Return the environment of a child, whose modules come from this tree."""
    sources = [str(ROOT / source) for source in SOURCES]
    return os.environ | {"PYTHONPATH": os.pathsep.join([str(ROOT), *sources])}


class Process:
    """A Python module run as a child; standard output and error go to its log."""

    def __init__(self, *, name: str, module: str, args: list[str], log: Path):
        self.name = name
        self.argv = [sys.executable, "-m", module, *args]
        self.log = log
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(
                self.argv, cwd=ROOT, env=environment(), stdout=log, stderr=subprocess.STDOUT
            )

    def wait_ready(self) -> None:
        """Wait for the line that a stand-in prints when all its listeners are open."""
        wait_for(self.is_ready, START_S, f"{self.name} ready")

    def is_ready(self) -> bool:
        if not self.is_running():
            raise AssertionError(f"{self.name} ended at its start:\n{self.text()}")
        return '{"ready": true}' in self.text()

    def text(self) -> str:
        return self.log.read_text(errors="replace") if self.log.exists() else ""

    def is_running(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def freeze(self) -> None:
        self.send(signal.SIGSTOP)

    def wake(self) -> None:
        self.send(signal.SIGCONT)

    def stop(self) -> None:
        """Ask for a graceful shutdown without waiting for it."""
        self.send(signal.SIGTERM)

    def end(self) -> None:
        """Make sure that the child is gone."""
        if self.child is None:
            return
        self.wake()
        self.stop()
        try:
            self.child.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.kill()
