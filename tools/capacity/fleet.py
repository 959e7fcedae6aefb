"""Names, members and placements of a fleet of any size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactussaddle_core.slots.model import LeafSite
from cactussaddle_core.slots.model import empty_placement
from cactussaddle_core.slots.placement import plan_placement
from tools.capacity import target

if TYPE_CHECKING:
    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.slots.model import Entry
    from cactussaddle_core.slots.model import Member
    from cactussaddle_core.slots.model import Placement

SNAPSHOT = 7
INCARNATION = 1_764_800_000_000


def service_name(number: int) -> str:
    """Return a service's name."""
    return f"taller-search-{number:03d}"


def leaf_name(service: int, replica: int) -> str:
    """Return a leaf's name."""
    return f"{service_name(service)}-{chr(ord('a') + replica)}"


def leaf_of(number: int) -> str:
    """Return the name of the leaf with this number, replicas of a service side by side."""
    return leaf_name(*divmod(number, target.REPLICAS + 1))


def node_name(number: int) -> str:
    """Return a node's name."""
    return f"entry-{number:03d}"


def node_address(number: int) -> str:
    """Return a node's address."""
    return f"10.0.{number // 250}.{number % 250 + 1}:20101"


def domain_of(number: int) -> str:
    """Return the failure domain of the node or leaf with this number."""
    return f"domain-{number % target.DOMAINS}"


def make_members(nodes: int) -> dict[str, Member]:
    """Return the members of a fleet."""
    return {
        node_name(number): {
            "incarnation": INCARNATION + number,
            "address": node_address(number),
            "domain": domain_of(number),
        }
        for number in range(nodes)
    }


def make_sites(leaves: int) -> dict[str, LeafSite]:
    """Return the sites of the leaves."""
    return {
        leaf_of(number): LeafSite(leaf_of(number)[:-2], domain_of(number))
        for number in range(leaves)
    }


def make_placement(
    members: dict[str, Member], leaves: int, all_to: tuple[str, str] | None = None
) -> Placement:
    """Return a first placement, planned, or with one owner and deputy of every leaf."""
    if all_to is None:
        return plan_placement(
            empty_placement(), make_sites(leaves), members, {}, set(), leaving=frozenset()
        )
    entries: dict[str, Entry] = {
        leaf: {"owner": all_to[0], "deputy": all_to[1], "owner_half": 0, "pending": []}
        for leaf in make_sites(leaves)
    }
    named: dict[str, Member] = {
        name: {"incarnation": 1, "address": f"{name}:1", "domain": "d"} for name in all_to
    }
    return {"epoch": 1, "members": named, "entries": entries}


def make_config(leaves: int) -> ConfigDoc:
    """Return a configuration document."""
    sites = make_sites(leaves)
    services = sorted({site.service for site in sites.values()})
    return {
        "revision": 1,
        "change_id": "change-0001",
        "domains": [{"name": f"domain-{n}", "region": f"r{n % 2}"} for n in range(target.DOMAINS)],
        "services": [
            {"name": name, "slots": 6, "connections": 45, "connect_ms": 6.0, "cold_slots": 1}
            for name in services
        ],
        "leaves": [
            {
                "name": name,
                "service": site.service,
                "domain": site.domain,
                "address": f"10.1.{number // 250}.{number % 250 + 1}:21000",
                "version": "v1",
            }
            for number, (name, site) in enumerate(sites.items())
        ],
        "routes": [
            {
                "name": "taller-search",
                "services": services,
                "idempotent": True,
                "priority": 0,
                "deadline_ms": 77,
                "min_coverage": 0.9,
            }
        ],
        "moves": [],
    }
