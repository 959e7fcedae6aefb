"""What the process does before the program is loaded.

Loading takes a good part of a second on a small host. Callers that connect meanwhile wait in the
kernel's queue and are served as soon as the node is, instead of being turned away. Signals that come
meanwhile wait as well; by default they would end the process.
"""

from __future__ import annotations

import signal
import socket

from cactussaddle_platform.early import callers_address

BACKLOG = 512


SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals() -> None:
    """Have the kernel keep the signals that the node handles until they are released."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def release_signals() -> None:
    """Take the signals that were held, and further ones as they come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)


def listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens without blocking."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def listen_early(settings_path: str) -> socket.socket | None:
    """Listen for callers; None when the address can't be read this early."""
    address = callers_address(settings_path)
    return listen(*address) if address is not None else None
