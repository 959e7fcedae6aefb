"""HTTP endpoints of a node: callers' requests, health, state dump and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from quart import Response
from quart import request
from quart_trio import QuartTrio

from cactussaddle_core.codes import CODE_INFO
from cactussaddle_core.codes import ResultCode
from cactussaddle_core.node.events import CallerRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cactussaddle_core.node.effects import Answer

DEFAULT_LIMIT = 10
MAX_LIMIT = 1000
MAX_DEADLINE_MS = 60_000.0
MAX_BODY_BYTES = 256 * 1024
MAX_KEY_CHARS = 128


class Handlers(NamedTuple):
    """The daemon's functions that the HTTP endpoints call."""

    submit: Callable[[CallerRequest], Awaitable[Answer]]
    next_id: Callable[[], int]
    healthy: Callable[[], bool]
    dump: Callable[[], dict[str, Any]]
    metrics: Callable[[], tuple[bytes, str]]


class Body(msgspec.Struct):
    """A caller's JSON body; `query` is passed to the leaves unchanged."""

    query: msgspec.Raw
    limit: int = DEFAULT_LIMIT


class BadRequestError(ValueError):
    """A caller's request is malformed; the message names the invalid field."""


_body_decoder = msgspec.json.Decoder(Body)


def make_app(handlers: Handlers) -> QuartTrio:
    """Create the HTTP application."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES

    @app.post("/v1/routes/<route>")
    async def routes(route: str) -> Response:
        try:
            event = _caller_request(handlers.next_id(), route, await _body())
        except BadRequestError as exc:
            return _bad_request(str(exc))
        answer = await handlers.submit(event)
        return _json(answer.status, answer.doc, answer.retry_after_s)

    @app.get("/healthz")
    async def healthz() -> Response:
        healthy = handlers.healthy()
        return _json(200 if healthy else 503, {"healthy": healthy}, 0.0)

    @app.get("/state")
    async def state() -> Response:
        return _json(200, handlers.dump(), 0.0)

    @app.get("/metrics")
    async def metrics() -> Response:
        data, content_type = handlers.metrics()
        return Response(data, status=200, content_type=content_type)

    return app


def _caller_request(req_id: int, route: str, data: bytes) -> CallerRequest:
    try:
        body = _body_decoder.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise BadRequestError(f"body: {exc}") from exc
    if not 1 <= body.limit <= MAX_LIMIT:
        raise BadRequestError(f"limit: {body.limit} is not between 1 and {MAX_LIMIT}")
    key = request.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
        raise BadRequestError(
            f"Idempotency-Key: must be at most {MAX_KEY_CHARS} printable ASCII characters"
        )
    return CallerRequest(
        req_id=req_id,
        route=route,
        body=bytes(body.query),
        limit=body.limit,
        deadline_ms=_number("X-Deadline-Ms", 1.0, MAX_DEADLINE_MS),
        min_coverage=_number("X-Min-Coverage", 0.0, 1.0),
        key=key,
        repeat=request.headers.get("X-Repeat", "") == "1",
    )


async def _body() -> bytes:
    data = await request.get_data()
    return data if isinstance(data, bytes) else data.encode()


def _number(name: str, low: float, high: float) -> float | None:
    text = request.headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not low <= value <= high:
        raise BadRequestError(f"{name}: {text!r} is not a number between {low:g} and {high:g}")
    return value


def _bad_request(message: str) -> Response:
    code = ResultCode.BAD_REQUEST
    doc = {"code": int(code), "name": code.name, "message": message}
    return _json(CODE_INFO[code].status, doc, 0.0)


def _json(status: int, doc: dict[str, Any], retry_after_s: float) -> Response:
    resp = Response(msgspec.json.encode(doc), status=status, content_type="application/json")
    if retry_after_s > 0.0:
        resp.headers["Retry-After"] = str(max(1, round(retry_after_s)))
    return resp
