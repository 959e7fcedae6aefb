"""Runs one load against a deployment."""

from __future__ import annotations

import sys
import time
import uuid

from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_cli.load.arrivals import poisson_arrivals
from cactussaddle_cli.load.leafcalls import leaf_calls_between
from cactussaddle_cli.load.recorder import Outcome
from cactussaddle_cli.load.recorder import Recorder
from cactussaddle_cli.load.sender import Sender

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_cli.load.arrivals import Arrival
    from cactussaddle_cli.load.mix import MixEntry
    from cactussaddle_cli.load.model import LoadResults

PROGRESS_S = 1.0


class LoadSettings(NamedTuple):
    """What to send where; `rate` is requests a second over all targets."""

    targets: tuple[str, ...]
    mix: tuple[MixEntry, ...]
    rate: float
    seconds: float
    seed: int
    deadline_ms: int | None = None
    min_coverage: float | None = None
    label: str = ""


async def run_load(settings: LoadSettings, progress: Callable[[str], None]) -> LoadResults:
    """Send the whole load, wait for its answers, and return the results."""
    recorder = Recorder()
    started = time.time()
    cpu_before = time.process_time()
    sender = Sender(
        targets=settings.targets,
        run_id=uuid.uuid4().hex[:12],
        deadline_ms=settings.deadline_ms,
        min_coverage=settings.min_coverage,
    )
    async with sender, trio.open_nursery() as outer:
        before = await sender.leaf_calls()
        outer.start_soon(_report, recorder, progress)
        await _send_all(settings, sender, recorder)
        leaf_calls = leaf_calls_between(before, await sender.leaf_calls())
        outer.cancel_scope.cancel()
    return {
        "label": settings.label,
        "targets": list(settings.targets),
        "mix": {entry.route: entry.weight for entry in settings.mix},
        "rate": settings.rate,
        "seconds": settings.seconds,
        "seed": settings.seed,
        "deadline_ms": settings.deadline_ms,
        "started": started,
        "tool_cpu_s": time.process_time() - cpu_before,
        "leaf_calls": leaf_calls,
        "summary": recorder.summary(),
    }


async def _send_all(settings: LoadSettings, sender: Sender, recorder: Recorder) -> None:
    zero = trio.current_time()
    async with trio.open_nursery() as nursery:
        for arrival in poisson_arrivals(
            settings.mix, settings.rate, settings.seconds, settings.seed
        ):
            await trio.sleep_until(zero + arrival.at)
            recorder.started += 1
            nursery.start_soon(_send_one, sender, recorder, arrival, zero + arrival.at)
        await trio.sleep_until(zero + settings.seconds)


async def _send_one(sender: Sender, recorder: Recorder, arrival: Arrival, due: float) -> None:
    late_s = trio.current_time() - due
    reply = await sender.send(arrival)
    latency_s = trio.current_time() - due
    recorder.add(
        Outcome(arrival.entry, reply.name, latency_s, late_s, reply.coverage, reply.snapshot)
    )


async def _report(recorder: Recorder, progress: Callable[[str], None]) -> None:
    second = 0
    before = 0
    while True:
        await trio.sleep(PROGRESS_S)
        second += 1
        ended = recorder.ended
        codes = " ".join(f"{name}={count}" for name, count in sorted(recorder.codes.items()))
        progress(
            f"{second:4d} s  {ended - before:6d}/s  waiting {recorder.started - ended:5d}  "
            f"p50 {recorder.now_ms('p50'):.1f} ms  p99 {recorder.now_ms('p99'):.1f} ms  {codes}"
        )
        before = ended


def to_stderr(line: str) -> None:
    """Write a progress line."""
    print(line, file=sys.stderr, flush=True)
