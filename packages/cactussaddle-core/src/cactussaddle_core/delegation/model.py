"""Queries that this node has handed to another node, and what comes back."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fanout.model import Headers
    from cactussaddle_core.routing.model import Route
    from cactussaddle_core.spread.model import Member


class Delegated(NamedTuple):
    """A query that `member` runs for this node; times are of this node's monotonic clock.

    The request keeps its credential apart, as it may still be run here by a later table that names teams.
    Both nodes use the routing table of `table_version`, which names none. The delegate is given up at `give_up_at` if it has
    answered nothing else meanwhile, and at `end_at` in any case.
    """

    request: CallerRequest
    route: Route
    table_version: int
    member: Member
    arrived_at: float
    sent_at: float
    give_up_at: float
    end_at: float


class DelegateReplied(NamedTuple):
    """The delegate's answer for the caller, whether a result or a refusal, as the caller gets it."""

    status: int
    headers: Headers
    body: bytes


class DelegateRefused(NamedTuple):
    """The delegate has certainly not begun the query: it refused, or was not reached."""

    reason: str


class DelegateLost(NamedTuple):
    """The delegate may have begun the query, and its answer was lost."""

    reason: str


DelegateOutcome: TypeAlias = DelegateReplied | DelegateRefused | DelegateLost


class SendDelegated(NamedTuple):
    """Effect: hand a query to another node."""

    delegated: Delegated


class CancelDelegated(NamedTuple):
    """Effect: close the exchange with the delegate, which then ends the query's calls."""

    req_id: int


class DelegateAnswered(NamedTuple):
    """Effect: pass a delegate's answer on to the caller."""

    delegated: Delegated
    reply: DelegateReplied
