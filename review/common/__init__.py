"""Stand-ins and process control shared by the cases of the review; standard library only."""

from __future__ import annotations
