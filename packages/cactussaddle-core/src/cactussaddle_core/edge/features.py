"""Parts of a node that are switched on by its settings."""

from __future__ import annotations

from typing import NamedTuple


class Features(NamedTuple):
    """Optional parts of a node.

    With `waiting`, requests wait for this host's own processor in the order of their priority. With
    `delegation`, queries are handed to much stronger hosts of the failure domain.
    """

    waiting: bool = False
    delegation: bool = False


NO_FEATURES = Features()
