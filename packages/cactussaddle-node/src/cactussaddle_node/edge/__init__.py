"""I/O adapter of the edge node: sockets, timers and store access around the reducer."""

from __future__ import annotations
