"""What the node asks of the adapter that speaks the users' protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from cactussaddle_common.http.message import Answer
    from cactussaddle_common.http.message import RequestHead
    from cactussaddle_common.http.message import Response
    from cactussaddle_core.fanout.model import CallEnd
    from cactussaddle_core.fanout.model import CallerRequest
    from cactussaddle_core.fanout.model import Declined
    from cactussaddle_core.fanout.model import Merged
    from cactussaddle_core.fanout.model import Relayed
    from cactussaddle_core.fleet.leaf import Leaf
    from cactussaddle_core.fleet.probing import Health


class LeafWire(Protocol):
    """How leaves are spoken to."""

    def encode_call(self, request: CallerRequest, leaf: Leaf, deadline_s: float) -> bytes:
        """Return the bytes of a call."""
        ...

    def is_answer_to(self, request: CallerRequest, response: Response) -> bool | None:
        """Return whether a response belongs to the request; None where it doesn't tell."""
        ...

    def decode_end(self, call_id: int, response: Response) -> CallEnd:
        """Return what a response says of its call."""
        ...

    def encode_probe(self, leaf: Leaf, health_path: str) -> bytes:
        """Return the bytes of a health probe."""
        ...

    def decode_health(self, response: Response, work_s: float) -> Health:
        """Return what a response to a health probe says, and that it took `work_s`."""
        ...


class CallerWire(Protocol):
    """How callers are spoken to."""

    def decode_request(self, req_id: int, head: RequestHead, body: bytes) -> CallerRequest | str:
        """Return the request, or what is wrong with it."""
        ...

    def encode_merged(self, answer: Merged) -> Answer:
        """Return the answer with merged records."""
        ...

    def encode_relayed(self, answer: Relayed) -> Answer:
        """Return the answer with a leaf's reply."""
        ...

    def encode_declined(self, answer: Declined) -> Answer:
        """Return the answer without a result."""
        ...
