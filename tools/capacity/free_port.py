"""A port that was free a moment ago."""

from __future__ import annotations

import socket


def free_port() -> int:
    """Return a free port of 127.0.0.1."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])
