"""Assertions of the promises that always hold.

A breach goes to the installed handler. The default handler raises, which makes a breach fatal in
tests; the daemon installs one that logs and counts it.
"""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.exceptions import InvariantError

if TYPE_CHECKING:
    from collections.abc import Callable


class Promise(enum.StrEnum):
    """The promises of the system, by short name."""

    ONE_SNAPSHOT = "one-snapshot"
    TRUE_COVERAGE = "true-coverage"
    COLD_LIMIT = "cold-limit"
    SLOT_LIMIT = "slot-limit"
    NAMED_LIMIT = "named-limit"
    LEAF_PAUSE = "leaf-pause"
    CONNECTION_LIMIT = "connection-limit"
    DOMAIN_OUT = "domain-out"
    LEAF_LEAVING = "leaf-leaving"
    BAD_VERSION = "bad-version"
    OWN_ANSWER = "own-answer"
    NOT_RUN = "not-run"
    AT_MOST_ONCE = "at-most-once"
    GRACEFUL_STOP = "graceful-stop"
    NO_REVERT = "no-revert"
    MOVE_FINAL = "move-final"


class Breach(NamedTuple):
    """One observed breach of a promise."""

    promise: Promise
    detail: str


def raise_breach(breach: Breach) -> None:
    """Raise the breach as an `InvariantError`."""
    raise InvariantError(f"{breach.promise}: {breach.detail}")


_handler: Callable[[Breach], None] = raise_breach


def set_handler(handler: Callable[[Breach], None]) -> None:
    """Install what is called with each breach."""
    global _handler
    _handler = handler


def require(condition: bool, promise: Promise, detail: str) -> None:
    """Report a breach of `promise` unless `condition` holds."""
    if not condition:
        _handler(Breach(promise, detail))
