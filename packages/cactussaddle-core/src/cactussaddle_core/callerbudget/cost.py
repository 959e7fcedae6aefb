"""Estimates of the memory that connections and requests take, objects of the interpreter included."""

from __future__ import annotations

# A connection with its task, its parser and its buffers.
CONNECTION_BYTES = 12 * 1024
# A header field beyond its text: a pair and two strings.
FIELD_BYTES = 176
# A request beyond its fields and its body, while it waits.
REQUEST_BYTES = 1024
# Reading stops while a caller is far ahead; the kernel goes on receiving up to a window.
WINDOW_BYTES = 64 * 1024
# Copies of a body while its request is served: as received, and on its way to a leaf.
SERVED_COPIES = 2


def reading_bytes(received: int, fields: int) -> int:
    """Return the cost of a request that has come in part; its growing body has spare room."""
    return received + received // 8 + FIELD_BYTES * fields


def request_bytes(text: int, fields: int, body: int) -> int:
    """Return the cost of a whole request with `text` bytes in its target and fields."""
    return REQUEST_BYTES + text + FIELD_BYTES * fields + body


def served_bytes(text: int, fields: int, body: int) -> int:
    """Return the cost of a request that is being served."""
    return REQUEST_BYTES + text + FIELD_BYTES * fields + SERVED_COPIES * body
