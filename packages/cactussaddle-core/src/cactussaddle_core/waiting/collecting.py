"""When a node looks for unused objects in cycles, so that no request has to wait for it.

Each finished request leaves some. Looking for them takes a small host up to several hundred
milliseconds, and Python does so by itself when enough objects were made, which is within a request.
"""

from __future__ import annotations

# New objects from which it is worth while to look through them while no request is open.
WORTHWHILE = 2_000
# New objects at which Python looks through them by itself, also within a request; about ten searches.
AT_MOST = 20_000
# Looks at the newer objects before one at the older ones.
NEWER_BEFORE_OLDER = 50
NEWER = 1
OLDER = 2


def generation_due(counts: tuple[int, int, int], requests: int) -> int | None:
    """Return the generation of objects to look through now; None if there is no need or no time.

    `counts` are those of the garbage collector, `requests` the number of requests open or waiting.
    """
    if requests > 0:
        return None
    if counts[2] >= NEWER_BEFORE_OLDER:
        return OLDER
    return NEWER if counts[0] >= WORTHWHILE else None
