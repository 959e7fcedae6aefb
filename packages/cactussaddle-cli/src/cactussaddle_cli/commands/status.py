"""`cactussaddle status`: the accepted configuration, and what is in force on the nodes."""

from __future__ import annotations

import time

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import trio

from returns.result import Success

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.nodeplan import merge_dumps
from cactussaddle_cli.nodes import add_nodes
from cactussaddle_cli.nodes import fetch_dumps
from cactussaddle_cli.nodes import node_urls
from cactussaddle_cli.nodes import read_state
from cactussaddle_cli.outage import as_of_text
from cactussaddle_cli.output import print_json
from cactussaddle_cli.output import print_table
from cactussaddle_cli.plandata import read_plan
from cactussaddle_core.config.verdict import move_status

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.context import Context
    from cactussaddle_cli.nodeplan import NodePlan
    from cactussaddle_cli.nodes import NodeState
    from cactussaddle_cli.plandata import PlanData


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser(
        "status", help="say which configuration is accepted, and which is in force on the nodes"
    )
    add_nodes(parser)
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    return trio.run(status, make_context(args), args.node)


async def read_accepted(ctx: Context) -> tuple[dict[str, Any], ExitCode]:
    """Return what the store holds, or why that can't be said."""
    try:
        async with ctx.open_store() as store:
            return summary(await read_plan(store), time.time()), ExitCode.OK
    except CommandError as exc:
        return {"error": "; ".join(exc.lines)}, exc.code


def summary(data: PlanData, wall: float) -> dict[str, Any]:
    """Return the counts of the accepted configuration."""
    doc = data.stored.doc
    states = Counter(
        str(move_status(move, data.verdicts.get(move["id"]), wall).state) for move in doc["moves"]
    )
    return {
        "revision": doc["revision"],
        "change_id": doc["change_id"],
        "domains": len(doc["domains"]),
        "services": len(doc["services"]),
        "leaves": len(doc["leaves"]),
        "routes": len(doc["routes"]),
        "moves": dict(states),
    }


def node_summary(plan: NodePlan) -> dict[str, Any]:
    """Return the counts of the plan as the nodes know it."""
    states = Counter(str(row.state) for row in plan.rows)
    return {"as_of": plan.as_of, "revision": plan.revision, "moves": dict(states)}


async def status(ctx: Context, given: list[str]) -> int:
    """Print the status."""
    accepted, code = await read_accepted(ctx)
    dumps = await fetch_dumps(ctx, await node_urls(ctx, given))
    states = [read_state(url, dump) for url, dump in dumps.items()]
    known = merge_dumps(dump.unwrap() for dump in dumps.values() if isinstance(dump, Success))
    if code is ExitCode.OK and any(state.error for state in states):
        code = ExitCode.NODE_UNREACHABLE
    from_nodes = node_summary(known) if known is not None and code is not ExitCode.OK else {}
    at_risk = known.at_risk if known is not None else {}
    if ctx.json:
        nodes = [state._asdict() for state in states]
        value = {"accepted": accepted, "from_nodes": from_nodes, "at_risk": at_risk}
        print_json({**value, "nodes": nodes})
        return code
    print_table(("accepted", ""), [(name, str(value)) for name, value in accepted.items()])
    print()
    if known is not None and from_nodes:
        print(f"from the nodes, {as_of_text(known)}; moves: {from_nodes['moves']}")
    for name, risk in at_risk.items():
        print(f"{name} is {risk}")
    print_nodes(states)
    return code


def print_nodes(states: list[NodeState]) -> None:
    """Print the table of nodes, or how to name some."""
    if not states:
        print("no node asked: name them with --node or set --host-list")
        return
    rows = [
        (state.node, state.url, state.error or state.revision, state.change_id) for state in states
    ]
    print_table(("node", "URL", "revision in force", "change"), rows)
