"""HTTP/1.1 over non-blocking sockets: httptools reads it, one task a connection carries it."""

from __future__ import annotations
