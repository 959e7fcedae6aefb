"""Inputs and effects of the fan-out reducer."""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from cactussaddle_core.codes import ResultCode
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fanout.state import Query
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.fleet.model import Load

# The ways from and to a caller where they can't be measured.
USUAL_WAY_S = 0.006

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


class CallerRequest(NamedTuple):
    """A caller's whole request.

    `request_id` is the caller's own id, `patience_s` how long the caller waits from now on.
    `fingerprint` is the same for each sending of the same request. `way_s` is what the ways from
    and to the caller take, with the opening of the connection where it was opened for the request.
    """

    req_id: int
    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    patience_s: float
    fingerprint: str
    way_s: float = USUAL_WAY_S


class CallEnding(enum.StrEnum):
    """How a call at a leaf ended.

    After NOT_SENT and REFUSED the leaf has certainly not run it; NO_ROOM is a NOT_SENT of this
    node's own making. FAILED is a whole answer of the leaf that is no success, BROKEN a connection
    that ended or sent nonsense, CANCELLED a call that this node has ended.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    NO_ROOM = "no connection allowed"
    FAILED = "failed"
    BROKEN = "broken"
    CANCELLED = "cancelled"


NEVER_ARRIVED = frozenset({CallEnding.NOT_SENT, CallEnding.NO_ROOM})
NOT_RUN = NEVER_ARRIVED | {CallEnding.REFUSED}


class LeafReply(NamedTuple):
    """A leaf's whole answer; `signature` is empty where it signed nothing."""

    status: int
    headers: Headers
    body: bytes
    signature: str


class CallEnd(NamedTuple):
    """The end of a call; `detail` says in a few words what was seen.

    `wrong_leaf` says that another leaf has the address now.
    """

    call_id: int
    ending: CallEnding
    detail: str
    reply: LeafReply | None = None
    load: Load | None = None
    wrong_leaf: bool = False


class SendCall(NamedTuple):
    """Effect: send a query to a leaf."""

    call: Call


class EndCall(NamedTuple):
    """Effect: the answer is no longer needed; wait `linger_s` for it, then close the connection."""

    call: Call
    linger_s: float


class Merged(NamedTuple):
    """Effect: answer with the greatest records of the parts named by their signatures."""

    query: Query
    signatures: tuple[str, ...]
    missing: int
    records: bytes


class Relayed(NamedTuple):
    """Effect: answer with a leaf's reply as it is."""

    query: Query
    reply: LeafReply


class Declined(NamedTuple):
    """Effect: answer without a result; `ran` says that some leaf may have run the request."""

    req_id: int
    request_id: str
    code: ResultCode
    message: str
    ran: bool
    retry_after_s: float
    query: Query | None = None


class ProbeLeaf(NamedTuple):
    """Effect: ask a leaf for its health over a new connection."""

    leaf: Leaf


FanoutEffect: TypeAlias = SendCall | EndCall | Merged | Relayed | Declined | ProbeLeaf
