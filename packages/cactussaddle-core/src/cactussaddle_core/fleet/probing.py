"""Health probes of suspect, down and slow leaves, to detect when they recover."""

from __future__ import annotations

import enum
import statistics

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.fleet.hints import HintKind
from cactussaddle_core.fleet.leaf import SLOW_RATIO
from cactussaddle_core.fleet.model import Availability

if TYPE_CHECKING:
    from cactussaddle_core.fleet.fleet import Fleet
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.fleet.model import LeafNotice
    from cactussaddle_core.fleet.model import Load


# Allowance for how late this node may read an answer that has already arrived.
READ_DELAY_ALLOWANCE_S = 0.012
RESET_RETRY_S = 0.7
# No probe takes a leaf less, however short it looks beside the round trip that is taken off.
MIN_PROBE_S = 0.0005
# Leaves with known times whose median tells the usual time of leaves of their size.
ENOUGH_BASELINES = 8
# A probe without an answer shows nothing if this node was busy for this much of its time.
MAX_BUSY_S = 0.4


class ProbeOutcome(enum.StrEnum):
    """How a probe ended.

    RESET shows that the leaf is running, but it may have had no free connection.
    """

    ANSWERED = "answered"
    NOT_CONNECTED = "no connection"
    RESET = "connection reset"
    SILENT = "no answer"


class ProbeResult(NamedTuple):
    """The result of a probe.

    `leaf` is the id of the leaf that answered; `cold_left_s`, `load` and `notice` are None if the answer
    does not report them. `work_s` is the response time without the network round trips. It shows the
    leaf's speed only if the probe is `timed`: most of it is the setup of a connection at the leaf.
    """

    end: ProbeOutcome
    leaf: str
    healthy: bool
    cold_left_s: float | None
    work_s: float
    load: Load | None = None
    notice: LeafNotice | None = None
    timed: bool = True


def due_probes(fleet: Fleet, now: float) -> list[Leaf]:
    """Return the leaves to probe now and remove them from the schedule.

    The probe of a leaf that has asked for a pause is put off until its end. Where leaves report the pace
    of their hosts, no more are sent just to learn the usual time than tell it.
    """
    named = [fleet.leaves[name] for name in fleet.probes.take_due(now) if name in fleet.leaves]
    due = [leaf for leaf in named if not (leaf.baseline_only and _is_baseline_known(fleet, leaf))]
    for leaf in due:
        if now < leaf.pause_until:
            fleet.probes.schedule(leaf.name, leaf.pause_until)
    sent = [leaf for leaf in due if now >= leaf.pause_until]
    for leaf in sent:
        leaf.probe_began(now)
    return sent


def _is_baseline_known(fleet: Fleet, leaf: Leaf) -> bool:
    return fleet.has_paces and len(_same_size_times(fleet, leaf)) >= ENOUGH_BASELINES


def apply_probe_result(
    fleet: Fleet, name: str, health: ProbeResult, now: float, busy_s: float = 0.0
) -> None:
    """Apply the result of a probe of the leaf `name`; this node was itself busy for `busy_s` of it."""
    leaf = fleet.leaves.get(name)
    if leaf is None:
        return
    _apply_result(fleet, leaf, health, now, busy_s)
    leaf.probe_ended()


def _apply_result(fleet: Fleet, leaf: Leaf, health: ProbeResult, now: float, busy_s: float) -> None:
    name = leaf.name
    is_own_delay = health.end is ProbeOutcome.SILENT and busy_s >= MAX_BUSY_S
    if health.end is ProbeOutcome.RESET or is_own_delay:
        fleet.probes.schedule(name, now + RESET_RETRY_S)
        return
    if health.end is ProbeOutcome.SILENT:
        first = leaf.availability is Availability.READY
        fleet.suspect(
            leaf, Availability.SUSPECT if first else Availability.DOWN, now, health.end.value
        )
        return
    if health.end is ProbeOutcome.ANSWERED and health.leaf not in ("", name):
        leaf.displaced = True
    if health.notice is not None and health.leaf == name:
        fleet.notice_given(leaf, health.notice, now)
    if health.end is ProbeOutcome.NOT_CONNECTED or health.leaf != name or not health.healthy:
        fleet.suspect(leaf, Availability.DOWN, now, _cause(leaf, health))
        return
    if health.cold_left_s is not None:
        leaf.set_cold_left(health.cold_left_s, now)
    leaf.temperature_shown()
    fleet.track_availability(leaf, f"probe took {1000.0 * health.work_s:.0f} ms", now)
    was_down = leaf.availability is Availability.DOWN
    leaf.answered(now)
    if health.load is not None and health.load.pace is not None:
        fleet.load_reported(leaf, health.load, now)
        health = health._replace(work_s=health.work_s / max(1.0, leaf.pace(now)))
    if not health.timed:
        if was_down:
            fleet.hints.note(leaf, HintKind.NONE)
        return
    baseline_s = _baseline_probe_s(fleet, leaf)
    ratio = _ratio(health.work_s - busy_s, baseline_s) if baseline_s is not None else 1.0
    if ratio >= SLOW_RATIO and health.load is not None and is_full(health.load):
        leaf.record_queued_probe(now)
        return
    state_changed = baseline_s is not None and leaf.record_probe(ratio, now)
    if state_changed and leaf.is_slow(now):
        fleet.hints.note(leaf, HintKind.SLOW, leaf.slowness(now))
    elif state_changed or was_down:
        fleet.hints.note(leaf, HintKind.NONE)
    if ratio < SLOW_RATIO:
        work_s = max(MIN_PROBE_S, health.work_s)
        leaf.min_probe_s = min(work_s, leaf.min_probe_s or work_s)


def is_full(load: Load) -> bool:
    """Return whether all slots are busy, so that a probe waits like any other request."""
    return load.running >= load.slots


def _cause(leaf: Leaf, health: ProbeResult) -> str:
    if health.end is not ProbeOutcome.ANSWERED:
        return health.end.value
    if health.leaf != leaf.name:
        return f"leaf {health.leaf} answers at its address"
    return "reports itself unhealthy"


def _ratio(work_s: float, baseline_s: float) -> float:
    """Return the ratio of a probe's time to the baseline, after the allowance for local delays."""
    return max(baseline_s, work_s - READ_DELAY_ALLOWANCE_S) / baseline_s


def _baseline_probe_s(fleet: Fleet, leaf: Leaf) -> float | None:
    """Return the baseline time of a probe.

    It is the leaf's own minimum, or else the median of the minima of leaves with as many slots.
    """
    if leaf.min_probe_s is not None:
        return leaf.min_probe_s
    same_size = _same_size_times(fleet, leaf)
    return statistics.median_low(same_size) if same_size else None


def _same_size_times(fleet: Fleet, leaf: Leaf) -> list[float]:
    return [
        other.min_probe_s
        for other in fleet.leaves.values()
        if other.min_probe_s is not None and other.entry.slots == leaf.entry.slots
    ]
