"""Messages by which a node that has just started learns of requests that crash leaves."""

from __future__ import annotations

from typing import NamedTuple


class KnownCrash(NamedTuple):
    """A crash as reported to a node that has just started; `age_s` is how long it has been known."""

    leaf: str
    incarnation: str
    age_s: float
    cleared: bool


class KnownSuspect(NamedTuple):
    """Everything a node knows about one fingerprint, whichever node reported it."""

    fingerprint: str
    has_succeeded: bool
    crashes: tuple[KnownCrash, ...]


class SuspectsRequest(NamedTuple):
    """Asks another node, after a start, for the requests that it knows to crash leaves."""

    ask: int


class SuspectsReply(NamedTuple):
    """All suspects that the sender knows, including those reported by nodes that have left."""

    suspects: tuple[KnownSuspect, ...]
