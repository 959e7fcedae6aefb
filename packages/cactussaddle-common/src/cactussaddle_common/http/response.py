"""Reading of HTTP responses from bytes as they come, by httptools."""

from __future__ import annotations

import httptools

from cactussaddle_common.http.message import Response

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200


class BadResponseError(ValueError):
    """The peer sent what is no response."""


class ResponseReader:
    """Collects one connection's responses; interim ones are left aside."""

    def __init__(self) -> None:
        self.responses: list[Response] = []
        self.keep_alive = True
        self.started = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._framed = False
        self._in_body = False

    def feed(self, data: bytes) -> None:
        """Take in bytes; raise `BadResponseError` when they are no response."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadResponseError("upgrade") from exc
        except httptools.HttpParserError as exc:
            raise BadResponseError(str(exc)) from exc

    def end(self) -> bool:
        """Take in the orderly end of the connection; return whether it completed a response."""
        if not self._in_body or self._framed:
            return False
        self._finish()
        self.keep_alive = False
        return True

    def on_message_begin(self) -> None:
        """Begin a response (called by the parser)."""
        self.started = True
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._framed = False
        self._in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header (called by the parser)."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise BadResponseError("headers too large")
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._framed = True
        self._headers.append((lower, value))

    def on_headers_complete(self) -> None:
        """Note that the body follows (called by the parser)."""
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        """Take in a piece of the body (called by the parser)."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise BadResponseError("body too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Keep the whole response (called by the parser)."""
        self._finish()

    def _finish(self) -> None:
        self._in_body = False
        self.started = False
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self.keep_alive = self._parser.should_keep_alive()
        self.responses.append(Response(status, tuple(self._headers), b"".join(self._body)))
