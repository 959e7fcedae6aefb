"""Figures with their spread, linear fits, and tables in Markdown pages."""

from __future__ import annotations

import statistics
import time

from typing import TYPE_CHECKING
from typing import NamedTuple

from tabulate import tabulate

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from pathlib import Path


class Spread(NamedTuple):
    """The median of several rounds, with the lowest and the highest."""

    median: float
    low: float
    high: float

    def text(self, digits: int = 1) -> str:
        """Return `median (low to high)`."""
        return f"{self.median:.{digits}f} ({self.low:.{digits}f} to {self.high:.{digits}f})"


class Fit(NamedTuple):
    """A line `base + slope * size`; `worst` is the largest relative residual."""

    base: float
    slope: float
    worst: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


def spread(values: Sequence[float]) -> Spread:
    """Return the spread of the rounds' values."""
    return Spread(statistics.median(values), min(values), max(values))


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares of the relative residuals."""
    weights = [1.0 / max(abs(value), 1e-12) ** 2 for value in values]
    total = sum(weights)
    mean_x = sum(w * x for w, x in zip(weights, sizes, strict=True)) / total
    mean_y = sum(w * y for w, y in zip(weights, values, strict=True)) / total
    triples = list(zip(weights, sizes, values, strict=True))
    over = sum(w * (x - mean_x) * (y - mean_y) for w, x, y in triples)
    under = sum(w * (x - mean_x) ** 2 for w, x, _ in triples)
    slope = over / under if under else 0.0
    base = mean_y - slope * mean_x
    worst = max(abs(base + slope * x - y) / max(abs(y), 1e-12) for _, x, y in triples)
    return Fit(base, slope, worst)


def cpu_us(body: Callable[[], object], units: int) -> float:
    """Return this process's CPU time of one run of `body`, in microseconds a unit."""
    started = time.process_time()
    body()
    return (time.process_time() - started) * 1e6 / units


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table; cells are written as they are."""
    return tabulate(rows, headers=headers, tablefmt="github", disable_numparse=True)


def write_section(page: Path, name: str, text: str) -> None:
    """Replace what stands between the markers `<!-- name -->` and `<!-- /name -->` of a page."""
    begin, end = f"<!-- {name} -->", f"<!-- /{name} -->"
    old = page.read_text(encoding="utf-8")
    head, found, rest = old.partition(begin)
    if not found or end not in rest:
        raise SystemExit(f"{page}: no section {name}")
    tail = rest.partition(end)[2]
    page.write_text(f"{head}{begin}\n\n{text.strip()}\n\n{end}{tail}", encoding="utf-8")
