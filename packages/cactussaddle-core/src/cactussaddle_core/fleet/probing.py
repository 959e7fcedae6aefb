"""Health probes of leaves that are avoided, to find out when they are well again."""

from __future__ import annotations

import enum
import statistics

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.fleet.hints import Trouble
from cactussaddle_core.fleet.leaf import SLOW_RATIO
from cactussaddle_core.fleet.model import Standing

if TYPE_CHECKING:
    from cactussaddle_core.fleet.book import Fleet
    from cactussaddle_core.fleet.leaf import Leaf


# How late this node may have come to read an answer that lay ready.
OWN_DELAY_S = 0.012
RESET_WAIT_S = 0.7


class ProbeEnd(enum.StrEnum):
    """How a probe ended.

    After RESET the leaf is there, but may have had no room for one more connection.
    """

    ANSWERED = "answered"
    NOT_CONNECTED = "no connection"
    RESET = "connection reset"
    SILENT = "no answer"


class Health(NamedTuple):
    """What came of a probe.

    `leaf` is the id of whoever answered; `cold_left_s` is None where the answer doesn't tell.
    `work_s` is the time that the answer took beyond the round trips.
    """

    end: ProbeEnd
    leaf: str
    healthy: bool
    cold_left_s: float | None
    work_s: float


def due_probes(fleet: Fleet, now: float) -> list[Leaf]:
    """Return the leaves to probe now; each is asked once until it has answered or failed."""
    return [fleet.leaves[name] for name in fleet.probes.take_due(now) if name in fleet.leaves]


def probe_ended(fleet: Fleet, name: str, health: Health, now: float) -> None:
    """Take in the end of a probe of the leaf `name`."""
    leaf = fleet.leaves.get(name)
    if leaf is None:
        return
    if health.end is ProbeEnd.RESET:
        fleet.probes.ask(name, now + RESET_WAIT_S)
        return
    if health.end is ProbeEnd.SILENT:
        first = leaf.standing is Standing.READY
        fleet.suspect(leaf, Standing.SUSPECT if first else Standing.DOWN, now, health.end.value)
        return
    if health.end is ProbeEnd.ANSWERED and health.leaf not in ("", name):
        leaf.displaced = True
    if health.end is ProbeEnd.NOT_CONNECTED or health.leaf != name or not health.healthy:
        fleet.suspect(leaf, Standing.DOWN, now, _cause(leaf, health))
        return
    if health.cold_left_s is not None:
        leaf.grew_cold(health.cold_left_s, now)
    fleet.note_standing(leaf, f"probe took {1000.0 * health.work_s:.0f} ms", now)
    was_down = leaf.standing is Standing.DOWN
    leaf.answered(now)
    usual_s = _usual_probe_s(fleet, leaf)
    ratio = _ratio(health.work_s, usual_s) if usual_s is not None else 1.0
    is_news = usual_s is not None and leaf.probed(ratio, now)
    if is_news and leaf.is_slow(now):
        fleet.hints.note(leaf, Trouble.SLOW, leaf.slowness(now))
    elif is_news or was_down:
        fleet.hints.note(leaf, Trouble.NONE)
    if ratio < SLOW_RATIO:
        leaf.least_probe_s = min(health.work_s, leaf.least_probe_s or health.work_s)


def _cause(leaf: Leaf, health: Health) -> str:
    if health.end is not ProbeEnd.ANSWERED:
        return health.end.value
    if health.leaf != leaf.name:
        return f"leaf {health.leaf} has the address"
    return "says it is not healthy"


def _ratio(work_s: float, usual_s: float) -> float:
    """Return how many times the usual time a probe took, less what this node may have lost itself."""
    return max(usual_s, work_s - OWN_DELAY_S) / usual_s


def _usual_probe_s(fleet: Fleet, leaf: Leaf) -> float | None:
    """Return the usual time of a probe: the leaf's own least, or that of others of its size."""
    if leaf.least_probe_s is not None:
        return leaf.least_probe_s
    alike = [
        other.least_probe_s
        for other in fleet.leaves.values()
        if other.least_probe_s is not None and other.entry.slots == leaf.entry.slots
    ]
    return statistics.median_low(alike) if alike else None
