"""Test data: a small configuration with three domains and two services, and moves on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.model import Leaf
    from cactussaddle_core.config.model import Move

WALL = 1_800_000_000.0
DOMAINS = ("limerick", "dublin", "waterford")


def leaf(name: str, service: str, domain: str, host: int, version: str = "1.0") -> Leaf:
    return {
        "name": name,
        "service": service,
        "domain": domain,
        "address": f"10.0.0.{host}:8000",
        "version": version,
    }


def new_leaves(service: str, version: str, host: int = 100) -> list[Leaf]:
    return [
        leaf(f"{service}-{version}-{domain}", service, domain, host + n, version)
        for n, domain in enumerate(DOMAINS)
    ]


def sample_doc() -> ConfigDoc:
    return {
        "revision": 1,
        "change_id": "first",
        "domains": [{"name": name, "region": name} for name in DOMAINS],
        "services": [
            {"name": name, "slots": 6, "connections": 45, "connect_ms": 6.0, "cold_slots": 1}
            for name in ("bench-finder-01", "renewals")
        ],
        "leaves": [
            leaf("bf-lim", "bench-finder-01", "limerick", 1),
            leaf("bf-dub", "bench-finder-01", "dublin", 2),
            leaf("bf-wat", "bench-finder-01", "waterford", 3),
            leaf("re-lim", "renewals", "limerick", 4),
            leaf("re-dub", "renewals", "dublin", 5),
        ],
        "routes": [
            {
                "name": "bench-finder",
                "services": ["bench-finder-01"],
                "idempotent": True,
                "priority": 0,
                "deadline_ms": 500,
                "min_coverage": 0.5,
            }
        ],
        "moves": [],
    }


def move(kind: str, target: str, start: float = 60, finish: float = 600, **more) -> Move:
    """Return a move whose times are relative to `WALL`."""
    row: dict = {
        "id": more.pop("id", f"{kind}-{target}"),
        "kind": kind,
        "target": target,
        "start": WALL + start,
        "finish": WALL + finish,
        **more,
    }
    return row  # type: ignore[return-value]


def doc_with(*moves: Move) -> ConfigDoc:
    return {**sample_doc(), "moves": list(moves)}
