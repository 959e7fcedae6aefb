"""Inputs of the reducer of a duty."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactussaddle_core.duties.model import CountsNote
    from cactussaddle_core.duties.model import FrozenReport
    from cactussaddle_core.duties.model import HolderNote
    from cactussaddle_core.duties.model import StoredHolder
    from cactussaddle_core.duties.model import StoredReport
    from cactussaddle_core.duties.model import StoredTerm
    from cactussaddle_core.spread.model import Member


class Eras(NamedTuple):
    """The store's era as known before a call was sent and after its answer came; 0 if unknown.

    The call was carried out in an era between the two.
    """

    before: int
    after: int


class RecordsListed(NamedTuple):
    """A complete listing of the store was read."""

    holder: StoredHolder
    term: StoredTerm


class HolderSeen(NamedTuple):
    """The holder's record was written or removed."""

    holder: StoredHolder


class TermSeen(NamedTuple):
    """The term's record was written or removed."""

    term: StoredTerm


class LeaseGranted(NamedTuple):
    """The store has granted a lease; its time runs from after `asked_at`."""

    attempt: str
    lease: int
    ttl_s: float
    asked_at: float
    eras: Eras


class LeaseNotGranted(NamedTuple):
    """The store has granted no lease, or its answer was lost."""

    attempt: str
    reason: str


class TakeCommitted(NamedTuple):
    """The transaction that takes the duty was carried out at a revision."""

    attempt: str
    revision: int
    eras: Eras


class TakeRefused(NamedTuple):
    """The transaction was not carried out, as the records are now these."""

    attempt: str
    holder: StoredHolder
    term: StoredTerm


class TakeUnanswered(NamedTuple):
    """The transaction may have been carried out, or may be later."""

    attempt: str
    reason: str


class StoreRead(NamedTuple):
    """The duty's records as read for an attempt."""

    attempt: str
    holder: StoredHolder
    term: StoredTerm
    reports: tuple[StoredReport, ...]
    eras: Eras


class StoreNotRead(NamedTuple):
    """The duty's records could not be read."""

    attempt: str
    reason: str


class Renewed(NamedTuple):
    """A renewal of the lease has ended; `alive` is None without an answer that tells."""

    lease: int
    alive: bool | None
    asked_at: float
    eras: Eras


class Frozen(NamedTuple):
    """A report was written at a revision of its slot."""

    report: FrozenReport
    revision: int
    eras: Eras


class FreezeRefused(NamedTuple):
    """The report was not written, as the holder's record and the slot are now these."""

    window: int
    holder: StoredHolder
    report: StoredReport | None
    eras: Eras


class FreezeUnanswered(NamedTuple):
    """The report may have been written, or may be later."""

    window: int
    reason: str


class ReportAnswered(NamedTuple):
    """A call with a window's report has ended; `status` is None without an answer."""

    window: int
    token: int
    status: int | None
    detail: str


class CountsHeard(NamedTuple):
    """Another process has sent its counts."""

    note: CountsNote


class HolderHeard(NamedTuple):
    """The holder has sent a note."""

    note: HolderNote


class Tick(NamedTuple):
    """Time has passed; `wall_s` is this host's time of day, and `era` the store's, as known here."""

    wall_s: float
    era: int
    members: Mapping[str, Member]
    region_of: Mapping[str, str]
    stopping: bool


Event: TypeAlias = (
    RecordsListed
    | HolderSeen
    | TermSeen
    | LeaseGranted
    | LeaseNotGranted
    | TakeCommitted
    | TakeRefused
    | TakeUnanswered
    | StoreRead
    | StoreNotRead
    | Renewed
    | Frozen
    | FreezeRefused
    | FreezeUnanswered
    | ReportAnswered
    | CountsHeard
    | HolderHeard
    | Tick
)
