"""Which route a request belongs to, and which services and shards serve it."""

from __future__ import annotations
