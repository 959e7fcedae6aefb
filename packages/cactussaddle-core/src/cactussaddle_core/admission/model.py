"""Requests, limits and decisions of overload control."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cactussaddle_core.codes import ResultCode


class Request(NamedTuple):
    """A request; priority 0 is served first, and `deadline` is on the node's clock.

    It is refused on arrival when its expected wait is longer than `patience_s`.
    """

    id: str
    priority: int
    deadline: float
    patience_s: float = math.inf


class Limits(NamedTuple):
    """How many requests run at once, and how many may wait."""

    running: int
    queued: int


class Admitted(NamedTuple):
    """The request runs from now on."""

    id: str


class Queued(NamedTuple):
    """The request waits, for an estimated `wait_s`."""

    id: str
    wait_s: float


class Refused(NamedTuple):
    """The request did not run and never will; its caller may retry after `retry_after_s`."""

    id: str
    code: ResultCode
    retry_after_s: float


Decision = Admitted | Queued | Refused
