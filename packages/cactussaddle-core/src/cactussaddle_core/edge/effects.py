"""What a node's reducer asks for, beside the effects of the fan-out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

from cactussaddle_core.fanout.model import FanoutEffect

if TYPE_CHECKING:
    from cactussaddle_core.fleet.leaf import Leaf


class KeepConnections(NamedTuple):
    """Keep connections to exactly these leaves, at most `most` to each."""

    leaves: tuple[tuple[Leaf, int], ...]


class Note(NamedTuple):
    """Write a log line."""

    event: str
    fields: dict[str, Any]


class CloseIdle(NamedTuple):
    """Close the callers' connections as they fall idle."""


class EndProcess(NamedTuple):
    """End the process."""


Effect: TypeAlias = FanoutEffect | KeepConnections | Note | CloseIdle | EndProcess
