"""The generated sections of docs/CAPACITY.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.node.state import WATCHERS
from cactussaddle_node.storewatch import REREAD_INTERVAL_S
from tools.capacity import target
from tools.capacity.slopes import short
from tools.capacity.slopes import slopes_table
from tools.capacity.sums import DOCUMENTS_READ
from tools.capacity.sums import RELAY_GROUPS
from tools.capacity.sums import control
from tools.capacity.sums import host_list_reads_per_s
from tools.capacity.sums import query_latency_ms
from tools.capacity.sums import query_work
from tools.capacity.sums import relayed_work
from tools.figures import table

if TYPE_CHECKING:
    from tools.capacity.gather import Measured
    from tools.capacity.sums import Work

KILOBYTE = 1e3
MEGABYTE = 1e6


def sections(found: Measured) -> dict[str, str]:
    """Return the text of each section by its name."""
    return {
        "slopes": slopes_table(list(found.slopes.values())),
        "daemons": daemons(found),
        "control": control_table(found),
        "query": query_table(found),
        "store": store_table(found),
        "failures": failures_table(found),
    }


def control_table(found: Measured) -> str:
    """Return control of one node against its allowance."""
    rows = control(found)
    shown: list[tuple[str, ...]] = [
        (
            row.name,
            row.mechanism,
            short(row.messages_per_s),
            short(row.bytes_per_s / KILOBYTE),
            f"{row.core_share * 100:.2f}",
            short(row.memory_bytes / MEGABYTE),
        )
        for row in rows
    ]
    sent = sum(row.bytes_per_s for row in rows)
    core = sum(row.core_share for row in rows)
    memory = sum(row.memory_bytes for row in rows)
    limits = (target.CONTROL_BYTES_PER_S, target.CONTROL_CORE_SHARE, target.CONTROL_BYTES)
    shown.append(
        ("**sum**", "", "", short(sent / KILOBYTE), f"{core * 100:.2f}", short(memory / MEGABYTE))
    )
    shown.append(
        (
            "**allowed**",
            "",
            "",
            short(limits[0] / KILOBYTE),
            f"{limits[1] * 100:.2f}",
            short(limits[2] / MEGABYTE),
        )
    )
    factors = (sent / limits[0], core / limits[1], memory / limits[2])
    shown.append(("**sum over allowed**", "", "", *(short(factor) for factor in factors)))
    headers = ("part", "mechanism today", "messages/s", "KB/s", "% of a core", "MB")
    return table(headers, shown)


def query_table(found: Measured) -> str:
    """Return the cost of the query path."""
    direct, relayed = query_work(found), relayed_work(found)
    others = [work for work in direct if "streams" not in work.name]
    alone_ms, relayed_ms = query_latency_ms(found)
    total, closed = cores(direct), cores(relayed) + cores(others)
    lines = [
        table(("part, one node at the target", "a second", "us each", "cores"), work_rows(direct)),
        "",
        f"With one relay between root and owner ({RELAY_GROUPS} groups of nodes), worked out from the",
        "same slopes, the streams become:",
        "",
        table(("streams with a relay", "a second", "us each", "cores"), work_rows(relayed)),
        "",
        table(
            ("sum", "direct, as it runs", "with a relay"),
            [
                ("cores of one node", short(total), short(closed)),
                (
                    "one-core nodes for the load",
                    f"{total * target.NODES:,.0f}",
                    f"{closed * target.NODES:,.0f}",
                ),
                ("factor over 600 nodes of one core", short(total), short(closed)),
                ("root's CPU for one query alone, ms", short(alone_ms), short(relayed_ms)),
                (
                    "share of the 77 ms",
                    f"{alone_ms / target.DEADLINE_MS:.0%}",
                    f"{relayed_ms / target.DEADLINE_MS:.0%}",
                ),
            ],
        ),
    ]
    return "\n".join(lines)


def work_rows(works: list[Work]) -> list[tuple[str, ...]]:
    """Return the rows of some works and their sum."""
    rows = [(w.name, f"{w.rate:,.0f}", short(w.unit_us), short(w.cores)) for w in works]
    return [*rows, ("**sum**", "", "", short(cores(works)))]


def cores(works: list[Work]) -> float:
    """Return the sum in cores."""
    return sum(work.cores for work in works)


def store_table(found: Measured) -> str:
    """Return the calls to the store and the host list of all nodes together."""
    nodes = target.NODES
    sizes = {key: found.slopes[f"{key} bytes"].at(target.LEAVES) for key in ("config", "placement")}
    rates = {"config": target.CONFIG_CHANGES_PER_S, "placement": target.EPOCHS_PER_S}
    rereads = DOCUMENTS_READ * nodes / REREAD_INTERVAL_S
    out = sum(sizes[key] * rates[key] * WATCHERS for key in sizes)
    writes = rates["config"] + 2 * rates["placement"]
    reads = 2 * rates["placement"] + 0.5 + rereads
    watched = sum(rates.values()) * WATCHERS
    rows = [
        (
            "waiting watches, three on each watcher",
            f"{DOCUMENTS_READ * WATCHERS}",
            f"{target.STORE_READS_PER_S:,} reads",
            f"{DOCUMENTS_READ * WATCHERS / target.STORE_READS_PER_S:.1%}",
        ),
        (
            "watch events delivered a second",
            short(watched),
            f"{target.STORE_READS_PER_S:,} reads",
            f"{watched / target.STORE_READS_PER_S:.1%}",
        ),
        (
            "reads a second",
            short(reads),
            f"{target.STORE_READS_PER_S:,}",
            f"{reads / target.STORE_READS_PER_S:.1%}",
        ),
        (
            "writes a second, configuration and placement",
            short(writes),
            f"{target.STORE_WRITES_PER_S}",
            f"{writes / target.STORE_WRITES_PER_S:.1%}",
        ),
        ("MB a second out of the store", short(out / MEGABYTE), "-", "-"),
        (
            "configuration, largest value in bytes",
            f"{sizes['config']:,.0f}",
            "1,000,000",
            f"{sizes['config'] / target.STORE_VALUE_BYTES:.0%}",
        ),
        (
            "placement, largest value in bytes",
            f"{sizes['placement']:,.0f}",
            "1,000,000",
            f"{sizes['placement'] / target.STORE_VALUE_BYTES:.0%}",
        ),
        (
            "reads of the host list a second",
            f"{host_list_reads_per_s():,.0f}",
            "not stated",
            "-",
        ),
    ]
    return table(("all nodes together", "at the target", "of", "share"), rows)


def failures_table(found: Measured) -> str:
    """Return what membership and planning do when many hosts go at once."""
    names = {1: "one host", 20: "a rack", 120: "a failure domain", 300: "the other region"}
    rows = [
        (
            f"{names[killed]} ({killed} of {target.NODES} nodes)",
            f"{burst.known_s:.1f}",
            f"{burst.unknown:.3%}",
            short(burst.messages_in_worst_s),
            short(burst.bytes_in_worst_s / KILOBYTE),
        )
        for killed, burst in found.bursts.items()
    ]
    loss = found.domain_loss
    lines = [
        table(
            (
                "lost at once",
                "s until every node knows",
                "pairs of node and victim unknown after 5 s",
                "messages of a node in the worst second",
                "KB of a node in the worst second",
            ),
            rows,
        ),
        "",
        f"Planning after the loss of a failure domain ({target.NODES // target.DOMAINS} nodes): "
        f"{loss.plan_us / 1000:.0f} ms of CPU at each of up to five candidates each 0.25 s while entries are "
        f"pending; document {loss.stored_bytes / KILOBYTE:.0f} KB, its change {loss.delta_bytes / KILOBYTE:.0f} KB.",
        "",
        f"All {target.NODES} entry hosts restarted in one day: "
        f"{target.NODES * target.EPOCHS_PER_RESTART / target.DAY_S:.3f} epochs a second, less than the "
        f"{target.EPOCHS_PER_S:.3f} of the {target.RESTARTS_PER_DAY} restarts that the tables count.",
    ]
    return "\n".join(lines)


def daemons(found: Measured) -> str:
    """Return what whole daemons take, as a check on the parts."""
    idle = [
        (f"{nodes}", f"{node.cpu_us_per_s / 1e4:.2f}", short(node.memory_bytes / MEGABYTE))
        for nodes, node in found.idle_nodes.items()
    ]
    busy = [(f"{fan_out}", f"{used / 1000:.2f}") for fan_out, used in found.query_us.items()]
    return "\n".join(
        [
            table(("idle nodes", "% of a core each", "MB each"), idle),
            "",
            table(("leaf calls of a query", "ms of CPU of all nodes together"), busy),
        ]
    )
