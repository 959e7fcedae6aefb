"""Distribution of the store's contents: a few nodes read the store, the others read from peers."""

from __future__ import annotations
