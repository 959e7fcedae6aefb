"""The room of this node's own host, and the queue of the requests that wait for it."""

from __future__ import annotations
