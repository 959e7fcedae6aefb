"""Delegation of a query with many parts to a stronger host of the same failure domain."""

from __future__ import annotations
