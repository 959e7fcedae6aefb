"""Roll-outs of service versions: which version receives a call, and how a roll-out ends."""

from __future__ import annotations
