"""`cactussaddle cancel`: take back a move that is not final yet.

The verdict is created first, so that a move can't be done and taken back; then the move leaves the
plan. Given again after a break, the command goes on where it stopped.
"""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

import trio

from returns.result import Failure

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.output import print_result
from cactussaddle_cli.output import time_text
from cactussaddle_cli.plandata import fail_write
from cactussaddle_cli.plandata import new_change_id
from cactussaddle_cli.plandata import read_plan
from cactussaddle_common.configstore import Accepted
from cactussaddle_common.configstore import create_verdict
from cactussaddle_common.configstore import write_config
from cactussaddle_core.config.change import without_move
from cactussaddle_core.config.check import check_doc
from cactussaddle_core.config.model import MoveState
from cactussaddle_core.config.verdict import row_text

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.context import Context
    from cactussaddle_cli.plandata import PlanData
    from cactussaddle_common.storeapi import Store
    from cactussaddle_core.config.model import Move
    from cactussaddle_core.config.verdict import Verdict

WRITE_ROUNDS = 5
WRITER = "cactussaddle cancel"
DEFAULT_REASON = "cancelled by an operator"


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("cancel", help="take back a move that is not final yet")
    parser.add_argument("move", metavar="MOVE", help="id of the move, as 'plan' shows it")
    parser.add_argument("--reason", default=DEFAULT_REASON, help="reason for the report")
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    return trio.run(cancel, make_context(args), args.move, args.reason)


async def cancel(ctx: Context, move_id: str, reason: str) -> int:
    """Create the verdict, then take the move out of the plan."""
    change_id = new_change_id()
    async with ctx.open_store() as store:
        data = await read_plan(store)
        move = find_move(data, move_id)
        refuse_if_needed(data, move_id)
        verdict = data.verdicts.get(move_id) or await decide(store, move, reason, change_id)
        refuse_if_done(move_id, verdict)
        revision = await take_out(ctx, store, data, move_id, change_id)
    value = {
        "outcome": "taken back",
        "move": move_id,
        "at": verdict["at"],
        "reason": verdict["reason"],
        "revision": revision,
        "change_id": change_id,
    }
    when = time_text(verdict["at"])
    line = f"{move_id}: taken back at {when}, out of the plan with revision {revision}"
    print_result(ctx.json, value, [line])
    return ExitCode.OK


def find_move(data: PlanData, move_id: str) -> Move:
    """Return the move; end the command when the plan has none of that id."""
    for move in data.stored.doc["moves"]:
        if move["id"] == move_id:
            return move
    if move_id in data.verdicts:
        verdict = data.verdicts[move_id]
        line = f"{move_id} is {verdict['state']} already: {verdict['reason']}"
    else:
        line = f"no move {move_id!r} in the plan"
    raise CommandError(code=ExitCode.REFUSED, lines=(line,))


def refuse_if_needed(data: PlanData, move_id: str) -> None:
    """End the command when the rest of the plan does not hold without the move."""
    doc = data.stored.doc
    rest = without_move(doc, "", move_id)
    faults = check_doc(rest, time.time(), doc, data.verdicts)
    if faults:
        lines = tuple(f"without it, {fault}" for fault in faults)
        raise CommandError(code=ExitCode.REFUSED, lines=(*lines, "nothing was written"))


def refuse_if_done(move_id: str, verdict: Verdict) -> None:
    """End the command when the move is done."""
    if verdict["state"] == MoveState.DONE:
        line = f"{move_id} is done since {time_text(verdict['at'])} and can't be taken back"
        raise CommandError(code=ExitCode.REFUSED, lines=(line, "nothing was written"))


async def decide(store: Store, move: Move, reason: str, change_id: str) -> Verdict:
    """Create the verdict; return the one that stands."""
    verdict: Verdict = {
        "state": MoveState.TAKEN_BACK,
        "at": time.time(),
        "reason": reason,
        "node": f"{WRITER} {change_id}",
        "row": row_text(move),
    }
    created = await create_verdict(store, move["id"], verdict)
    if isinstance(created, Failure):
        fail_write(created.failure(), change_id)
    return created.unwrap()


async def take_out(ctx: Context, store: Store, data: PlanData, move_id: str, change_id: str) -> int:
    """Write the plan without the move, again after each lost race; return the revision."""
    so_far = f"{move_id} is taken back, and still in the plan; give the command again"
    for _ in range(WRITE_ROUNDS):
        doc = without_move(data.stored.doc, change_id, move_id)
        written = await write_config(store, doc, data.stored, ctx.history_bytes)
        if isinstance(written, Failure):
            fail_write(written.failure(), change_id, (so_far,))
        if isinstance(written.unwrap(), Accepted):
            return doc["revision"]
        data = await read_plan(store)
        if move_id not in {move["id"] for move in data.stored.doc["moves"]}:
            return data.stored.doc["revision"]
    line = f"{WRITE_ROUNDS} other changes came first"
    raise CommandError(code=ExitCode.LOST_RACE, lines=(so_far, line))
