"""Load on a deployment with open-loop arrivals, and the comparison of two runs."""

from __future__ import annotations
