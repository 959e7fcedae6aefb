"""`cactussaddle init`: write the first configuration, or replace all but the moves."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio

from returns.result import Failure

from cactussaddle_cli.context import add_common
from cactussaddle_cli.context import make_context
from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.output import print_result
from cactussaddle_cli.plandata import fail_lost
from cactussaddle_cli.plandata import fail_write
from cactussaddle_cli.plandata import new_change_id
from cactussaddle_cli.plandata import read_or_fail
from cactussaddle_cli.sheetfile import read_file
from cactussaddle_common.configstore import LostRace
from cactussaddle_common.configstore import read_config
from cactussaddle_common.configstore import read_verdicts
from cactussaddle_common.configstore import write_config
from cactussaddle_core.config.change import diff_docs
from cactussaddle_core.config.check import check_doc
from cactussaddle_core.config.model import decode_doc
from cactussaddle_core.exceptions import ConfigError

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.context import Context
    from cactussaddle_common.configstore import StoredConfig
    from cactussaddle_core.config.model import ConfigDoc

PARTS = ("domains", "services", "leaves", "routes")


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser(
        "init", help="write the first configuration from a JSON file, or replace it"
    )
    parser.add_argument("file", metavar="FILE", help="JSON with domains, services, leaves, routes")
    parser.add_argument(
        "--replace",
        action="store_true",
        help="replace domains, services, leaves and routes, in a file made from 'plan --json' of the"
        " revision in force; the moves stay",
    )
    add_common(parser)
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    ctx = make_context(args)
    return trio.run(init, ctx, read_parts(args.file), args.replace)


def read_parts(path: str) -> ConfigDoc:
    """Read the file as a document without moves; end the command when it is malformed.

    Its revision, if it has one, is that of the document it was made from.
    """
    try:
        parts = msgspec.json.decode(read_file(path), type=dict[str, Any])
        unknown = sorted(set(parts) - {*PARTS, "revision", "change_id", "moves"})
        if unknown:
            raise ConfigError(f"unknown key {unknown[0]!r}; allowed: {', '.join(PARTS)}")
        filled = {"revision": 0, **parts, "change_id": "", "moves": []}
        return decode_doc(msgspec.json.encode(filled))
    except (ConfigError, msgspec.MsgspecError) as exc:
        raise CommandError(code=ExitCode.REFUSED, lines=(f"{path}: {exc}",)) from exc


async def init(ctx: Context, parts: ConfigDoc, replace: bool) -> int:
    """Write the configuration if there is none, or replace it."""
    async with ctx.open_store() as store:
        stored = read_or_fail(await read_config(store))
        verdicts = read_or_fail(await read_verdicts(store))
        doc = next_parts(parts, stored)
        if stored is not None and not diff_docs(stored.doc, doc):
            line = f"revision {stored.doc['revision']} says the same; nothing was written"
            value = {"outcome": "unchanged", "revision": stored.doc["revision"]}
            print_result(ctx.json, value, [line])
            return ExitCode.OK
        if stored is not None:
            refuse_replacement(parts["revision"], stored.doc["revision"], replace)
        faults = check_doc(doc, time.time(), stored.doc if stored else None, verdicts)
        if faults:
            lines = (*(str(fault) for fault in faults), "nothing was written")
            raise CommandError(code=ExitCode.REFUSED, lines=lines)
        written = await write_config(store, doc, stored, ctx.history_bytes)
    if isinstance(written, Failure):
        fail_write(written.failure(), doc["change_id"])
    outcome = written.unwrap()
    if isinstance(outcome, LostRace):
        fail_lost(outcome, stored.doc if stored else next_parts({**parts, **EMPTY_PARTS}, None))
    line = f"accepted as revision {doc['revision']}, change {doc['change_id']}"
    value = {"outcome": "accepted", "revision": doc["revision"], "change_id": doc["change_id"]}
    print_result(ctx.json, value, [line])
    return ExitCode.OK


def refuse_replacement(made_from: int, revision: int, replace: bool) -> None:
    """End the command unless a replacement was asked for, and made from the revision in force."""
    if not replace:
        line = f"there is a configuration, revision {revision}; see --replace"
        raise CommandError(code=ExitCode.REFUSED, lines=(line, "nothing was written"))
    if made_from != revision:
        came = f"made from revision {made_from}" if made_from else "without a revision"
        line = (
            f"the file is {came}, in force is {revision}: take it from 'cactussaddle plan --json'"
        )
        raise CommandError(code=ExitCode.LOST_RACE, lines=(line, "nothing was written"))


EMPTY_PARTS: Any = {part: [] for part in PARTS}


def next_parts(parts: ConfigDoc, stored: StoredConfig | None) -> ConfigDoc:
    """Return the document to write, with the moves that are in the plan."""
    return {
        **parts,
        "revision": stored.doc["revision"] + 1 if stored else 1,
        "change_id": new_change_id(),
        "moves": stored.doc["moves"] if stored else [],
    }
