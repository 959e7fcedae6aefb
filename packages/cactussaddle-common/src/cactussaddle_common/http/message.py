"""HTTP messages as this side reads and writes them."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple
from typing import TypeAlias

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]

REASONS = {status.value: status.phrase.encode("ascii") for status in HTTPStatus}


class RequestHead(NamedTuple):
    """A request without its body; header names are as they came."""

    method: bytes
    target: bytes
    headers: Headers


class Response(NamedTuple):
    """A whole response as read; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Answer(NamedTuple):
    """A response to be written; its framing is added when it is."""

    status: int
    headers: Headers
    body: bytes


def encode_answer(answer: Answer, keep_alive: bool) -> bytes:
    """Return an answer as bytes."""
    lines = [b"HTTP/1.1 %d %s" % (answer.status, REASONS.get(answer.status, b"Unknown"))]
    lines += [b"%s: %s" % header for header in answer.headers]
    lines.append(b"Content-Length: %d" % len(answer.body))
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body


def encode_request(head: RequestHead, body: bytes) -> bytes:
    """Return a request as bytes; its framing is added where it has a body."""
    lines = [b"%s %s HTTP/1.1" % (head.method, head.target)]
    lines += [b"%s: %s" % header for header in head.headers]
    if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
