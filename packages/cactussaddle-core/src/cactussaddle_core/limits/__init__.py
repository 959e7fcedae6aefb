"""Limits that all nodes keep together, each by a part of its own."""

from __future__ import annotations
