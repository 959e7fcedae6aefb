"""Effects of the fan-out reducer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

from cactussaddle_core.access.credential import KeyFault

if TYPE_CHECKING:
    from cactussaddle_core.codes import ResultCode
    from cactussaddle_core.fanout.model import LeafReply
    from cactussaddle_core.fanout.state import Call
    from cactussaddle_core.fanout.state import Query
    from cactussaddle_core.fleet.leaf import Leaf


class SendCall(NamedTuple):
    """Effect: send a query to a leaf."""

    call: Call


class EndCall(NamedTuple):
    """Effect: a call's answer is no longer needed; close its connection after `linger_s`.

    `is_suspect` is set if the call is overdue though its leaf is not known to be full: its connection
    may have gone silent, and with it all others of the same way.
    """

    call: Call
    linger_s: float
    is_suspect: bool


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
    """Effect: answer without a result; `ran` means that some leaf may have run the request.

    `query` is None if the request was refused before it started; `fingerprint`, `host` and `path` are
    then its own. `key_fault` is set if its key was refused, and `key` is then the fingerprint of the key.
    """

    req_id: int
    request_id: str
    code: ResultCode
    message: str
    ran: bool
    retry_after_s: float
    query: Query | None = None
    fingerprint: str = ""
    host: str = ""
    path: str = ""
    key_fault: KeyFault = KeyFault.NONE
    key: str = ""


class ProbeLeaf(NamedTuple):
    """Effect: check a leaf's health over a new connection."""

    leaf: Leaf


FanoutEffect: TypeAlias = SendCall | EndCall | Merged | Relayed | Declined | ProbeLeaf
