"""All log events of a node and their fields; docs/OPERATIONS.md contains the same table.

An event is logged under its class name in snake case. Names of durations end in `_ms` or `_s`.
"""

from __future__ import annotations

from typing import NamedTuple

# Fingerprints listed in one line.
MAX_LOGGED_FINGERPRINTS = 8
# Requests listed in one line.
MAX_LOGGED_REQUESTS = 16
# Keys and teams that can't be used, listed for one configuration.
MAX_LOGGED_KEYS = 16
# Longest text of a caller in one line.
MAX_LOGGED_TEXT = 120


class Started(NamedTuple):
    """The process has started."""

    domain: str
    address: str
    pid: int
    cores: float
    memory_mb: int


class Stopped(NamedTuple):
    """The process is about to exit; `connections` of callers are still open."""

    requests: int
    connections: int


class StopAsked(NamedTuple):
    """The platform has asked the process to stop, `ago_s` ago at most; it has run for `uptime_s`."""

    grace_s: float
    ago_s: float
    requests: int
    uptime_s: float


class StopProgress(NamedTuple):
    """The process has been stopping for `since_s`; `open` names the oldest of its `requests`.

    A process that is killed writes no line at the end of the requests that are cut. `open` is cut at
    `MAX_LOGGED_REQUESTS`.
    """

    since_s: float
    phase: str
    requests: int
    open: tuple[str, ...]


class Reloaded(NamedTuple):
    """The settings file was reloaded; `restart_for` lists changes that require a restart."""

    restart_for: tuple[str, ...]


class ReloadFailed(NamedTuple):
    """The settings file is invalid; the previous settings remain in force."""

    reason: str


class Registered(NamedTuple):
    """This node has registered in the store."""

    lease: int


class RegistrationLost(NamedTuple):
    """This node is not registered in the store, or its lease has expired."""

    reason: str


class StoreLost(NamedTuple):
    """The store, or the node followed, does not answer or has only stale data."""

    reason: str
    source: str
    age_s: float


class StoreBack(NamedTuple):
    """Fresh data from the store is available again."""

    source: str
    away_s: float
    revision: int


class StoreRestored(NamedTuple):
    """The store has come back from an older copy; `lost` of its records are expected to be written again."""

    era: int
    lost: int


class QueryDelegated(NamedTuple):
    """A query that another node ran for this one has ended."""

    request: str
    route: str
    delegate: str
    result: str
    message: str
    table: int
    took_ms: float


class TableInForce(NamedTuple):
    """A newer routing table is in force."""

    version: int
    before: int
    routes: int


class RecordRejected(NamedTuple):
    """A record in the store could not be decoded and is ignored."""

    key: str
    reason: str


class MembersChanged(NamedTuple):
    """The set of nodes changed; this one follows `follows`, with the store after `store_at` of
    them.
    """

    nodes: int
    follows: tuple[str, ...]
    store_at: int


class LimitShares(NamedTuple):
    """By how many nodes the common limits are divided, of which `registered` are registered now.

    0 if this node has no share yet. `has_reserve` tells whether it may spend in its first window.
    """

    nodes: int
    registered: int
    has_reserve: bool


class RemovedFromRoster(NamedTuple):
    """A node that has long been unregistered no longer counts; `reason` is why it could not be removed."""

    gone: str
    reason: str


class DomainsOut(NamedTuple):
    """The failure domains whose leaves get no new calls."""

    domains: tuple[str, ...]


class RolloutOrdered(NamedTuple):
    """The operators have ordered a service's traffic to be moved to a new version."""

    service: str
    version: str
    lasts_s: float
    revision: int


class RolloutStatus(NamedTuple):
    """A roll-out's state, as written in the store."""

    service: str
    version: str
    state: str


class VersionBad(NamedTuple):
    """`judge`, a node, has found the new version of a roll-out to be bad; it gets no more calls."""

    rollout: str
    reason: str
    judge: str


class RolloutWriteFailed(NamedTuple):
    """A roll-out's status could not be written; the write is retried while it is due."""

    rollout: str
    state: str
    reason: str


class LeavesListed(NamedTuple):
    """A complete listing of the leaves was read."""

    leaves: int


class LeafStarted(NamedTuple):
    """A leaf has registered, or has registered again after a restart."""

    leaf: str
    service: str
    domain: str
    version: str
    cold_s: float


class LeafDraining(NamedTuple):
    """A leaf reports that it is draining."""

    leaf: str


class LeafUnlisted(NamedTuple):
    """A leaf's entry was removed; it gets calls for `keeps_s` more, as entries expire in outages."""

    leaf: str
    keeps_s: float


class LeavesDropped(NamedTuple):
    """Leaves that have left the registry and get no more calls."""

    leaves: tuple[str, ...]


class LeafStanding(NamedTuple):
    """A leaf's availability has changed; `cause` is the observation behind it."""

    leaf: str
    standing: str
    cause: str
    slowness: float
    faults: float


class LeafLimited(NamedTuple):
    """A leaf takes only `per_s` requests a second from all nodes together; null: no longer limited."""

    leaf: str
    per_s: float | None


class LeafPaused(NamedTuple):
    """A leaf has asked this node to send nothing for `asked_s`; the node keeps to `kept_s`."""

    leaf: str
    asked_s: float
    kept_s: float


class CallsLeftDomain(NamedTuple):
    """Calls went to farther leaves than the nearest in the last 10 s; `calls` counts them by reason.

    `switches` counts since the start how often a service's calls have begun to leave or returned.
    """

    calls: dict[str, int]
    switches: int


class CallTrace(NamedTuple):
    """One call of a request: when it was sent and ended, why it was made, and how it ended.

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
    """A caller's request was answered; `calls` holds the calls that explain the result.

    `fingerprint` is the same for each repetition of the same request. It waited for `waited_ms` of
    `took_ms` before it began.
    """

    request: str
    fingerprint: str
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
    waited_ms: float = 0.0


class RequestRefused(NamedTuple):
    """A caller's request was refused before it started.

    `table` is the version of the routing table in force (0: none) and `registry_age_s` the time since
    the store confirmed it; `host` and `path` are cut at `MAX_LOGGED_TEXT` characters.
    """

    request: str
    fingerprint: str
    host: str
    path: str
    table: int
    registry_age_s: float
    result: str
    message: str
    retry_after_ms: float


class KeyRefused(NamedTuple):
    """A caller's request was refused for its key, given by fingerprint (empty: none).

    The fingerprint is the start of the key's SHA-256 digest. `table` and `registry_age_s` are as for other
    refusals.
    """

    request: str
    key: str
    reason: str
    host: str
    path: str
    table: int
    registry_age_s: float
    result: str
    retry_after_ms: float


class KeyUnusable(NamedTuple):
    """A configured key, given by fingerprint, is usable for none of the `teams` that list it."""

    key: str
    teams: tuple[str, ...]
    reason: str


class TeamUnreadable(NamedTuple):
    """A team of the configuration could not be read; its keys are unknown."""

    reason: str


class LeafCrashed(NamedTuple):
    """A leaf went down with calls of this node that got no answer, listed by request fingerprint.

    `broken` were ended by the leaf, `unanswered` by this node. Each list is cut at
    `MAX_LOGGED_FINGERPRINTS`; `requests` counts them all.
    """

    leaf: str
    born_ms: int
    requests: int
    broken: tuple[str, ...]
    unanswered: tuple[str, ...]


class CrashesLearned(NamedTuple):
    """Another node has reported crashes that were not known here, of this many leaves and requests."""

    leaves: int
    requests: int


class RequestHeld(NamedTuple):
    """A request, given by fingerprint, may run only as a trial: leaves went down under it, `leaf` last."""

    fingerprint: str
    leaf: str


class SuspectTried(NamedTuple):
    """A held request was tried; `trials` counts this trial and those before that did not end well."""

    fingerprint: str
    outcome: str
    trials: int


class TrialWriteFailed(NamedTuple):
    """A held request's record could not be written or removed; it is not tried, or written again."""

    fingerprint: str
    reason: str


class CallerLeft(NamedTuple):
    """A connection ended before the answer to its request, whose calls were cancelled.

    `route` is empty if the request had not been started. `stopping` is set if the node was asked to
    stop before.
    """

    request: str
    route: str
    after_ms: float
    calls: int
    stopping: bool


class RequestsDropped(NamedTuple):
    """What a caller had sent was read and dropped: whole `requests`, by id, or an `unfinished` one.

    `reason` tells what had ended the connection before. Bytes that were not parsed any more count as
    an unfinished request.
    """

    reason: str
    requests: tuple[str, ...]
    unfinished: bool
    stopping: bool


class DataLeftUnread(NamedTuple):
    """A caller has sent more on a connection that had been closed for sending; it was not read."""

    stopping: bool


class DutyTaken(NamedTuple):
    """This node now holds the duty to report usage; `before` held it last, `reason` is why it was free."""

    token: int
    before: str
    reason: str


class DutyLost(NamedTuple):
    """This node no longer holds the duty to report usage."""

    token: int
    reason: str
    held_s: float


class UsageReported(NamedTuple):
    """The platform has accepted a window's usage, `after_ms` after the window's end."""

    window: int
    total: int
    teams: int
    after_ms: float
    attempts: int


class UsageReportFailed(NamedTuple):
    """A call with a window's usage was refused or got no answer; the same counts are sent again."""

    window: int
    token: int
    attempts: int
    reason: str


class UsageMissed(NamedTuple):
    """A window's usage was not reported in time; `reason` tells how far it came."""

    window: int
    reason: str


class CallersClosed(NamedTuple):
    """Callers were refused, or their connections closed, for want of room; counted by reason."""

    by_reason: dict[str, int]
    held_mb: float
    connections: int


class Breach(NamedTuple):
    """An invariant of the program was violated."""

    promise: str
    detail: str


class UnexpectedError(NamedTuple):
    """A task or an event handler raised an unexpected exception; the node continues."""

    task: str
    error: str
    where: str


class LinesDropped(NamedTuple):
    """Lines dropped since the last such line, counted by event."""

    by_event: dict[str, int]
