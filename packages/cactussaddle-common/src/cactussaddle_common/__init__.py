"""Adapters shared by the binaries: settings, logs, the key-value store and the host list."""

from __future__ import annotations
