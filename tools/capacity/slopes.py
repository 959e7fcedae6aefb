"""One measured slope: a cost at several sizes, its fit and spread."""

from __future__ import annotations

import statistics

from typing import TYPE_CHECKING
from typing import NamedTuple

from tools.figures import Fit
from tools.figures import fit
from tools.figures import table

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

ROUNDS = 3


class Slope(NamedTuple):
    """A cost measured at sizes; `spread` is the largest range of rounds over their median."""

    name: str
    unit: str
    size_name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    spread: float
    fit: Fit

    def at(self, size: float) -> float:
        """Return the cost at a size, as measured there or else by the fit."""
        if size in self.sizes:
            return self.values[self.sizes.index(size)]
        return self.fit.at(size)


class Spec(NamedTuple):
    """What one field of a measurement is called."""

    key: str
    name: str
    unit: str


def measure(
    specs: Sequence[Spec],
    size_name: str,
    sizes: Sequence[int],
    once: Callable[[int], Sequence[float]],
    rounds: int = ROUNDS,
) -> dict[str, Slope]:
    """Measure `once(size)`, one value a spec, some rounds with the sizes interleaved."""
    found: dict[int, list[Sequence[float]]] = {size: [] for size in sizes}
    for _ in range(rounds):
        for size in sizes:
            found[size].append(once(size))
    slopes: dict[str, Slope] = {}
    for field, spec in enumerate(specs):
        values = [[values[field] for values in found[size]] for size in sizes]
        slopes[spec.key] = make_slope(spec, size_name, sizes, values)
    return slopes


def make_slope(
    spec: Spec, size_name: str, sizes: Sequence[int], values: Sequence[Sequence[float]]
) -> Slope:
    """Return the slope of the rounds' values at each size."""
    medians = [statistics.median(rounds) for rounds in values]
    spread = max(
        (max(rounds) - min(rounds)) / max(abs(median), 1e-12)
        for rounds, median in zip(values, medians, strict=True)
    )
    line = fit([float(size) for size in sizes], medians)
    return Slope(
        spec.name, spec.unit, size_name, tuple(map(float, sizes)), tuple(medians), spread, line
    )


def slopes_table(slopes: Sequence[Slope]) -> str:
    """Return the table of slopes."""
    rows = [
        (
            slope.name,
            slope.unit,
            f"{slope.size_name}: " + ", ".join(f"{size:g}" for size in slope.sizes),
            ", ".join(short(value) for value in slope.values),
            f"{short(slope.fit.base)} + {short(slope.fit.slope)} x",
            f"{slope.fit.worst * 100:.0f}%",
            f"{slope.spread * 100:.0f}%",
        )
        for slope in slopes
    ]
    headers = ("part", "unit", "x: sizes", "medians", "fit", "worst residual", "spread of rounds")
    return table(headers, rows)


def short(value: float) -> str:
    """Return three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"
