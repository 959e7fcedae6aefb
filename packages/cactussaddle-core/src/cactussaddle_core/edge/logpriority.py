"""The names of log events, and which of them are dropped first when the log rate is limited."""

from __future__ import annotations

import enum
import re

from typing import Any

from cactussaddle_core.edge.logevents import Breach
from cactussaddle_core.edge.logevents import CallerLeft
from cactussaddle_core.edge.logevents import CallersClosed
from cactussaddle_core.edge.logevents import CallsLeftDomain
from cactussaddle_core.edge.logevents import CrashesLearned
from cactussaddle_core.edge.logevents import DataLeftUnread
from cactussaddle_core.edge.logevents import DomainsOut
from cactussaddle_core.edge.logevents import DutyLost
from cactussaddle_core.edge.logevents import DutyTaken
from cactussaddle_core.edge.logevents import KeyRefused
from cactussaddle_core.edge.logevents import KeyUnusable
from cactussaddle_core.edge.logevents import LeafCrashed
from cactussaddle_core.edge.logevents import LeafDraining
from cactussaddle_core.edge.logevents import LeafLimited
from cactussaddle_core.edge.logevents import LeafPaused
from cactussaddle_core.edge.logevents import LeafStanding
from cactussaddle_core.edge.logevents import LeafStarted
from cactussaddle_core.edge.logevents import LeafUnlisted
from cactussaddle_core.edge.logevents import LeavesDropped
from cactussaddle_core.edge.logevents import LeavesListed
from cactussaddle_core.edge.logevents import LimitShares
from cactussaddle_core.edge.logevents import LinesDropped
from cactussaddle_core.edge.logevents import MembersChanged
from cactussaddle_core.edge.logevents import QueryDelegated
from cactussaddle_core.edge.logevents import RecordRejected
from cactussaddle_core.edge.logevents import Registered
from cactussaddle_core.edge.logevents import RegistrationLost
from cactussaddle_core.edge.logevents import Reloaded
from cactussaddle_core.edge.logevents import ReloadFailed
from cactussaddle_core.edge.logevents import RemovedFromRoster
from cactussaddle_core.edge.logevents import RequestEnded
from cactussaddle_core.edge.logevents import RequestHeld
from cactussaddle_core.edge.logevents import RequestRefused
from cactussaddle_core.edge.logevents import RequestsDropped
from cactussaddle_core.edge.logevents import RolloutOrdered
from cactussaddle_core.edge.logevents import RolloutStatus
from cactussaddle_core.edge.logevents import RolloutWriteFailed
from cactussaddle_core.edge.logevents import Started
from cactussaddle_core.edge.logevents import StopAsked
from cactussaddle_core.edge.logevents import Stopped
from cactussaddle_core.edge.logevents import StopProgress
from cactussaddle_core.edge.logevents import StoreBack
from cactussaddle_core.edge.logevents import StoreLost
from cactussaddle_core.edge.logevents import StoreRestored
from cactussaddle_core.edge.logevents import SuspectTried
from cactussaddle_core.edge.logevents import TableInForce
from cactussaddle_core.edge.logevents import TeamUnreadable
from cactussaddle_core.edge.logevents import TrialWriteFailed
from cactussaddle_core.edge.logevents import UnexpectedError
from cactussaddle_core.edge.logevents import UsageMissed
from cactussaddle_core.edge.logevents import UsageReported
from cactussaddle_core.edge.logevents import UsageReportFailed
from cactussaddle_core.edge.logevents import VersionBad


class LogPriority(enum.IntEnum):
    """Priority of a log event when the log rate is limited; lower priorities are dropped first."""

    ROUTINE = 0
    CHANGE = 1
    FAILURE = 2


FAILURES: frozenset[type[Any]] = frozenset(
    {
        RequestRefused,
        CallersClosed,
        Breach,
        VersionBad,
        RolloutWriteFailed,
        UnexpectedError,
        LinesDropped,
        ReloadFailed,
        UsageReportFailed,
        UsageMissed,
    }
)
ROUTINE: frozenset[type[Any]] = frozenset(
    {LeafStarted, LeafStanding, LeafLimited, LeafPaused, CallsLeftDomain}
)
EVENTS: tuple[type[Any], ...] = (
    Started,
    Stopped,
    StopAsked,
    StopProgress,
    Reloaded,
    ReloadFailed,
    Registered,
    RegistrationLost,
    StoreLost,
    StoreBack,
    StoreRestored,
    TableInForce,
    RecordRejected,
    MembersChanged,
    LimitShares,
    RemovedFromRoster,
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
    LeafLimited,
    LeafPaused,
    CallsLeftDomain,
    RequestEnded,
    QueryDelegated,
    RequestRefused,
    KeyRefused,
    KeyUnusable,
    TeamUnreadable,
    LeafCrashed,
    CrashesLearned,
    RequestHeld,
    SuspectTried,
    TrialWriteFailed,
    CallerLeft,
    RequestsDropped,
    DataLeftUnread,
    DutyTaken,
    DutyLost,
    UsageReported,
    UsageReportFailed,
    UsageMissed,
    CallersClosed,
    Breach,
    UnexpectedError,
    LinesDropped,
)


DELEGATED_WELL = "status 200"


def event_name(kind: type[Any]) -> str:
    """Return the name under which an event is logged."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", kind.__name__).lower()


def log_priority(event: Any) -> LogPriority:
    """Return the priority of an event when the log rate is limited."""
    if isinstance(event, RequestEnded):
        whole = event.answered == event.parts and event.took_ms <= event.objective_ms
        return LogPriority.ROUTINE if whole else LogPriority.FAILURE
    if isinstance(event, QueryDelegated):
        return LogPriority.ROUTINE if event.result == DELEGATED_WELL else LogPriority.FAILURE
    if isinstance(event, CallerLeft | RequestsDropped):
        return LogPriority.FAILURE if event.stopping else LogPriority.CHANGE
    if type(event) in FAILURES:
        return LogPriority.FAILURE
    return LogPriority.ROUTINE if type(event) in ROUTINE else LogPriority.CHANGE
