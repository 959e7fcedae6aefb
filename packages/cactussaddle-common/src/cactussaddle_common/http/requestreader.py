"""Reading of callers' HTTP requests from bytes as they come, by httptools."""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple

import httptools

from cactussaddle_common.http.bounds import MessageSize
from cactussaddle_common.http.message import RequestHead

if TYPE_CHECKING:
    from cactussaddle_core.routing.model import CallerLimits


class Fault(enum.IntEnum):
    """What is wrong with what a caller sent, by its HTTP status."""

    MALFORMED = 400
    BODY_TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431


class IncomingRequest(NamedTuple):
    """A whole request; `keep_alive` says whether the connection can serve another."""

    head: RequestHead
    body: bytes
    keep_alive: bool


class RequestFaultError(ValueError):
    """What the caller sent can't be served."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault


class RequestReader:
    """Collects the requests on one connection.

    `begun` is true from the first byte of a request until its last; `head_done` once its headers
    are in; `expects_continue` while the caller waits to be told to send the body.
    """

    def __init__(self, *, limits: CallerLimits) -> None:
        self.limits = limits
        self.requests: list[IncomingRequest] = []
        self.finished = 0
        self.begun = False
        self.head_done = False
        self.expects_continue = False
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    @property
    def received(self) -> int:
        """Bytes of the request under way."""
        return self._size.raw

    def feed(self, data: bytes) -> None:
        """Take in bytes; raise `RequestFaultError` when they can't be served."""
        finished = self.finished
        self.begun = True
        self._size.raw += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise RequestFaultError(Fault.MALFORMED, "upgrade is not served") from exc
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            if isinstance(cause, RequestFaultError):
                raise cause from None
            raise RequestFaultError(Fault.MALFORMED, str(exc)) from exc
        if self.begun and not self.head_done and self.finished == finished:
            self._unparsed += len(data)
            if self._unparsed > self.limits.max_header_bytes:
                raise RequestFaultError(Fault.HEADERS_TOO_LARGE, "headers too large")
        if self._size.frames_too_much(self.limits.max_header_bytes):
            raise RequestFaultError(Fault.MALFORMED, "no end of the framing")

    def on_message_begin(self) -> None:
        """Begin a request (called by the parser)."""
        self._reset()
        self.begun = True

    def on_url(self, url: bytes) -> None:
        """Take in a piece of the target (called by the parser)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header (called by the parser)."""
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes + len(self._target) > self.limits.max_header_bytes:
            raise RequestFaultError(Fault.HEADERS_TOO_LARGE, "headers too large")
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note that the body follows (called by the parser)."""
        self.head_done = True

    def on_body(self, data: bytes) -> None:
        """Take in a piece of the body (called by the parser)."""
        self._size.body += len(data)
        if self._size.body > self.limits.max_body_bytes:
            raise RequestFaultError(Fault.BODY_TOO_LARGE, "body too large")
        self._body += data

    def on_message_complete(self) -> None:
        """Keep the whole request (called by the parser)."""
        head = RequestHead(self._parser.get_method(), self._target, tuple(self._headers))
        keep_alive = self._parser.should_keep_alive()
        self.requests.append(IncomingRequest(head, bytes(self._body), keep_alive))
        self.finished += 1
        self._reset()

    def _reset(self) -> None:
        self.begun = False
        self.head_done = False
        self.expects_continue = False
        self._unparsed = 0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._size = MessageSize()
