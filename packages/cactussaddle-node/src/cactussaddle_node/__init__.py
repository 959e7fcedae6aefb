"""The node daemon: serves callers over HTTP, exchanges state with peers and calls leaves."""

from __future__ import annotations
