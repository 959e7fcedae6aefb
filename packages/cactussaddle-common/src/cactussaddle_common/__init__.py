"""Code shared by the binaries: settings, logging, clients of the key-value store and the host list."""

from __future__ import annotations
