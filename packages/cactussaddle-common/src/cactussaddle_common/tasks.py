"""The interface by which components start tasks of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class TaskStarter(Protocol):
    """Starts tasks in the background, as a nursery does."""

    def start_soon(self, function: Callable[..., Awaitable[Any]], /, *args: Any) -> None:
        """Start a task."""
        ...
