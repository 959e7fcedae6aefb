"""Long-lived gRPC streams between nodes."""

from __future__ import annotations
