"""Cluster-wide limits; each node enforces its own share of them."""

from __future__ import annotations
