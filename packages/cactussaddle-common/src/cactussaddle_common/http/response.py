"""Incremental parsing of HTTP responses with httptools."""

from __future__ import annotations

import httptools

from cactussaddle_common.http.bounds import BodyAllowance
from cactussaddle_common.http.bounds import MessageSize
from cactussaddle_common.http.message import Response

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_INTERIM_RESPONSES = 16
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
KEEP_ALIVE = b"keep-alive"
MAX_DIGITS = 9


class BadResponseError(ValueError):
    """The peer sent a malformed response, or one that exceeds a limit."""


class ResponseReader:
    """Collects the final responses on one connection; interim responses are skipped.

    `peer_idle_s` is the timeout from the peer's `Keep-Alive` header, None if it sent none.

    While `bodiless` is set, a final response ends with its headers, whatever length they announce. It is the
    last one of its connection.

    The body of a response is limited to `max_body_bytes`, and `allowance` limits the total of the
    unfinished bodies on many connections. The parser buffers an unfinished header line without a
    limit of its own, so the bytes passed to it that are not body are limited here.
    """

    def __init__(
        self, *, max_body_bytes: int = MAX_BODY_BYTES, allowance: BodyAllowance | None = None
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.bodiless = False
        self._is_over = False
        self._allowance = allowance or BodyAllowance(
            max_bytes=MAX_BODY_BYTES, guaranteed_bytes=MAX_BODY_BYTES
        )
        self.responses: list[Response] = []
        self.keep_alive = True
        self.peer_idle_s: float | None = None
        self.started = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._held = 0
        self._size = MessageSize()
        self._interim_count = 0
        self._has_framing_header = False
        self._in_body = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise `BadResponseError` if they are no acceptable response."""
        self._size.raw += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadResponseError("unexpected protocol upgrade") from exc
        except httptools.HttpParserError as exc:
            if self._is_over:
                return
            cause = exc.__context__
            raise BadResponseError(str(cause or exc)) from exc
        if self._size.exceeds_framing_limit(MAX_HEADER_BYTES):
            raise BadResponseError("headers or chunk framing too large")

    def end(self) -> bool:
        """Handle an orderly end of the connection; return whether it completed a response."""
        if not self._in_body or self._has_framing_header:
            return False
        self._finish()
        self.keep_alive = False
        return True

    def close(self) -> None:
        """Drop an unfinished response, as the connection is closed.

        The reader and its parser refer to each other, so they stay in memory until the next collection
        of cycles; the body must not.
        """
        self._release()
        self._body = bytearray()
        self._headers = []

    def _release(self) -> None:
        """Release the bytes of the allowance that an unfinished body holds."""
        self._allowance.release(self._held)
        self._held = 0

    def on_message_begin(self) -> None:
        """Start a response (called by the parser)."""
        self.started = True
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._has_framing_header = False
        self._in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (called by the parser)."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise BadResponseError("headers too large")
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_framing_header = True
        self._headers.append((lower, value))

    def on_headers_complete(self) -> None:
        """Record that the headers are complete (called by the parser)."""
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise BadResponseError(f"status {status} is not defined")
        self._in_body = True
        if self.bodiless and status >= MIN_FINAL_STATUS:
            self._finish()
            self.keep_alive = False
            self._is_over = True

    def on_body(self, data: bytes) -> None:
        """Append to the body (called by the parser)."""
        if self._is_over:
            return
        self._size.body += len(data)
        if self._size.body > self.max_body_bytes:
            raise BadResponseError("body too large")
        self._body += data
        self._held += len(data)
        if not self._allowance.reserve(len(data), self._held):
            raise BadResponseError("unfinished bodies of all calls too large in total")

    def on_message_complete(self) -> None:
        """Store the complete response (called by the parser)."""
        if not self._is_over:
            self._finish()

    def _finish(self) -> None:
        self._in_body = False
        self.started = False
        self._release()
        body, self._body = bytes(self._body), bytearray()
        status = self._parser.get_status_code()
        if status < MIN_FINAL_STATUS:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise BadResponseError("too many interim responses")
            return
        self._interim_count = 0
        self._size.reset()
        self.keep_alive = self._parser.should_keep_alive()
        self.peer_idle_s = _keep_alive_timeout_s(self._headers)
        self.responses.append(Response(status, tuple(self._headers), body))


def _keep_alive_timeout_s(headers: list[tuple[bytes, bytes]]) -> float | None:
    for name, value in headers:
        if name != KEEP_ALIVE:
            continue
        for parameter in value.split(b","):
            key, _, number = parameter.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit() and len(number) <= MAX_DIGITS:
                return float(number)
    return None
