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

# Round-trip time to a caller that is assumed where it can't be measured.
DEFAULT_CALLER_RTT_S = 0.006

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


class CallerRequest(NamedTuple):
    """A caller's complete request.

    `request_id` is the caller's own id, `timeout_s` how long the caller still waits for an answer.
    `fingerprint` is the same each time the same request is sent. `caller_rtt_s` is the round-trip time to
    the caller, including the connection setup if the connection was opened for this request.
    """

    req_id: int
    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    timeout_s: float
    fingerprint: str
    caller_rtt_s: float = DEFAULT_CALLER_RTT_S


class CallEnding(enum.StrEnum):
    """How a call at a leaf ended.

    After NOT_SENT and REFUSED the leaf has certainly not run the call. NO_ROOM is like NOT_SENT, but
    caused by this node's own connection limit. FAILED is a complete response of the leaf that is not
    a success, BROKEN a connection that was closed or sent invalid data, CANCELLED a call that this
    node ended.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    CONNECTION_LIMIT = "no connection allowed"
    FAILED = "failed"
    BROKEN = "broken"
    CANCELLED = "cancelled"


NEVER_ARRIVED = frozenset({CallEnding.NOT_SENT, CallEnding.CONNECTION_LIMIT})
NOT_RUN = NEVER_ARRIVED | {CallEnding.REFUSED}


class LeafReply(NamedTuple):
    """A leaf's complete response; `signature` is empty if the leaf did not sign it."""

    status: int
    headers: Headers
    body: bytes
    signature: str


class CallEnd(NamedTuple):
    """The end of a call; `detail` briefly describes what was observed.

    `wrong_leaf` means that another leaf now has the address.
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
    """Effect: a call's answer is no longer needed; close its connection after `linger_s`."""

    call: Call
    linger_s: float


class Merged(NamedTuple):
    """Effect: answer with the top records of the parts that `signatures` identify."""

    query: Query
    signatures: tuple[str, ...]
    missing: int
    records: bytes


class Relayed(NamedTuple):
    """Effect: answer with a leaf's reply unchanged."""

    query: Query
    reply: LeafReply


class Declined(NamedTuple):
    """Effect: answer without a result; `ran` means that some leaf may have run the request."""

    req_id: int
    request_id: str
    code: ResultCode
    message: str
    ran: bool
    retry_after_s: float
    query: Query | None = None


class ProbeLeaf(NamedTuple):
    """Effect: check a leaf's health over a new connection."""

    leaf: Leaf


FanoutEffect: TypeAlias = SendCall | EndCall | Merged | Relayed | Declined | ProbeLeaf
