"""`cactussaddle explain`: what became of one request, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_cli.loglines.cause import likely_cause
from cactussaddle_cli.loglines.reading import STDIN
from cactussaddle_cli.loglines.reading import read_lines
from cactussaddle_cli.loglines.story import REQUEST_EVENTS
from cactussaddle_cli.loglines.story import calls_of
from cactussaddle_cli.loglines.story import find_story
from cactussaddle_cli.output import print_json

if TYPE_CHECKING:
    import argparse

    from cactussaddle_cli.loglines.reading import Line
    from cactussaddle_cli.loglines.story import Story


def add_parser(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("explain", help="tell from nodes' logs what became of a request")
    parser.add_argument("request", metavar="REQUEST_ID", help="the id that the caller sent")
    parser.add_argument(
        "files", metavar="FILE", nargs="*", default=[STDIN], help="log files, .gz too; - is stdin"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(handler=handle)


def handle(args: argparse.Namespace) -> int:
    """Run the command."""
    story = find_story(read_lines(args.files), args.request)
    if story is None:
        text = (
            f"no line names request {args.request}: it went well and its line was left out, or it"
            " reached none of these nodes"
        )
        raise CommandError(code=ExitCode.REFUSED, lines=(text,))
    if args.json:
        print_json({"request": story.request, "cause": likely_cause(story), "lines": _raw(story)})
        return ExitCode.OK
    for line in sorted([*story.around, *story.own], key=lambda line: line.time):
        _print_line(line)
    print()
    print(likely_cause(story))
    return ExitCode.OK


def _raw(story: Story) -> list[dict[str, Any]]:
    return [
        {"time": line.time, "node": line.node, "event": line.event, **line.fields}
        for line in sorted([*story.around, *story.own], key=lambda line: line.time)
    ]


def _print_line(line: Line) -> None:
    fields = {name: value for name, value in line.fields.items() if name != "calls"}
    text = " ".join(f"{name}={value}" for name, value in fields.items() if value not in ("", None))
    mark = "*" if line.event in REQUEST_EVENTS else " "
    print(f"{mark} {line.time:.3f} {line.node} {line.event} {text}")
    for call in calls_of(line):
        ended = "-" if call.ended_ms is None else f"{call.ended_ms:.0f}"
        print(
            f"    {call.sent_ms:.0f} to {ended} ms  {call.service} at {call.leaf}: {call.why},"
            f" cost {call.cost_ms:.0f} ms of {call.choices}; {call.end}"
        )
