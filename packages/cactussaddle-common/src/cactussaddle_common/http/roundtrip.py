"""The round-trip time of a connection as measured by the kernel."""

from __future__ import annotations

import socket
import struct

# Offset of the smoothed round-trip time, in microseconds, in the kernel's `struct tcp_info`.
RTT_OFFSET = 68
RTT_FORMAT = struct.Struct("=I")
# A larger value is caused by queueing or packet loss, not by the distance to the peer.
MAX_RTT_S = 0.2


def kernel_rtt_s(sock: socket.socket) -> float | None:
    """Return the smoothed round-trip time to the peer; None if it is unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, RTT_OFFSET + RTT_FORMAT.size)
    except OSError:
        return None
    if len(info) < RTT_OFFSET + RTT_FORMAT.size:
        return None
    rtt_s = float(RTT_FORMAT.unpack_from(info, RTT_OFFSET)[0]) / 1e6
    return rtt_s if 0.0 < rtt_s < MAX_RTT_S else None
