"""Interfaces of the platform adapter that encodes and decodes the users' protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from cactussaddle_common.http.message import OutgoingResponse
    from cactussaddle_common.http.message import RequestHead
    from cactussaddle_common.http.message import Response
    from cactussaddle_core.fanout.effects import Declined
    from cactussaddle_core.fanout.effects import Merged
    from cactussaddle_core.fanout.effects import Relayed
    from cactussaddle_core.fanout.model import CallEnd
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.fleet.probing import ProbeResult


class LeafWire(Protocol):
    """Protocol between the node and leaves."""

    def encode_call(self, request: CallerRequest, leaf: Leaf, deadline_s: float) -> bytes:
        """Return the encoded request of a call up to its body."""
        ...

    def is_answer_to(self, request: CallerRequest, response: Response) -> bool | None:
        """Return whether a response belongs to the request; None if it does not identify one."""
        ...

    def decode_call_end(self, call_id: int, response: Response) -> CallEnd:
        """Return the result of a call from its response."""
        ...

    def encode_probe(self, leaf: Leaf, health_path: str, *, kept: bool = False) -> bytes:
        """Encode a health probe; its connection is closed after it unless it is `kept`."""
        ...

    def is_health_answer(self, response: Response) -> bool:
        """Return whether a response answers a probe, and not an earlier call on its connection."""
        ...

    def decode_health(self, response: Response, work_s: float) -> ProbeResult:
        """Return the leaf's health from the response to a probe that took the leaf `work_s`."""
        ...


class CallerWire(Protocol):
    """Protocol between callers and the node."""

    def decode_request(self, req_id: int, head: RequestHead, body: bytes) -> CallerRequest | str:
        """Return the decoded request, or an error message if it is invalid."""
        ...

    def encode_merged(self, answer: Merged) -> OutgoingResponse:
        """Return the answer with merged records."""
        ...

    def encode_relayed(self, answer: Relayed) -> OutgoingResponse:
        """Return the answer with a leaf's reply."""
        ...

    def encode_declined(self, answer: Declined) -> OutgoingResponse:
        """Return the answer to a declined request."""
        ...
