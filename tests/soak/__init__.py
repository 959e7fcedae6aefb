"""A soak of the real programs: faults from outside, promises checked by what callers and leaves see."""

from __future__ import annotations
