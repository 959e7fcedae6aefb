"""Open-loop arrivals: when each request is meant to start, whatever becomes of earlier ones."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from cactussaddle_cli.load.mix import MixEntry


class Arrival(NamedTuple):
    """One intended request, `at` seconds after the start of the run."""

    number: int
    at: float
    entry: MixEntry


def poisson_arrivals(
    mix: Sequence[MixEntry], rate: float, seconds: float, seed: int
) -> Iterator[Arrival]:
    """Yield Poisson arrivals of `rate` a second; the same seed gives the same arrivals."""
    rng = random.Random(seed)
    weights = [entry.weight for entry in mix]
    at = rng.expovariate(rate)
    number = 0
    while at < seconds:
        yield Arrival(number, at, rng.choices(mix, weights)[0])
        at += rng.expovariate(rate)
        number += 1
