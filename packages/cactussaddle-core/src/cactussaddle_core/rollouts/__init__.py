"""New versions of services: which leaf of which version gets a call, and how a roll-out ends."""

from __future__ import annotations
