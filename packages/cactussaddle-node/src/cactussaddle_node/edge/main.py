"""The node on the users' platform, by the settings file there."""

from __future__ import annotations

import os
import sys

from pathlib import Path

import trio

from cactussaddle_node.edge.daemon import serve
from cactussaddle_platform.settings import SETTINGS_ENV
from cactussaddle_platform.settings import SettingsError
from cactussaddle_platform.settings import read_settings

EXIT_BAD_SETTINGS = 2


def run_on_platform() -> None:
    """Run the node until it is asked to stop; bad settings end it with a message."""
    try:
        cfg = read_settings(Path(os.environ[SETTINGS_ENV]))
    except SettingsError as exc:
        print(f"cactussaddle-node: settings: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    trio.run(serve, cfg)
