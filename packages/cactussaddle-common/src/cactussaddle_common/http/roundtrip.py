"""The round trip of a connection, as the kernel has measured it."""

from __future__ import annotations

import socket
import struct

# The smoothed round trip stands at this place of the kernel's structure, in microseconds.
ROUND_TRIP_AT = 68
ROUND_TRIP = struct.Struct("=I")
# A round trip beyond this is a queue's or a loss's, not the way's.
MOST_TRIP_S = 0.2


def round_trip_s(sock: socket.socket) -> float | None:
    """Return the smoothed round trip to the peer; None where it isn't known."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, ROUND_TRIP_AT + ROUND_TRIP.size)
    except OSError:
        return None
    if len(info) < ROUND_TRIP_AT + ROUND_TRIP.size:
        return None
    trip_s = float(ROUND_TRIP.unpack_from(info, ROUND_TRIP_AT)[0]) / 1e6
    return trip_s if 0.0 < trip_s < MOST_TRIP_S else None
