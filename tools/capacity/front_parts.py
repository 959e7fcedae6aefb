"""CPU of a node's HTTP side for one caller's request."""

from __future__ import annotations

import httpx
import msgspec

from tools.child import child_server

REQUESTS = 300


def front_us(hits: int) -> float:
    """Return CPU microseconds of one request with an answer of `hits` hits."""
    body = msgspec.json.encode({"query": {"text": "monogram"}, "limit": hits})
    with (
        child_server("tools.capacity.front") as port,
        httpx.Client(trust_env=False, base_url=f"http://127.0.0.1:{port}") as client,
    ):
        for _ in range(20):
            client.post("/v1/routes/r", content=body).raise_for_status()
        before = float(client.get("/metrics").text)
        for _ in range(REQUESTS):
            client.post("/v1/routes/r", content=body).raise_for_status()
        return (float(client.get("/metrics").text) - before) * 1e6 / REQUESTS
