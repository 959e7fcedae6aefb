"""Start-up steps that run before the rest of the program is imported.

Importing takes a large part of a second on a small host. Callers that connect in that time wait in
the kernel's accept queue until the node is ready, instead of being refused.
"""

from __future__ import annotations

import socket

from cactussaddle_platform.startup import read_callers_address

BACKLOG = 512


def listen(host: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def listen_for_callers(settings_path: str) -> socket.socket | None:
    """Listen for callers; None if the address cannot be read without loading further libraries."""
    address = read_callers_address(settings_path)
    return listen(*address) if address is not None else None
