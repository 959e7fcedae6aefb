"""Times of the distribution of records, and the longest time until a change has reached a node.

The sum of these times, with one lost answer at the worst moment, has to stay below the time within which
changes must be in force; see docs/design/records.md.
"""

from __future__ import annotations

# Longest wait of one watch at the store. An answer that was lost is missed when this time is over.
WATCH_S = 1.3
# The same for a node that should normally follow another node: it soon checks whether that node
# answers again.
SHORT_WATCH_S = 0.5
# Time-out of a request to the store, beyond the wait that it asks for.
STORE_TIMEOUT_S = 0.6
# The same while the store is slow: after a request without a wait has timed out, until answers are
# as fast as `FAST_ANSWER_S` again.
SLOW_STORE_TIMEOUT_S = 1.0
FAST_ANSWER_S = 0.3
# A watch ends before the records are older than this, so that they don't look stale to nodes that get
# them over several hops.
MAX_WATCHED_AGE_S = 1.8
# The store may end a wait this much early, by its own clock.
MAX_EARLY_S = 0.05
# Longest wait before a node is answered without changes, which shows that the node asked is alive.
LONG_POLL_S = 0.9
# Time-out of a request to a node, beyond that wait: the round trip and delays on a slow host.
NODE_TIMEOUT_S = 0.6
# The older the asker's records, the sooner it gives up: its records would be this old then.
LATEST_AGE_S = 2.8
MIN_NODE_TIMEOUT_S = 0.3
# A request to a node waits at least this long, so that stale records don't make it a busy loop.
MIN_LONG_POLL_S = 0.2
# Pauses between two reads of the store and of a node; changes in quick succession are read in batches.
STORE_PAUSE_S = 0.3
NODE_PAUSE_S = 0.2
# Pause after a source has failed, before the next one is asked.
RETRY_PAUSE_S = 0.02


def longest_delivery_s(hops: int, trip_s: float) -> float:
    """Return the longest time until a change has reached a node that is `hops` hops from a store reader.

    One answer is lost at the worst moment: that to the reader's watch, which began after a pause, or that
    to a node on the way, which then asks the store itself. A round trip takes `trip_s`.
    """
    hop_s = NODE_PAUSE_S + trip_s
    missed_watch_s = STORE_PAUSE_S + WATCH_S + STORE_TIMEOUT_S + RETRY_PAUSE_S
    lost_at_reader_s = missed_watch_s + trip_s + hops * hop_s
    if hops == 0:
        return lost_at_reader_s
    read_s = STORE_PAUSE_S + trip_s
    missed_poll_s = NODE_PAUSE_S + LONG_POLL_S + NODE_TIMEOUT_S + RETRY_PAUSE_S
    lost_on_the_way_s = read_s + missed_poll_s + trip_s + (hops - 1) * hop_s
    return max(lost_at_reader_s, lost_on_the_way_s)
