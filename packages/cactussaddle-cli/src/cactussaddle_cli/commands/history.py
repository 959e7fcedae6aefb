"""`cactussaddle history`: the latest changes of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import trio

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.output import print_json
from cactussaddle_cli.output import print_table
from cactussaddle_cli.plandata import read_or_fail
from cactussaddle_cli.plandata import read_stored
from cactussaddle_common.configstore import read_revision
from cactussaddle_core.config.change import diff_docs

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.context import Context
    from cactussaddle_common.history import HistoryIndex
    from cactussaddle_common.storeapi import Store
    from cactussaddle_core.config.model import ConfigDoc

DEFAULT_LIMIT = 10
HEADERS = ("revision", "change", "what changed")


class HistoryRow(NamedTuple):
    """One accepted revision; `changes` is None when the one before is no longer kept."""

    revision: int
    change_id: str
    changes: tuple[str, ...] | None


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("history", help="list the latest changes, newest first")
    parser.add_argument(
        "--limit", type=int, default=DEFAULT_LIMIT, metavar="N", help="how many [%(default)s]"
    )
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    return trio.run(history, make_context(args), max(args.limit, 1))


async def read_history(store: Store, newest: ConfigDoc, limit: int) -> list[HistoryRow]:
    """Return the latest revisions, newest first."""
    rows: list[HistoryRow] = []
    current: ConfigDoc | None = newest
    while current is not None and len(rows) < limit:
        revision = current["revision"]
        before = None
        if revision > 1:
            before = read_or_fail(await read_revision(store, revision - 1))
        changes = None
        if before is not None:
            changes = tuple(str(difference) for difference in diff_docs(before, current))
        elif revision == 1:
            changes = ("the first configuration",)
        rows.append(HistoryRow(revision, current["change_id"], changes))
        current = before
    return rows


async def history(ctx: Context, limit: int) -> int:
    """Print the history."""
    async with ctx.open_store() as store:
        stored = await read_stored(store)
        rows = await read_history(store, stored.doc, limit)
    index = stored.kept
    if ctx.json:
        kept = kept_value(index, ctx.history_bytes) if index else None
        print_json({"kept": kept, "changes": [row._asdict() for row in rows]})
        return ExitCode.OK
    not_kept = ("the revision before is not kept",)
    shown = [
        (row.revision, row.change_id, "\n".join(not_kept if row.changes is None else row.changes))
        for row in rows
    ]
    print_table(HEADERS, shown)
    if index is not None:
        kept = kept_value(index, ctx.history_bytes)
        print("kept: revisions {first} to {last}, {bytes:,} of {most:,} bytes".format(**kept))
    return ExitCode.OK


def kept_value(index: HistoryIndex, most: int) -> dict[str, int]:
    """Return which revisions are kept, their bytes, and the most bytes to be kept."""
    sizes = index["sizes"]
    last = index["first"] + len(sizes) - 1
    return {"first": index["first"], "last": last, "bytes": sum(sizes), "most": most}
