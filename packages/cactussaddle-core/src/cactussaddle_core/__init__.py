"""Coordination decisions for a query tier over many shards.

Every module here is pure: events in, new state and effects out, the present time an argument.
Nothing imports sockets, an event loop or a logger.
"""

from __future__ import annotations

__version__ = "0.1.0"
