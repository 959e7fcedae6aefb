"""A measuring server as a child process."""

from __future__ import annotations

import contextlib
import subprocess
import sys

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def child_server(module: str, *args: str) -> Iterator[int]:
    """Run `python -m module`, yield the port that it prints, and end it by closing its input."""
    proc = subprocess.Popen(
        [sys.executable, "-m", module, *args], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert proc.stdout is not None
    try:
        yield int(proc.stdout.readline())
    finally:
        assert proc.stdin is not None
        proc.stdin.close()
        proc.wait(timeout=5)
        proc.stdout.close()
