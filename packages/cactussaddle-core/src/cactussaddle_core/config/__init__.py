"""Operator configuration: typed model, validation, diffs and planned moves."""

from __future__ import annotations
