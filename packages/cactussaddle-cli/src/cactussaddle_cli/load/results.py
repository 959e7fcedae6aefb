"""The results of a run: their JSON form and their table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tabulate import tabulate

from cactussaddle_cli.load.leafcalls import extra_share
from cactussaddle_cli.load.model import LoadResults

if TYPE_CHECKING:
    from pathlib import Path

    from cactussaddle_cli.load.model import LatencyFigures

FELL_BEHIND_MS = 10.0
LATENCY_NAMES = ("p50", "p90", "p99", "p99.9", "max")


def write_results(path: Path, results: LoadResults) -> None:
    """Write results as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=2) + b"\n")


def read_results(path: Path) -> Result[LoadResults, str]:
    """Read results; the failure names the file and what is wrong."""
    try:
        return Success(msgspec.json.decode(path.read_bytes(), type=LoadResults))
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Failure(f"{path}: {exc}")


def fell_behind(results: LoadResults) -> str | None:
    """Return a warning when the tool itself sent too late for its figures to be trusted."""
    late_ms = results["summary"]["late_ms"]["ms"].get("p99", 0.0)
    if late_ms <= FELL_BEHIND_MS:
        return None
    return (
        f"the load tool fell behind: 1 request in 100 left {late_ms:.0f} ms or more late; "
        "lower --rate or run several tools"
    )


def results_table(results: LoadResults) -> str:
    """Return the results for people."""
    summary = results["summary"]
    rows = [("all", "", summary["sent"], *_cells(summary["latency"]))]
    for name, route in summary["routes"].items():
        rows.append((name, str(route["priority"]), route["sent"], *_cells(route["latency"])))
    headers = ("route", "priority", "sent", "answers", *(f"{name} ms" for name in LATENCY_NAMES))
    coverage = "  ".join(
        f">={step}: {share:.4f}" for step, share in summary["coverage_at_least"].items()
    )
    lines = [
        tabulate(rows, headers=headers, disable_numparse=True),
        "",
        tabulate(sorted(summary["codes"].items()), headers=("result", "requests")),
        "",
        f"coverage: mean {summary['coverage_mean']:.5f}; share of answers {coverage}",
    ]
    calls = results["leaf_calls"]
    if calls is not None:
        lines.append(
            f"leaf calls: {calls['first_calls']} first, {calls['hedges']} hedges, "
            f"{calls['retries']} retries; {extra_share(calls):.2%} extra"
        )
    warning = fell_behind(results)
    return "\n".join([*lines, warning] if warning else lines)


def _cells(figures: LatencyFigures) -> tuple[str, ...]:
    values = (figures["ms"].get(name) for name in LATENCY_NAMES)
    shown = ("-" if value is None else f"{value:.1f}" for value in values)
    return (str(figures["count"]), *shown)
