"""Effects returned by the reducer of a duty."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from cactussaddle_core.duties.model import CountsNote
    from cactussaddle_core.duties.model import FrozenReport
    from cactussaddle_core.duties.model import HolderNote
    from cactussaddle_core.duties.model import HolderRecord
    from cactussaddle_core.duties.model import TermRecord
    from cactussaddle_core.spread.model import Member


class GrantLease(NamedTuple):
    """Ask the store for a lease."""

    attempt: str
    ttl_s: float


class TakeDuty(NamedTuple):
    """Write both records if there is no holder and the term's record is at `term_revision`."""

    attempt: str
    lease: int
    holder: HolderRecord
    term: TermRecord
    term_revision: int


class ReadStore(NamedTuple):
    """Read the duty's records."""

    attempt: str


class RenewLease(NamedTuple):
    """Renew the lease."""

    lease: int


class ReleaseLease(NamedTuple):
    """End the lease, and with it the holder's record."""

    lease: int


class FreezeReport(NamedTuple):
    """Write a window's report if the holder's record and the slot are at these revisions."""

    report: FrozenReport
    holder_revision: int
    slot_revision: int


class SendReport(NamedTuple):
    """Send a window's report, unless the clock shows `live_until` or the store another era by then."""

    report: FrozenReport
    token: int
    live_until: float
    era: int


class SendCounts(NamedTuple):
    """Send this process's counts to the members; delivery is not guaranteed."""

    members: tuple[Member, ...]
    note: CountsNote


class SendNote(NamedTuple):
    """Send a member the holder's note; delivery is not guaranteed."""

    member: Member
    note: HolderNote


class Note(NamedTuple):
    """Write a log line; `event` is an instance of a class in `cactussaddle_core.edge.logevents`."""

    event: Any


Effect: TypeAlias = (
    GrantLease
    | TakeDuty
    | ReadStore
    | RenewLease
    | ReleaseLease
    | FreezeReport
    | SendReport
    | SendCounts
    | SendNote
    | Note
)
