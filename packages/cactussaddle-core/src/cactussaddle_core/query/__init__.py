"""Fan-out of a query to the leaves of its route and the merge of their answers."""

from __future__ import annotations
