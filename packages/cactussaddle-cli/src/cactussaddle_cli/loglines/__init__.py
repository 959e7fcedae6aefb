"""Reads nodes' log lines and reconstructs what happened to a request."""

from __future__ import annotations
