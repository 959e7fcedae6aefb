"""The nodes' own counts of leaf calls, from their state dumps."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import msgspec

from cactussaddle_cli.load.model import StateBody

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactussaddle_cli.load.model import LeafCalls


_decoder = msgspec.json.Decoder(type=StateBody)


async def read_leaf_calls(
    client: httpx.AsyncClient, targets: Sequence[str]
) -> list[LeafCalls] | None:
    """Return each target's counts, or None when one can't be read."""
    counts: list[LeafCalls] = []
    for target in targets:
        try:
            response = await client.get(f"{target}/state")
            counts.append(_decoder.decode(response.content)["budget"])
        except (httpx.HTTPError, msgspec.DecodeError):
            return None
    return counts


def leaf_calls_between(
    before: list[LeafCalls] | None, after: list[LeafCalls] | None
) -> LeafCalls | None:
    """Return what was added; None when a target started anew meanwhile or could not be read."""
    if before is None or after is None:
        return None
    if any(b["first_calls"] > a["first_calls"] for b, a in zip(before, after, strict=True)):
        return None
    return {
        "first_calls": sum(c["first_calls"] for c in after) - sum(c["first_calls"] for c in before),
        "hedges": sum(c["hedges"] for c in after) - sum(c["hedges"] for c in before),
        "retries": sum(c["retries"] for c in after) - sum(c["retries"] for c in before),
    }


def extra_share(calls: LeafCalls) -> float:
    """Return hedges and retries as a share of the first calls."""
    return (calls["hedges"] + calls["retries"]) / max(1, calls["first_calls"])
