"""Configuration deltas: the changes between one revision and a later one."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from cactussaddle_core.changes import diff_items
from cactussaddle_core.changes import patch_items
from cactussaddle_core.config.model import Config
from cactussaddle_core.config.model import ConfigDoc
from cactussaddle_core.config.model import Domain
from cactussaddle_core.config.model import Leaf
from cactussaddle_core.config.model import Move
from cactussaddle_core.config.model import Route
from cactussaddle_core.config.model import Service
from cactussaddle_core.config.model import build_config
from cactussaddle_core.hashing import hash64


class ConfigDelta(NamedTuple):
    """The changes between revision `base` and `revision`; an item of None was removed.

    `digest` is the digest of the complete configuration at `revision`.
    """

    base: int
    revision: int
    change_id: str
    digest: int
    domains: dict[str, Domain | None]
    services: dict[str, Service | None]
    leaves: dict[str, Leaf | None]
    routes: dict[str, Route | None]
    moves: dict[str, Move | None]


def diff_config(old: Config, new: Config) -> ConfigDelta:
    """Return the delta that turns `old` into `new`."""
    return ConfigDelta(
        base=old.revision,
        revision=new.revision,
        change_id=new.change_id,
        digest=config_digest(new),
        domains=diff_items(old.domains, new.domains),
        services=diff_items(old.services, new.services),
        leaves=diff_items(old.leaves, new.leaves),
        routes=diff_items(old.routes, new.routes),
        moves=diff_items(old.moves, new.moves),
    )


def patch_config(old: Config, delta: ConfigDelta) -> Config | None:
    """Return `old` with the delta applied, or None if the base or the result's digest differs."""
    if old.revision != delta.base:
        return None
    doc: ConfigDoc = {
        "revision": delta.revision,
        "change_id": delta.change_id,
        "domains": list(patch_items(old.domains, delta.domains).values()),
        "services": list(patch_items(old.services, delta.services).values()),
        "leaves": list(patch_items(old.leaves, delta.leaves).values()),
        "routes": list(patch_items(old.routes, delta.routes).values()),
        "moves": list(patch_items(old.moves, delta.moves).values()),
    }
    patched = build_config(doc)
    return patched if config_digest(patched) == delta.digest else None


def config_doc(cfg: Config) -> ConfigDoc:
    """Return the document of a configuration, its items sorted by name."""
    return {
        "revision": cfg.revision,
        "change_id": cfg.change_id,
        "domains": [cfg.domains[name] for name in sorted(cfg.domains)],
        "services": [cfg.services[name] for name in sorted(cfg.services)],
        "leaves": [cfg.leaves[name] for name in sorted(cfg.leaves)],
        "routes": [cfg.routes[name] for name in sorted(cfg.routes)],
        "moves": [cfg.moves[name] for name in sorted(cfg.moves)],
    }


def config_digest(cfg: Config) -> int:
    """Return a hash of the content that does not depend on the order of the items."""
    return hash64(msgspec.json.encode(config_doc(cfg), order="sorted"))
