"""Experiments on a cluster of separate processes: a policy against its baseline."""

from __future__ import annotations
