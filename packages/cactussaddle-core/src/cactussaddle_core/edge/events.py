"""The events handled by a node's reducer."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

from cactussaddle_core.waiting.room import NO_READING
from cactussaddle_core.waiting.room import HostReading

if TYPE_CHECKING:
    from cactussaddle_core.delegation.model import DelegateOutcome
    from cactussaddle_core.duties.events import Event as DutyEvent
    from cactussaddle_core.edge.state import EdgeRules
    from cactussaddle_core.fanout.model import CallEnd
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fleet.hints import Hint
    from cactussaddle_core.fleet.hints import LeavingNote
    from cactussaddle_core.fleet.model import LeafEntry
    from cactussaddle_core.fleet.probing import ProbeResult
    from cactussaddle_core.hold.table import HoldSnapshot
    from cactussaddle_core.hold.trials import TrialRecord
    from cactussaddle_core.hold.trials import WriteTrial
    from cactussaddle_core.limits.leaflimit import LimitNote
    from cactussaddle_core.limits.leaflimit import TrafficReport
    from cactussaddle_core.limits.roster import Enrolment
    from cactussaddle_core.rollouts.model import LeaderUpdate
    from cactussaddle_core.rollouts.model import RolloutOrder
    from cactussaddle_core.rollouts.model import RolloutStatus
    from cactussaddle_core.routing.table import RoutingTable
    from cactussaddle_core.spread.model import Member


class DelegateEnded(NamedTuple):
    """Another node has ended, refused or lost a query that it was handed."""

    req_id: int
    outcome: DelegateOutcome


class RequestArrived(NamedTuple):
    """A caller's request has been read completely; it has been on another node for `waited_s`."""

    request: CallerRequest
    waited_s: float = 0.0


class CallerGone(NamedTuple):
    """The caller closed its connection before the answer."""

    req_id: int


class CallLeft(NamedTuple):
    """A call's request has been sent to the leaf."""

    call_id: int
    host: HostReading = NO_READING


class CallEnded(NamedTuple):
    """A call has ended."""

    end: CallEnd
    host: HostReading = NO_READING


class Connected(NamedTuple):
    """Opening a connection to a leaf took `took_s`."""

    leaf: str
    took_s: float


class ConnectionDropped(NamedTuple):
    """A leaf has ended an idle connection before its time."""

    leaf: str


class ProbeEnded(NamedTuple):
    """A health probe of a leaf has ended; this node was itself busy for `busy_s` of its time."""

    leaf: str
    health: ProbeResult
    busy_s: float = 0.0


class TableSeen(NamedTuple):
    """A routing table was read."""

    table: RoutingTable


class LeavesListed(NamedTuple):
    """A complete listing of the leaf registry was read."""

    entries: tuple[LeafEntry, ...]


class LeafChanged(NamedTuple):
    """A registry entry was added or changed."""

    entry: LeafEntry


class LeafRemoved(NamedTuple):
    """A registry entry was removed."""

    leaf: str


class DomainMarked(NamedTuple):
    """A failure domain was taken out or put back; while `out`, its leaves get no new calls."""

    domain: str
    out: bool


class DomainsListed(NamedTuple):
    """The complete set of failure domains that are taken out."""

    domains: frozenset[str]


class MemberSeen(NamedTuple):
    """A node has registered."""

    member: Member


class MemberGone(NamedTuple):
    """A node's registration was removed."""

    node: str


class MembersListed(NamedTuple):
    """The complete list of registered nodes."""

    members: tuple[Member, ...]


class RosterListed(NamedTuple):
    """The complete list of the nodes that share the common limits."""

    nodes: frozenset[str]


class RosterChanged(NamedTuple):
    """A node was added to those that share the common limits, or was removed."""

    node: str
    listed: bool


class Enrolled(NamedTuple):
    """This node is written down among those that share the common limits."""

    enrolment: Enrolment


class RolloutsListed(NamedTuple):
    """The complete lists of roll-out orders and roll-out statuses."""

    orders: tuple[RolloutOrder, ...]
    statuses: tuple[RolloutStatus, ...]


class RolloutOrdered(NamedTuple):
    """The operators have ordered a service's traffic to be moved to a new version."""

    order: RolloutOrder


class RolloutCleared(NamedTuple):
    """A service's roll-out order was removed."""

    service: str


class RolloutStatusSeen(NamedTuple):
    """A roll-out's status was written."""

    status: RolloutStatus


class RolloutEvidenceHeard(NamedTuple):
    """Another node has sent its counts of calls to old and new versions."""

    data: bytes


class RolloutNewsHeard(NamedTuple):
    """The node that leads the roll-outs has sent their traffic shares."""

    news: LeaderUpdate


class HintsHeard(NamedTuple):
    """Another node has sent hints about leaves."""

    hints: tuple[Hint, ...]


class CrashesHeard(NamedTuple):
    """Another node has sent records of requests that crash leaves."""

    snapshot: HoldSnapshot


class TrialSeen(NamedTuple):
    """A suspect's record was written to the store."""

    record: TrialRecord


class TrialRemoved(NamedTuple):
    """A suspect's record was removed from the store, as of `revision`."""

    fingerprint: str
    revision: int


class TrialsListed(NamedTuple):
    """The complete list of suspects' records in the store."""

    records: tuple[TrialRecord, ...]


class TrialWritten(NamedTuple):
    """The store has answered a write, or not in time; `revision` is None unless it was carried out."""

    write: WriteTrial
    revision: int | None


class LimitsHeard(NamedTuple):
    """Another node has sent limits that leaves named in their answers to it."""

    notes: tuple[LimitNote, ...]


class LeavingHeard(NamedTuple):
    """Another node has sent the leaves that told it that they are leaving."""

    notes: tuple[LeavingNote, ...]


class TrafficHeard(NamedTuple):
    """Another node has sent the rate of its requests."""

    report: TrafficReport


class DutyNews(NamedTuple):
    """Something was read or heard that concerns the duty to report usage."""

    event: DutyEvent


class RecordRejected(NamedTuple):
    """A record in the store could not be decoded; `hides_keys` if it may have changed teams' keys."""

    key: str
    reason: str
    hides_keys: bool = False


class RecordsConfirmed(NamedTuple):
    """The store had no records, as of `at`, whose events have not been handled.

    `at` is in seconds of a clock that also counts the suspension of the host.
    """

    at: float


class StoreLost(NamedTuple):
    """`source` does not answer or its data is stale; the last fresh data came `age_s` ago."""

    reason: str
    source: str
    age_s: float


class StoreBack(NamedTuple):
    """`source` has delivered everything up to `revision`, as confirmed by the store `age_s` ago.

    The store's last known outage ended `outage_ended_s` ago; infinity if none is known.
    """

    source: str
    revision: int
    age_s: float
    outage_ended_s: float = math.inf


class StoreRestored(NamedTuple):
    """The store has come back from an older copy; `lost` records wait to be written again."""

    era: int
    lost: int


class RulesChanged(NamedTuple):
    """The settings were reloaded; `region_of` maps each failure domain to its region."""

    rules: EdgeRules
    region_of: dict[str, str]


class StopAsked(NamedTuple):
    """The process must exit within `grace_s` of the request, which was made `ago_s` ago at most."""

    grace_s: float
    ago_s: float = 0.0


class Tick(NamedTuple):
    """A timer may be due; `late_s` is the delay of this event behind its due time."""

    late_s: float = 0.0
    host: HostReading = NO_READING


Event: TypeAlias = (
    RequestArrived
    | CallerGone
    | DelegateEnded
    | CallLeft
    | CallEnded
    | Connected
    | ConnectionDropped
    | ProbeEnded
    | TableSeen
    | LeavesListed
    | LeafChanged
    | LeafRemoved
    | DomainMarked
    | DomainsListed
    | MemberSeen
    | MemberGone
    | MembersListed
    | RosterListed
    | RosterChanged
    | Enrolled
    | RolloutsListed
    | RolloutOrdered
    | RolloutCleared
    | RolloutStatusSeen
    | RolloutEvidenceHeard
    | RolloutNewsHeard
    | HintsHeard
    | CrashesHeard
    | LimitsHeard
    | TrafficHeard
    | LeavingHeard
    | TrialSeen
    | TrialRemoved
    | TrialsListed
    | TrialWritten
    | DutyNews
    | RecordRejected
    | RecordsConfirmed
    | StoreLost
    | StoreBack
    | StoreRestored
    | RulesChanged
    | StopAsked
    | Tick
)
