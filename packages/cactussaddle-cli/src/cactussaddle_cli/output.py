"""Output of the commands: tables for people, JSON on request."""

from __future__ import annotations

import datetime
import sys

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from tabulate import tabulate

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactussaddle_cli.exceptions import CommandError


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print a table."""
    print(tabulate(rows, headers=headers, disable_numparse=True))


def print_result(as_json: bool, value: dict[str, Any], lines: Sequence[str]) -> None:
    """Print an outcome as JSON or as lines for people."""
    if as_json:
        print_json(value)
        return
    for line in lines:
        print(line)


def print_error(as_json: bool, exc: CommandError) -> None:
    """Print why a command ended: lines on stderr, or JSON on stdout."""
    if as_json:
        print_json({"outcome": exc.code.name.lower(), "errors": exc.lines})
        return
    for line in exc.lines:
        print(f"cactussaddle: {line}", file=sys.stderr)


def time_text(seconds: float) -> str:
    """Return seconds since the epoch as a local time with its offset."""
    when = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC).astimezone()
    return when.isoformat(sep=" ", timespec="seconds")
