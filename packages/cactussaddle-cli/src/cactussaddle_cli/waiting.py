"""Waiting until a revision is in force on every node."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_cli.nodes import NodeState
from cactussaddle_cli.nodes import fetch_states

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactussaddle_cli.context import Context

IN_FORCE_S = 7.0
POLL_S = 0.1


class WaitOutcome(NamedTuple):
    """How long it took, in seconds, and the nodes where the revision is not in force."""

    seconds: float
    nodes: int
    missing: tuple[NodeState, ...]


async def wait_in_force(ctx: Context, urls: Sequence[str], revision: int) -> WaitOutcome:
    """Poll the nodes until each has the revision or a later one, for `IN_FORCE_S` at most."""
    started = trio.current_time()
    missing = {url: NodeState(url, "", 0, "", "no answer") for url in urls}
    with trio.move_on_after(IN_FORCE_S):
        while True:
            for state in await fetch_states(ctx, list(missing)):
                missing[state.url] = state
                if not state.error and state.revision >= revision:
                    del missing[state.url]
            if not missing:
                break
            await trio.sleep(POLL_S)
    return WaitOutcome(trio.current_time() - started, len(urls), tuple(missing.values()))
