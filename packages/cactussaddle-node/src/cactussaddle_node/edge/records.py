"""Writes a node's records to the store: states of roll-outs, and suspects with their trials."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from returns.result import Failure

from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge import logevents as log

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_core.edge.effects import RemoveFromRoster
    from cactussaddle_core.hold.trials import RemoveTrial
    from cactussaddle_core.hold.trials import WriteTrial
    from cactussaddle_core.rollouts.model import RecordRollout
    from cactussaddle_node.edge.eventlog import EventLog
    from cactussaddle_node.edge.guard import TaskGuard
    from cactussaddle_platform.registry import RolloutRecords
    from cactussaddle_platform.registry import RosterRecords
    from cactussaddle_platform.registry import TrialRecords


class RecordWriter:
    """Starts a task for each write; failures are logged, and the reducer repeats what is still due.

    Nothing is written until `rollouts`, `trials` and `roster` are set.
    """

    def __init__(
        self,
        *,
        nursery: TaskStarter,
        guard: TaskGuard,
        log: EventLog,
        feed: Callable[[ev.Event], None],
    ) -> None:
        self.rollouts: RolloutRecords | None = None
        self.trials: TrialRecords | None = None
        self.roster: RosterRecords | None = None
        self._nursery = nursery
        self._guard = guard
        self._log = log
        self._feed = feed

    def record_rollout(self, effect: RecordRollout) -> None:
        """Write the state of a roll-out."""
        self._nursery.start_soon(
            self._guard.run_once, "roll-out status", self._write_status, effect
        )

    def write_trial(self, effect: WriteTrial) -> None:
        """Write a suspect's record, and feed the outcome."""
        self._nursery.start_soon(self._guard.run_once, "trial record", self._write_trial, effect)

    def remove_from_roster(self, effect: RemoveFromRoster) -> None:
        """Remove a node from the roster."""
        self._nursery.start_soon(self._guard.run_once, "roster", self._remove_from_roster, effect)

    def remove_trial(self, effect: RemoveTrial) -> None:
        """Remove a suspect's record."""
        self._nursery.start_soon(self._guard.run_once, "trial record", self._remove_trial, effect)

    async def _remove_from_roster(self, effect: RemoveFromRoster) -> None:
        if self.roster is None:
            return
        removed = await self.roster.remove(effect.node)
        reason = removed.failure().detail if isinstance(removed, Failure) else ""
        self._log.write(log.RemovedFromRoster(effect.node, reason), trio.current_time())

    async def _write_status(self, effect: RecordRollout) -> None:
        if self.rollouts is None:
            return
        written = await self.rollouts.write(effect)
        if isinstance(written, Failure):
            reason = written.failure().detail
        elif not written.unwrap():
            reason = "rollout order or status was changed concurrently"
        else:
            return
        failed = log.RolloutWriteFailed(effect.order.move, effect.state.value, reason)
        self._log.write(failed, trio.current_time())

    async def _write_trial(self, effect: WriteTrial) -> None:
        revision = None
        reason = "no store"
        if self.trials is not None:
            written = await self.trials.write(effect)
            if isinstance(written, Failure):
                reason = written.failure().detail
            else:
                revision = written.unwrap()
                reason = "changed concurrently"
        if revision is None:
            self._log_failure(effect.record.fingerprint, reason)
        self._feed(ev.TrialWritten(effect, revision))

    async def _remove_trial(self, effect: RemoveTrial) -> None:
        if self.trials is None:
            return
        removed = await self.trials.remove(effect)
        if isinstance(removed, Failure):
            self._log_failure(effect.fingerprint, removed.failure().detail)

    def _log_failure(self, fingerprint: str, reason: str) -> None:
        self._log.write(log.TrialWriteFailed(fingerprint, reason), trio.current_time())
