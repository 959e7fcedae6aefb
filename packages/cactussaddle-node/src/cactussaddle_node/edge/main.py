"""Entry point of the edge node: reads the settings and runs the daemon."""

from __future__ import annotations

import os
import sys

from pathlib import Path
from typing import TYPE_CHECKING

import trio

from cactussaddle_node.edge.serve import serve
from cactussaddle_node.memory import return_large_buffers
from cactussaddle_platform.settings import SettingsError
from cactussaddle_platform.settings import read_settings

if TYPE_CHECKING:
    import socket

    from cactussaddle_node.signals import SignalInbox

EXIT_BAD_SETTINGS = 2
METRICS_PORT_ENV = "CACTUSSADDLE_METRICS_PORT"
DEFAULT_METRICS_PORT = 9464


def run_on_platform(settings_path: str, callers: socket.socket | None, inbox: SignalInbox) -> None:
    """Run the node until it is asked to stop, and exit; with a message when the settings are invalid.

    `callers` is a socket that already listens for callers, if there is one. `inbox` has the signals
    received so far.
    """
    path = Path(settings_path)
    try:
        cfg = read_settings(path)
        metrics_port = _metrics_port()
    except SettingsError as exc:
        print(f"cactussaddle-node: settings: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    return_large_buffers()
    inbox.record_run()
    trio.run(serve, cfg, path, metrics_port, callers, inbox)
    # The interpreter's finalization takes time, and gives signals back their default actions.
    os._exit(os.EX_OK)


def _metrics_port() -> int:
    text = os.environ.get(METRICS_PORT_ENV, str(DEFAULT_METRICS_PORT))
    if not text.isdigit() or not 0 < int(text) < 65536:
        raise SettingsError(f"{METRICS_PORT_ENV}: {text!r} is not a port from 1 to 65535")
    return int(text)
