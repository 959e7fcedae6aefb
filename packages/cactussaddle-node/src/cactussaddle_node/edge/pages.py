"""The node's own HTTP pages: readiness for the load balancer, state and metrics for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs

import msgspec

from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_core.routing.model import DEFAULT_CALLER_LIMITS
from cactussaddle_node.edge.internalhooks import internal_hooks

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.requestreader import IncomingRequest
    from cactussaddle_node.edge.caller import CallerConnection
    from cactussaddle_node.edge.caller import CallerHooks
    from cactussaddle_node.edge.listener import Listener

WHERE_PATH = b"/where"
# The pages take no bodies.
PAGE_LIMITS = DEFAULT_CALLER_LIMITS._replace(max_header_bytes=8_192, max_body_bytes=1_024)
JSON = ((b"Content-Type", b"application/json"),)


class PageSources(NamedTuple):
    """Functions that supply the contents of the pages."""

    ready: Callable[[], bool]
    dump: Callable[[], dict[str, Any]]
    metrics: Callable[[], tuple[bytes, str]]
    explain: Callable[[str, str, str], Any]


class Pages:
    """Serves the pages; `ready_path` is the path of the load balancer's readiness check."""

    def __init__(self, *, ready_path: bytes, sources: PageSources) -> None:
        self._ready_path = ready_path
        self._sources = sources

    def hooks(self, listener: Listener) -> CallerHooks:
        """Return the callbacks for connections on a listener that serves these pages."""
        return internal_hooks(listener, self._on_request, limits=PAGE_LIMITS)

    def _on_request(
        self, number: int, connection: CallerConnection, request: IncomingRequest
    ) -> None:
        path, _, query = request.head.target.partition(b"?")
        connection.answer(number, self._page(path, query))

    def _page(self, path: bytes, query: bytes) -> OutgoingResponse:
        if path == self._ready_path:
            return OutgoingResponse(200 if self._sources.ready() else 503, (), b"")
        if path == b"/state":
            return OutgoingResponse(
                200, JSON, msgspec.json.encode(self._sources.dump(), enc_hook=str)
            )
        if path == WHERE_PATH:
            return self._where(parse_qs(query.decode("latin-1")))
        if path == b"/metrics":
            data, kind = self._sources.metrics()
            return OutgoingResponse(200, ((b"Content-Type", kind.encode("ascii")),), data)
        return OutgoingResponse(404, (), b"no such page")

    def _where(self, asked: dict[str, list[str]]) -> OutgoingResponse:
        """Return where a request for a host and path would go now, if a team sent it."""
        host, path, team = (asked.get(name, [""])[0] for name in ("host", "path", "team"))
        if not host or not path.startswith("/"):
            return OutgoingResponse(
                400, (), b"host, and a path that begins with a slash, are needed"
            )
        view = msgspec.json.encode(_as_dict(self._sources.explain(host.lower(), path, team)))
        return OutgoingResponse(200, JSON, view)


def _as_dict(view: Any) -> Any:
    """Return named tuples as objects with their field names."""
    if hasattr(view, "_asdict"):
        return {name: _as_dict(value) for name, value in view._asdict().items()}
    if isinstance(view, tuple):
        return [_as_dict(item) for item in view]
    return view
