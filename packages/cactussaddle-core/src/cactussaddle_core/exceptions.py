"""Exceptions raised by the coordination parts."""

from __future__ import annotations


class CactussaddleError(Exception):
    """Base of every error raised by this workspace."""


class InvariantError(CactussaddleError):
    """A promise of the system was observed broken."""


class ConfigError(CactussaddleError):
    """A configuration document is malformed; the message names the key."""
