"""Entry point of `python -m cactussaddle_node`."""

from __future__ import annotations

from cactussaddle_node.main import run

run()
