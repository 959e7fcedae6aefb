"""Comparison of two runs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from tabulate import tabulate

from cactussaddle_cli.load.leafcalls import extra_share
from cactussaddle_cli.load.results import LATENCY_NAMES

if TYPE_CHECKING:
    from pathlib import Path

    from cactussaddle_cli.load.model import LoadResults


class Row(NamedTuple):
    """One figure of both runs; `ratio` is the second over the first, None where undefined."""

    name: str
    first: float
    second: float
    ratio: float | None


def compare(first: LoadResults, second: LoadResults) -> list[Row]:
    """Return the figures of two runs beside each other."""
    one, two = first["summary"], second["summary"]
    rows = [
        _row(f"{name} ms", one["latency"]["ms"].get(name), two["latency"]["ms"].get(name))
        for name in LATENCY_NAMES
    ]
    rows.append(_row("coverage, mean", one["coverage_mean"], two["coverage_mean"]))
    rows.append(
        _row(
            "answers with coverage 1",
            one["coverage_at_least"]["1.0"],
            two["coverage_at_least"]["1.0"],
        )
    )
    if first["leaf_calls"] is not None and second["leaf_calls"] is not None:
        extras = (extra_share(first["leaf_calls"]), extra_share(second["leaf_calls"]))
        rows.append(_row("extra leaf calls, share", *extras))
    for code in sorted(one["codes"].keys() | two["codes"].keys()):
        shares = (_share(one["codes"], code), _share(two["codes"], code))
        rows.append(_row(f"share {code}", *shares))
    return rows


def compare_table(first: LoadResults, second: LoadResults) -> str:
    """Return the comparison for people."""
    shown = [
        (row.name, f"{row.first:.4f}", f"{row.second:.4f}", _ratio_text(row.ratio))
        for row in compare(first, second)
    ]
    names = (first["label"] or "first", second["label"] or "second")
    return str(tabulate(shown, headers=("figure", *names, "ratio"), disable_numparse=True))


def plot(first: LoadResults, second: LoadResults, path: Path) -> None:
    """Draw the percentiles of both runs into an image file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for results, fallback in ((first, "first"), (second, "second")):
        values = results["summary"]["latency"]["ms"]
        names = [name for name in LATENCY_NAMES if name in values]
        axes.plot(names, [values[name] for name in names], "o-", label=results["label"] or fallback)
    axes.set_yscale("log")
    axes.set_ylabel("latency of answers, ms")
    axes.legend()
    axes.grid(True, which="both", alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _row(name: str, first: float | None, second: float | None) -> Row:
    one, two = first or 0.0, second or 0.0
    return Row(name, one, two, two / one if one else None)


def _share(codes: dict[str, int], code: str) -> float:
    return codes.get(code, 0) / max(1, sum(codes.values()))


def _ratio_text(ratio: float | None) -> str:
    return "-" if ratio is None else f"{ratio:.3f}"
