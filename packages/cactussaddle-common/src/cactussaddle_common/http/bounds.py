"""Bounds on what a peer may send around and inside one HTTP message."""

from __future__ import annotations

# Bytes of one message that are neither headers nor body: chunk sizes and extensions, interim
# responses, empty lines.
MAX_FRAMING_BYTES = 64 * 1024
# One-byte chunks take six bytes each.
FRAMING_PER_BODY_BYTE = 8


class MessageSize:
    """Bytes of one message as they come off the connection, and the part of them that is body."""

    __slots__ = ("body", "raw")

    def __init__(self) -> None:
        self.raw = 0
        self.body = 0

    def frames_too_much(self, max_header_bytes: int) -> bool:
        """Return whether there is more around the body than headers and framing may take."""
        allowed = max_header_bytes + MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self.body
        return self.raw - self.body > allowed

    def clear(self) -> None:
        """Begin with the next message."""
        self.raw = 0
        self.body = 0


class BodyAllowance:
    """Bytes of unfinished bodies that many connections may hold together.

    A body of up to `always` bytes is let through whatever the others hold, so a few huge ones can't
    crowd out the usual ones.
    """

    def __init__(self, *, most_bytes: int, always_bytes: int) -> None:
        self.held = 0
        self._most_bytes = most_bytes
        self._always_bytes = always_bytes

    def take(self, more: int, own: int) -> bool:
        """Count `more` bytes of a body that has `own` by now; return whether it may go on."""
        self.held += more
        return own <= self._always_bytes or self.held <= self._most_bytes

    def give_back(self, count: int) -> None:
        """Take back the bytes of a body that has ended."""
        self.held -= count
