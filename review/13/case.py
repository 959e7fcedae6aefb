"""Callers that offer HTTP/2 beside HTTP/1.1, as some HTTP libraries do by default."""

from __future__ import annotations

import sys

from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from world3.denied import HOST
from world3.denied import TARGET
from world3.denied import run
from world3.http import encode_request
from world3.world import run_case
from world3.world import with_trouble

if TYPE_CHECKING:
    from world3.world import Record
    from world3.world import World

OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQCAAAAAAIAAAAA",
}


def encode(request: str) -> bytes:
    """Encode a request, with the offer if there is to be a disruption."""
    headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "6000"}
    return encode_request("GET", TARGET, headers | (OFFER if with_trouble() else {}))


async def case(world: World, record: Record) -> bool:
    """Return whether the requests were let in."""
    return await run(world, record, encode)


if __name__ == "__main__":
    run_case("requests that offer an upgrade", case, seed=13)
