"""Every event that a node logs, with its fields; docs/OPERATIONS.md holds the same table.

The name of an event is that of its class in snake case. Times end in `_ms` or `_s`.
"""

from __future__ import annotations

import enum
import re

from typing import Any
from typing import NamedTuple


class Weight(enum.IntEnum):
    """How an event fares when there is more to log than is allowed: the heavier stays."""

    ROUTINE = 0
    CHANGE = 1
    FAILURE = 2


class Started(NamedTuple):
    """The process has begun."""

    domain: str
    address: str
    pid: int
    cores: float
    memory_mb: int


class Stopped(NamedTuple):
    """The process ends now."""

    requests: int


class StopAsked(NamedTuple):
    """The platform has asked the process to stop."""

    grace_s: float
    requests: int


class Reloaded(NamedTuple):
    """The settings file was read again; `restart_for` names changes that need a new process."""

    restart_for: tuple[str, ...]


class ReloadFailed(NamedTuple):
    """The settings file can't be used; the settings before stay."""

    reason: str


class Registered(NamedTuple):
    """This node's entry is in the store."""

    lease: int


class RegistrationLost(NamedTuple):
    """This node's entry is not in the store, or its lease has ended."""

    reason: str


class StoreLost(NamedTuple):
    """The store, or the node followed, does not answer or has nothing fresh."""

    reason: str
    source: str
    age_s: float


class StoreBack(NamedTuple):
    """What the store holds is known freshly again."""

    source: str
    away_s: float
    revision: int


class TableInForce(NamedTuple):
    """A newer routing table is in force."""

    version: int
    before: int
    routes: int


class RecordRejected(NamedTuple):
    """A record in the store can't be read and is left aside."""

    key: str
    reason: str


class MembersChanged(NamedTuple):
    """Nodes came or went; this one follows the members named, the store after `store_at` of them."""

    nodes: int
    follows: tuple[str, ...]
    store_at: int


class DomainsOut(NamedTuple):
    """The failure domains whose leaves get nothing new."""

    domains: tuple[str, ...]


class RolloutOrdered(NamedTuple):
    """The operators want a service's traffic moved to a new version."""

    service: str
    version: str
    lasts_s: float
    revision: int


class RolloutStatus(NamedTuple):
    """The store says how a roll-out stands."""

    service: str
    version: str
    state: str


class VersionBad(NamedTuple):
    """The new version of a roll-out was found bad by `node`; it gets nothing any more."""

    rollout: str
    reason: str
    node: str


class RolloutWriteFailed(NamedTuple):
    """A roll-out's status could not be written; it is tried again while it is due."""

    rollout: str
    state: str
    reason: str


class LeavesListed(NamedTuple):
    """All leaves were read anew."""

    leaves: int


class LeafStarted(NamedTuple):
    """A leaf has registered, or a new start of it."""

    leaf: str
    service: str
    domain: str
    version: str
    cold_s: float


class LeafDraining(NamedTuple):
    """A leaf says that it leaves."""

    leaf: str


class LeafUnlisted(NamedTuple):
    """A leaf's entry is gone; it gets calls for `keeps_s` more, since entries lapse in outages."""

    leaf: str
    keeps_s: float


class LeavesDropped(NamedTuple):
    """Leaves that have left the registry get nothing any more."""

    leaves: tuple[str, ...]


class LeafStanding(NamedTuple):
    """What is believed of a leaf has changed, and what showed it."""

    leaf: str
    standing: str
    cause: str
    slowness: float
    faults: float


class CallTrace(NamedTuple):
    """One call of a request: when it was sent and ended, why it was made, how it ended.

    `cost_ms` is the expected cost by which the leaf was chosen among `choices`.
    """

    service: str
    leaf: str
    why: str
    sent_ms: float
    ended_ms: float | None
    end: str
    cost_ms: float
    choices: int


class RequestEnded(NamedTuple):
    """A caller's request has its answer; `calls` are those that tell why it went as it did."""

    request: str
    route: str
    result: str
    message: str
    took_ms: float
    objective_ms: float
    answer_by_ms: float
    parts: int
    answered: int
    needed: int
    hedges: int
    retries: int
    table: int
    registry_age_s: float
    retry_after_ms: float
    calls: tuple[CallTrace, ...]


class RequestRefused(NamedTuple):
    """A caller's request was refused before it began."""

    request: str
    result: str
    message: str
    retry_after_ms: float


class RequestHeld(NamedTuple):
    """A request, by its fingerprint, crashed leaves that ran it, this one last; it is held now."""

    fingerprint: str
    leaf: str


class CallerLeft(NamedTuple):
    """A caller closed its connection before the answer; its calls were ended."""

    request: str
    route: str
    after_ms: float
    calls: int


class Breach(NamedTuple):
    """A promise of the program was broken."""

    promise: str
    detail: str


class UnexpectedError(NamedTuple):
    """A fault of the program met an event; the event is dropped and the node goes on."""

    event: str
    error: str
    where: str


class LinesDropped(NamedTuple):
    """Lines that were left out since the last such line, by event."""

    by_event: dict[str, int]


FAILURES: frozenset[type[Any]] = frozenset(
    {
        RequestRefused,
        Breach,
        VersionBad,
        RolloutWriteFailed,
        UnexpectedError,
        LinesDropped,
        ReloadFailed,
    }
)
ROUTINE: frozenset[type[Any]] = frozenset({LeafStarted, LeafStanding, CallerLeft})
EVENTS: tuple[type[Any], ...] = (
    Started,
    Stopped,
    StopAsked,
    Reloaded,
    ReloadFailed,
    Registered,
    RegistrationLost,
    StoreLost,
    StoreBack,
    TableInForce,
    RecordRejected,
    MembersChanged,
    DomainsOut,
    RolloutOrdered,
    RolloutStatus,
    VersionBad,
    RolloutWriteFailed,
    LeavesListed,
    LeafStarted,
    LeafDraining,
    LeafUnlisted,
    LeavesDropped,
    LeafStanding,
    RequestEnded,
    RequestRefused,
    RequestHeld,
    CallerLeft,
    Breach,
    UnexpectedError,
    LinesDropped,
)


def event_name(kind: type[Any]) -> str:
    """Return the name under which an event is logged."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", kind.__name__).lower()


def weight_of(event: Any) -> Weight:
    """Return how an event fares when there is more to log than is allowed."""
    if isinstance(event, RequestEnded):
        whole = event.answered == event.parts and event.took_ms <= event.objective_ms
        return Weight.ROUTINE if whole else Weight.FAILURE
    if type(event) in FAILURES:
        return Weight.FAILURE
    return Weight.ROUTINE if type(event) in ROUTINE else Weight.CHANGE
