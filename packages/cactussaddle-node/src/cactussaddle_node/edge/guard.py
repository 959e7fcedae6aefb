"""Tasks whose unexpected errors cost what they were doing, and not the process."""

from __future__ import annotations

import traceback

from typing import TYPE_CHECKING
from typing import Any

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

# Pause before a task that has failed goes on.
RESTART_WAIT_S = 0.2
PLACES = 2


class Guard:
    """Runs tasks; `report(task, error, place)` hears of each unexpected error."""

    def __init__(self, *, report: Callable[[str, str, str], None]) -> None:
        self._report = report

    def failed(self, task: str, exc: Exception) -> None:
        """Report an unexpected error."""
        place = "".join(traceback.format_tb(exc.__traceback__)[-PLACES:])
        self._report(task, repr(exc), place)

    async def once(self, task: str, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Run a task that may fail."""
        try:
            await function(*args)
        except Exception as exc:
            self.failed(task, exc)

    async def lasting(self, task: str, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Run a task that the node can't do without; after an error it begins anew."""
        while True:
            try:
                await function(*args)
            except Exception as exc:
                self.failed(task, exc)
            else:
                return
            await trio.sleep(RESTART_WAIT_S)
