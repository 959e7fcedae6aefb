"""HTTP messages and their encoding."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple
from typing import TypeAlias

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]

HEAD = b"HEAD"
REASONS = {status.value: status.phrase.encode("ascii") for status in HTTPStatus}


class RequestHead(NamedTuple):
    """A request without its body; header names keep their original case."""

    method: bytes
    target: bytes
    headers: Headers


class Response(NamedTuple):
    """A complete response as received; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class OutgoingResponse(NamedTuple):
    """A response to be sent; `Content-Length` and `Connection` are added when it is encoded.

    To HEAD it is sent without its body, and announces `length_of_get` if that is known.
    """

    status: int
    headers: Headers
    body: bytes
    length_of_get: int | None = None


def encode_response(response: OutgoingResponse, keep_alive: bool) -> bytes:
    """Encode a response, with its `Content-Length`."""
    return encode_response_head(response, keep_alive) + response.body


def encode_answer_to_head(response: OutgoingResponse, keep_alive: bool) -> bytes:
    """Encode a response to HEAD: the headers that the answer to GET would have, without a body."""
    length = len(response.body) if response.length_of_get is None else response.length_of_get
    return _encode_head(response, length, keep_alive)


def encode_response_head(response: OutgoingResponse, keep_alive: bool) -> bytes:
    """Encode a response up to its body."""
    return _encode_head(response, len(response.body), keep_alive)


def _encode_head(response: OutgoingResponse, length: int, keep_alive: bool) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (response.status, REASONS.get(response.status, b"Unknown"))]
    lines += [b"%s: %s" % header for header in response.headers]
    lines.append(b"Content-Length: %d" % length)
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_request(head: RequestHead, body: bytes) -> bytes:
    """Encode a request, with its `Content-Length`."""
    return encode_request_head(head, len(body)) + body


def encode_request_head(head: RequestHead, length: int) -> bytes:
    """Encode a request up to its body of `length` bytes.

    `Content-Length` is added if it has a body or its method implies one.
    """
    lines = [b"%s %s HTTP/1.1" % (head.method, head.target)]
    lines += [b"%s: %s" % header for header in head.headers]
    if length or head.method not in (b"GET", HEAD, b"DELETE"):
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"
