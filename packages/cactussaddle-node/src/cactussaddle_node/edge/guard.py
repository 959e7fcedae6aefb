"""Runs tasks so that an unexpected exception is reported instead of ending the process."""

from __future__ import annotations

import traceback

from typing import TYPE_CHECKING
from typing import Any

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

# Delay before a failed task is restarted.
RESTART_DELAY_S = 0.2
TRACEBACK_FRAMES = 2


class TaskGuard:
    """Runs tasks and calls `report(task, error, place)` for each unexpected exception."""

    def __init__(self, *, report: Callable[[str, str, str], None]) -> None:
        self._report = report

    def failed(self, task: str, exc: Exception) -> None:
        """Report an unexpected exception, with the innermost frames of its traceback."""
        place = "".join(traceback.format_tb(exc.__traceback__)[-TRACEBACK_FRAMES:])
        self._report(task, repr(exc), place)

    async def run_once(
        self, task: str, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Run a task; an exception is reported and ends only this task."""
        try:
            await function(*args)
        except Exception as exc:
            self.failed(task, exc)

    async def run_restarting(
        self, task: str, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Run a task that the node depends on; it is restarted after an exception."""
        while True:
            try:
                await function(*args)
            except Exception as exc:
                self.failed(task, exc)
            else:
                return
            await trio.sleep(RESTART_DELAY_S)


class GuardedNursery:
    """Starts the tasks of components in a nursery, each under a guard: none of them ends the process."""

    def __init__(self, *, nursery: trio.Nursery, guard: TaskGuard) -> None:
        self._nursery = nursery
        self._guard = guard

    def start_soon(self, function: Callable[..., Awaitable[Any]], /, *args: Any) -> None:
        """Start a task; an exception is reported and ends only this task."""
        name = getattr(function, "__qualname__", "task")
        self._nursery.start_soon(self._guard.run_once, name, function, *args)
