"""Inputs of the fan-out reducer."""

from __future__ import annotations

import enum
import math

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

from cactussaddle_core.access.credential import NO_CREDENTIAL

if TYPE_CHECKING:
    from cactussaddle_core.access.credential import Credential
    from cactussaddle_core.fleet.model import LeafNotice
    from cactussaddle_core.fleet.model import Load

# Round-trip time to a caller that is assumed where it can't be measured.
DEFAULT_CALLER_RTT_S = 0.006

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


class CallerRequest(NamedTuple):
    """A caller's complete request.

    `request_id` is the caller's own id, `timeout_s` how long the caller still waits for an answer.
    `fingerprint` is the same each time the same request is sent. `caller_rtt_s` is the round-trip time to
    the caller, including the connection setup if the connection was opened for this request. `team` is
    the team on whose behalf the request is made, empty where requests carry no keys. `credential` is what
    the request says about its team; `headers` leave that out. It was sent at `sent_by` or before, in seconds
    of the clock on which the store's confirmations are timed. A `delegated` request was handed to this node by
    the one that its caller is connected to.
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
    team: str = ""
    delegated: bool = False
    credential: Credential = NO_CREDENTIAL
    sent_by: float = math.inf


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
    """A leaf's complete response; `signature` is empty if the leaf did not sign it.

    `denies_run` is set if a caller would read its status as the promise that the request has not run.
    """

    status: int
    headers: Headers
    body: bytes
    signature: str
    denies_run: bool = False


class CallEnd(NamedTuple):
    """The end of a call; `detail` briefly describes what was observed.

    `wrong_leaf` means that another leaf now has the address. `notice` is None without an answer of the leaf.
    """

    call_id: int
    ending: CallEnding
    detail: str
    reply: LeafReply | None = None
    load: Load | None = None
    wrong_leaf: bool = False
    notice: LeafNotice | None = None
