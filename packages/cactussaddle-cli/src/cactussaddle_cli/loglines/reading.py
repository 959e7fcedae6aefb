"""Log lines of many nodes from files, compressed files or standard input."""

from __future__ import annotations

import gzip
import sys

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

STDIN = "-"
GZIP_SUFFIX = ".gz"


class Line(NamedTuple):
    """One log line of a node; `time` is in seconds since the epoch."""

    time: float
    node: str
    event: str
    fields: dict[str, Any]


_decoder = msgspec.json.Decoder(dict[str, Any])


def read_lines(paths: Iterable[str]) -> list[Line]:
    """Return all log lines in order of time; other lines are skipped."""
    lines = [line for path in paths for line in _lines_of(path)]
    return sorted(lines, key=_time)


def parse_line(text: str) -> Line | None:
    """Parse a log line; text before its JSON, such as a host name, is skipped."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = _decoder.decode(text[start:])
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None
    time, node, event = (
        fields.pop("time", None),
        fields.pop("node", None),
        fields.pop("event", None),
    )
    if not isinstance(time, (int, float)) or not isinstance(event, str):
        return None
    return Line(float(time), str(node), event, fields)


def _lines_of(path: str) -> Iterator[Line]:
    try:
        if path == STDIN:
            yield from _parsed(sys.stdin)
        elif path.endswith(GZIP_SUFFIX):
            with gzip.open(path, "rt", encoding="utf-8", errors="replace") as file:
                yield from _parsed(file)
        else:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from _parsed(file)
    except OSError as exc:
        line = f"{path}: {exc.strerror or exc}"
        raise CommandError(code=ExitCode.USAGE, lines=(line,)) from exc


def _parsed(texts: Iterable[str]) -> Iterator[Line]:
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line


def _time(line: Line) -> float:
    return line.time
