"""Incremental parsing of callers' HTTP requests with httptools."""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import NamedTuple

import httptools

from cactussaddle_common.http.bounds import MessageSize
from cactussaddle_common.http.message import RequestHead

if TYPE_CHECKING:
    from cactussaddle_core.routing.model import CallerLimits

# Announced lengths with more digits exceed any limit.
MAX_LENGTH_DIGITS = 18


class Fault(enum.IntEnum):
    """The reasons to reject a request; the values are HTTP status codes."""

    MALFORMED = 400
    BODY_TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431


class IncomingRequest(NamedTuple):
    """A complete request; `keep_alive` is set if the connection may carry another one.

    `head_bytes` is the size of the target and the header fields.
    """

    head: RequestHead
    body: bytes
    keep_alive: bool
    head_bytes: int = 0


class RequestFaultError(ValueError):
    """The request is malformed or exceeds a limit."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault


class RequestReader:
    """Collects the requests on one connection.

    `started` is true from the first to the last byte of a request, `headers_complete` once its headers have
    been received, and `expects_continue` if the caller waits for a 100 response before it sends the
    body.
    """

    def __init__(self, *, limits: CallerLimits) -> None:
        self.limits = limits
        self.requests: list[IncomingRequest] = []
        self.finished = 0
        self.started = False
        self.headers_complete = False
        self.expects_continue = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._reset()

    @property
    def received(self) -> int:
        """The number of bytes received of the current request."""
        return self._size.raw

    @property
    def fields(self) -> int:
        """The number of header fields received of the current request."""
        return len(self._headers)

    @property
    def in_body(self) -> bool:
        """Whether the headers of the current request are complete, but not its body."""
        return self.started and self.headers_complete

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise `RequestFaultError` if the request can't be served."""
        parser = self._parser
        assert parser is not None
        finished = self.finished
        self.started = True
        self._size.raw += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise RequestFaultError(Fault.MALFORMED, "protocol upgrade is not supported") from exc
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            if isinstance(cause, RequestFaultError):
                raise cause from None
            raise RequestFaultError(Fault.MALFORMED, str(exc)) from exc
        if self.started and not self.headers_complete and self.finished == finished:
            self._unparsed += len(data)
            if self._unparsed > self.limits.max_header_bytes:
                raise RequestFaultError(Fault.HEADERS_TOO_LARGE, "headers too large")
        if self._size.exceeds_framing_limit(self.limits.max_header_bytes):
            raise RequestFaultError(
                Fault.MALFORMED, "chunk framing, trailers or empty lines too large"
            )

    def close(self) -> None:
        """Drop an unfinished request, as nothing more is read from the connection.

        The reader and its parser refer to each other, and the parser holds an unfinished field.
        """
        self._reset()
        self._parser = None

    def on_message_begin(self) -> None:
        """Start a request (called by the parser)."""
        self._reset()
        self.started = True

    def on_url(self, url: bytes) -> None:
        """Append to the target (called by the parser)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (called by the parser)."""
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes + len(self._target) > self.limits.max_header_bytes:
            raise RequestFaultError(Fault.HEADERS_TOO_LARGE, "headers too large")
        lower = name.lower()
        if lower == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        elif lower == b"content-length":
            self._announces_too_much = _exceeds(value, self.limits.max_body_bytes)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Record that the headers are complete (called by the parser)."""
        self.headers_complete = True
        if self._announces_too_much:
            raise RequestFaultError(Fault.BODY_TOO_LARGE, "body too large")

    def on_body(self, data: bytes) -> None:
        """Append to the body (called by the parser)."""
        self._size.body += len(data)
        if self._size.body > self.limits.max_body_bytes:
            raise RequestFaultError(Fault.BODY_TOO_LARGE, "body too large")
        self._body += data

    def on_message_complete(self) -> None:
        """Store the complete request (called by the parser)."""
        parser = self._parser
        assert parser is not None
        head = RequestHead(parser.get_method(), self._target, tuple(self._headers))
        keep_alive = parser.should_keep_alive()
        head_bytes = self._header_bytes + len(self._target)
        self.requests.append(IncomingRequest(head, bytes(self._body), keep_alive, head_bytes))
        self.finished += 1
        self._reset()

    def _reset(self) -> None:
        self.started = False
        self.headers_complete = False
        self.expects_continue = False
        self._announces_too_much = False
        self._unparsed = 0
        self._target: bytes = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes: int = 0
        self._body = bytearray()
        self._size = MessageSize()


def _exceeds(length: bytes, most: int) -> bool:
    """Return whether a body's announced length exceeds the limit; the parser checks its form."""
    digits = length.strip().lstrip(b"0")
    if not digits.isdigit():
        return False
    return len(digits) > MAX_LENGTH_DIGITS or int(digits) > most
