"""A stand-in of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from common.http import Reply
from common.http import Request
from common.http import Server
from common.http import ServerConnection

if TYPE_CHECKING:
    import random


class Item(NamedTuple):
    """A key as last written."""

    key: str
    value: bytes
    revision: int
    lease: int


class Store:
    """Keys with revisions, leases and watches. Leafs and the operator write to it directly.

    While `lost_share` is above 0, that share of the answers to nodes is lost: the call is carried
    out, and its connection returns nothing further. While `is_down`, calls get 503.
    """

    def __init__(self, rng: random.Random) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.lost_share = 0.0
        self.is_down = False
        self.lost_calls: list[tuple[float, str, str]] = []
        self.server = Server(self._handle)
        self._rng = rng
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1000)
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its revision."""
        self.revision += 1
        item = Item(key, value, self.revision, lease)
        self.items[key] = item
        self._record(_shown(item))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "removed": True})

    def expire_all_leases(self) -> None:
        """End all leases, as may happen while the store is down."""
        for lease in list(self._leases):
            self._end_lease(lease)

    async def run_leases(self) -> None:
        """End the leases whose time is over, until cancelled; they pause while the store is down."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if self.is_down:
                continue
            for lease in [name for name, (until, _) in self._leases.items() if until <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    def _record(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, connection: ServerConnection, request: Request) -> Reply | None:
        if self.is_down:
            return Reply(503, {}, b"")
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        name, _, rest = url.path.removeprefix("/cactussaddle/").partition("/")
        reply = await self._answer(name, rest, query, body)
        if self.is_down:
            return Reply(503, {}, b"") if name == "kv-watch" else None
        if self._rng.random() < self.lost_share:
            self.lost_calls.append((time.monotonic(), connection.peer, name))
            return None
        return reply

    async def _answer(self, name: str, rest: str, query: dict[str, str], body: Any) -> Reply:
        if name == "kv-range":
            return self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._write(body)
        if name == "kv-lease":
            lease = next(self._lease_ids)
            ttl_s = body["ttl_ms"] / 1000.0
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return _json({"lease": lease, "ttl_ms": body["ttl_ms"]})
        if name == "kv-keep":
            known = self._leases.get(int(rest))
            if known is None:
                return Reply(404, {}, b"")
            self._leases[int(rest)] = (time.monotonic() + known[1], known[1])
            return _json({"ttl_ms": known[1] * 1000.0})
        return Reply(404, {}, b"")

    def _range(self, query: dict[str, str]) -> Reply:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [_shown(self.items[key]) for key in keys[:500]]
        return _json({"items": items, "has_more": len(keys) > 500, "as_of": self.revision})

    async def _watch(self, query: dict[str, str]) -> Reply:
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while self.revision <= after and time.monotonic() < until:
            try:
                await asyncio.wait_for(self._changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        events = [event for event in self._history if event["revision"] > after]
        return _json({"events": events, "as_of": self.revision})

    def _write(self, body: Any) -> Reply:
        rows = body.get("precondition", [])
        for row in rows:
            known = self.items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                current = [self.items[row["key"]] for row in rows if row["key"] in self.items]
                return _json({"items": [_shown(item) for item in current]}, 412)
        if any(put["lease"] and put["lease"] not in self._leases for put in body["puts"]):
            return Reply(404, {}, b"")
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["deletes"]:
            self.delete(key)
        return _json({"revision": self.revision})


def _shown(item: Item) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "value": value, "revision": item.revision, "lease": item.lease}


def _json(data: Any, status: int = 200) -> Reply:
    return Reply(status, {"Content-Type": "application/json"}, json.dumps(data).encode())
