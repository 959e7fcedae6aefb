"""Asking the nodes what they know of the plan while the store is out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.nodeplan import merge_dumps
from cactussaddle_cli.nodes import fetch_dumps
from cactussaddle_cli.nodes import node_urls
from cactussaddle_cli.output import time_text

if TYPE_CHECKING:
    from cactussaddle_cli.context import Context
    from cactussaddle_cli.nodeplan import NodePlan

NO_NODES = "no node asked: name them with --node or set --host-list"


async def read_nodes(
    ctx: Context, given: list[str], outage: CommandError
) -> tuple[NodePlan, tuple[str, ...]]:
    """Return the plan as the nodes know it, and a line for each node that did not answer.

    When none answers the command ends with the outage's exit code and all that was tried.
    """
    try:
        urls = await node_urls(ctx, given)
    except CommandError as exc:
        raise CommandError(code=outage.code, lines=(*outage.lines, *exc.lines)) from exc
    dumps = await fetch_dumps(ctx, urls)
    missing = tuple(
        f"{url} can't be reached: {dump.failure()}"
        for url, dump in dumps.items()
        if isinstance(dump, Failure)
    )
    plan = merge_dumps(dump.unwrap() for dump in dumps.values() if not isinstance(dump, Failure))
    if plan is None:
        tried = missing if urls else (NO_NODES,)
        raise CommandError(code=outage.code, lines=(*outage.lines, *tried))
    return plan, missing


def as_of_text(plan: NodePlan) -> str:
    """Say as of when the nodes' word is, and of which revision."""
    first, last = (time_text(wall) for wall in plan.as_of)
    when = first if first == last else f"{first} to {last}"
    return f"as of {when}, revision {plan.revision} on {plan.holding} of them"
