"""Reading of HTTP responses from bytes as they come, by httptools."""

from __future__ import annotations

import httptools

from cactussaddle_common.http.bounds import BodyAllowance
from cactussaddle_common.http.bounds import MessageSize
from cactussaddle_common.http.message import Response

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_INTERIM_RESPONSES = 16
FIRST_FINAL_STATUS = 200
KEEP_ALIVE = b"keep-alive"
MAX_DIGITS = 9


class BadResponseError(ValueError):
    """The peer sent what is no response."""


class ResponseReader:
    """Collects one connection's responses; interim ones are left aside.

    `keeps_idle_s` is how long the peer says to keep the connection idle, None where it doesn't.

    A response may have at most `max_body_bytes` of body, and `allowance` bounds the unfinished
    bodies of many connections together. The parser keeps an unfinished header line
    to itself, so what it has been given and has not handed back is bounded here.
    """

    def __init__(
        self, *, max_body_bytes: int = MAX_BODY_BYTES, allowance: BodyAllowance | None = None
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self._allowance = allowance or BodyAllowance(
            most_bytes=MAX_BODY_BYTES, always_bytes=MAX_BODY_BYTES
        )
        self.responses: list[Response] = []
        self.keep_alive = True
        self.keeps_idle_s: float | None = None
        self.started = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._held = 0
        self._size = MessageSize()
        self._interim = 0
        self._framed = False
        self._in_body = False

    def feed(self, data: bytes) -> None:
        """Take in bytes; raise `BadResponseError` when they are no response."""
        self._size.raw += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadResponseError("upgrade") from exc
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            raise BadResponseError(str(cause or exc)) from exc
        if self._size.frames_too_much(MAX_HEADER_BYTES):
            raise BadResponseError("no end of the headers or the framing")

    def end(self) -> bool:
        """Take in the orderly end of the connection; return whether it completed a response."""
        if not self._in_body or self._framed:
            return False
        self._finish()
        self.keep_alive = False
        return True

    def forget(self) -> None:
        """Give back what an unfinished body holds of the allowance."""
        self._allowance.give_back(self._held)
        self._held = 0

    def on_message_begin(self) -> None:
        """Begin a response (called by the parser)."""
        self.started = True
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
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
        self._size.body += len(data)
        if self._size.body > self.max_body_bytes:
            raise BadResponseError("body too large")
        self._body += data
        self._held += len(data)
        if not self._allowance.take(len(data), self._held):
            raise BadResponseError("body too large beside those of other calls")

    def on_message_complete(self) -> None:
        """Keep the whole response (called by the parser)."""
        self._finish()

    def _finish(self) -> None:
        self._in_body = False
        self.started = False
        self.forget()
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._interim += 1
            if self._interim > MAX_INTERIM_RESPONSES:
                raise BadResponseError("no end of interim responses")
            return
        self._interim = 0
        self._size.clear()
        self.keep_alive = self._parser.should_keep_alive()
        self.keeps_idle_s = _keeps_idle_s(self._headers)
        self.responses.append(Response(status, tuple(self._headers), bytes(self._body)))


def _keeps_idle_s(headers: list[tuple[bytes, bytes]]) -> float | None:
    for name, value in headers:
        if name != KEEP_ALIVE:
            continue
        for parameter in value.split(b","):
            key, _, number = parameter.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit() and len(number) <= MAX_DIGITS:
                return float(number)
    return None
