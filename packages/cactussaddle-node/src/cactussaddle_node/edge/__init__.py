"""The node on the users' platform: sockets, timers and the store around the reducer."""

from __future__ import annotations
