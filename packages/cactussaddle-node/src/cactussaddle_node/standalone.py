"""Runs the node standalone, configured by its own flags and environment variables."""

from __future__ import annotations

import os
import sys

import trio_asyncio

from cactussaddle_common import logs
from cactussaddle_common.settings import parse
from cactussaddle_node.daemon import serve
from cactussaddle_node.settings import SETTINGS
from cactussaddle_node.settings import node_settings


def run_standalone() -> None:
    """Run the daemon until it is asked to stop."""
    values = parse(
        "cactussaddle-node",
        "Serves callers on one entry host: fans queries out to leaves and merges their answers.",
        SETTINGS,
        sys.argv[1:],
        os.environ,
    )
    cfg = node_settings(values)
    logs.setup(cfg.node_name, cfg.log_level)
    trio_asyncio.run(serve, cfg)
