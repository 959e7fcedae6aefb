"""The size that the system has to carry, and what a node may spend on control."""

from __future__ import annotations

NODES = 600
LEAVES = 2_700
QUERIES_PER_S = 89_000
FAN_OUT = 390
REPLICAS = LEAVES // FAN_OUT
DEADLINE_MS = 77.0
DOMAINS = 5
REGIONS = 2
CONFIG_CHANGES_PER_DAY = 1_500
RESTARTS_PER_DAY = 1_100
DAY_S = 86_400.0

CONTROL_CORE_SHARE = 0.02
CONTROL_BYTES = 256e6
CONTROL_BYTES_PER_S = 10e3

STORE_WRITES_PER_S = 300
STORE_READS_PER_S = 2_000
STORE_VALUE_BYTES = 1e6

QUERIES_PER_NODE_S = QUERIES_PER_S / NODES
LEAF_CALLS_PER_NODE_S = QUERIES_PER_NODE_S * FAN_OUT
LEAVES_PER_NODE = LEAVES / NODES

# Changes of what a leaf says of itself: a restart takes a leaf through its warm-up in steps, and
# each service gets a new index snapshot once an hour.
STEPS_PER_RESTART = 6
SNAPSHOTS_PER_DAY = 24
LEAF_CHANGES_PER_S = (RESTARTS_PER_DAY * STEPS_PER_RESTART + LEAVES * SNAPSHOTS_PER_DAY) / DAY_S
# A host that goes and comes back changes the placement when it goes, when its former half is
# settled, when it is back, and when the halves moved back to it are settled.
EPOCHS_PER_RESTART = 4
EPOCHS_PER_S = RESTARTS_PER_DAY * EPOCHS_PER_RESTART / DAY_S
CONFIG_CHANGES_PER_S = CONFIG_CHANGES_PER_DAY / DAY_S
