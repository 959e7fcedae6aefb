"""Request headers of calls, and the conversion of responses to replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_core.calls import CallOutcome
from cactussaddle_node.leafclient.model import HealthBody
from cactussaddle_node.leafclient.model import HealthError
from cactussaddle_node.leafclient.model import LeafHealth
from cactussaddle_node.leafclient.model import LeafReply
from cactussaddle_node.leafclient.model import LeafRequest
from cactussaddle_node.leafclient.model import outcome_of_status

if TYPE_CHECKING:
    from cactussaddle_node.leafclient.connection import Header
    from cactussaddle_node.leafclient.connection import Response

_health_decoder = msgspec.json.Decoder(type=HealthBody)


def read_health(response: Response) -> Result[LeafHealth, HealthError]:
    """Decode the health report in a complete response."""
    if response.status != 200:
        return Failure(HealthError(outcome_of_status(response.status), f"HTTP {response.status}"))
    try:
        return Success(LeafHealth(**_health_decoder.decode(response.body)))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Failure(HealthError(CallOutcome.FAILED, str(exc)))


def call_reply(response: Response, latency_s: float, connect_s: float) -> LeafReply:
    """Convert a complete response to a reply."""
    return LeafReply(
        kind=outcome_of_status(response.status),
        status=response.status,
        body=response.body,
        latency_s=latency_s,
        connect_s=connect_s,
        sent=True,
        ended=True,
        retry_after_s=retry_after_s(response),
    )


def call_headers(host: bytes, req: LeafRequest, left_s: float) -> list[Header]:
    """Return the request headers of a call whose deadline is `left_s` seconds away."""
    headers = [
        (b"host", host),
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(req.body)),
        (b"x-call-id", req.call_id.encode("ascii")),
        (b"x-route", req.route.encode("ascii")),
        (b"x-deadline-ms", b"%d" % max(1, int(left_s * 1000))),
    ]
    if req.snapshot is not None:
        headers.append((b"x-snapshot", b"%d" % req.snapshot))
    if req.idempotency_key is not None:
        headers.append((b"idempotency-key", req.idempotency_key.encode("ascii")))
    return headers


def retry_after_s(response: Response) -> float:
    """Return the response's `Retry-After` in seconds, or 0 if absent or malformed."""
    value = response.header(b"retry-after")
    try:
        return max(0.0, float(value)) if value is not None else 0.0
    except ValueError:
        return 0.0
