"""One node that sends callers' requests straight to leaves: its state and its one reducer."""

from __future__ import annotations
