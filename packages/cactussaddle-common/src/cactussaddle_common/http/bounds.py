"""Limits on the framing of an HTTP message and on the memory of unfinished bodies."""

from __future__ import annotations

# Limit for the bytes of a message that are neither headers nor body: chunk sizes and extensions,
# interim responses, empty lines.
MAX_FRAMING_BYTES = 64 * 1024
# A chunk with one byte of body takes six bytes in all.
FRAMING_PER_BODY_BYTE = 8


class MessageSize:
    """Counts the bytes received for a message, and how many of them are body."""

    __slots__ = ("body", "raw")

    def __init__(self) -> None:
        self.raw = 0
        self.body = 0

    def exceeds_framing_limit(self, max_header_bytes: int) -> bool:
        """Return whether the bytes outside the body exceed the limit for headers and framing."""
        allowed = max_header_bytes + MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self.body
        return self.raw - self.body > allowed

    def reset(self) -> None:
        """Reset the counts for the next message."""
        self.raw = 0
        self.body = 0


class BodyAllowance:
    """A limit on the total bytes of unfinished bodies on many connections.

    A body of up to `guaranteed_bytes` is always admitted, so that a few very large bodies can't block
    those of typical size.
    """

    def __init__(self, *, max_bytes: int, guaranteed_bytes: int) -> None:
        self.held = 0
        self._max_bytes = max_bytes
        self._guaranteed_bytes = guaranteed_bytes

    def reserve(self, count: int, body_bytes: int) -> bool:
        """Add `count` bytes of a body that now has `body_bytes`; return whether it may continue."""
        self.held += count
        return body_bytes <= self._guaranteed_bytes or self.held <= self._max_bytes

    def release(self, count: int) -> None:
        """Release the bytes of a body that has ended."""
        self.held -= count
