"""A stand-in of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json

from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from world3.http import Connection
from world3.http import Request
from world3.http import Response
from world3.http import Server

PAGE_ITEMS = 500


class Item(NamedTuple):
    """A key as it was last written."""

    key: str
    value: bytes
    revision: int
    created_at: int
    lease: int


class Lease(NamedTuple):
    """When a lease ends, and for how long a renewal extends it."""

    until: float
    ttl_s: float


class Store:
    """Keys with revisions, leases and the whole history of changes.

    `modes` says how the calls of a machine are treated, by its address: "" serves them.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.modes: dict[str, str] = {}
        self.server = Server(handler=self._handle)
        self._leases: dict[int, Lease] = {}
        self._lease_ids = itertools.count(1000)
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key; return the revision that acknowledges it."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created_at = known.created_at if known is not None else self.revision
        self.items[key] = Item(key, data, self.revision, created_at, lease)
        self._log(_show(self.items[key]))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._log({"key": key, "revision": self.revision, "removed": True})

    def read(self, key: str) -> Any:
        """Return the value of a key, None if there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(item.value)

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for lease in [number for number, held in self._leases.items() if held.until <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for item in [item for item in self.items.values() if item.lease == lease]:
            self.delete(item.key)

    def _log(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, conn: Connection, req: Request) -> Response | None:
        mode = self.modes.get(conn.peer, "")
        if mode == "busy":
            return Response(503)
        if mode == "silent":
            await asyncio.sleep(3600.0)
        url = urlsplit(req.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name, _, rest = url.path.removeprefix("/cactussaddle/").partition("/")
        body = json.loads(req.body) if req.body else {}
        return await self._answer(req.method, name, rest, query, body)

    async def _answer(
        self, method: str, name: str, rest: str, query: dict[str, str], body: Any
    ) -> Response:
        if name == "kv-key":
            item = self.items.get(query["key"])
            return Response(404) if item is None else self._json(_show(item))
        if name == "kv-range":
            return self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._write(body)
        if name == "kv-lease":
            return self._grant(body["ttl_ms"] / 1000.0)
        lease = int(rest) if rest.isdigit() else 0
        held = self._leases.get(lease)
        if held is None:
            return Response(404)
        if name == "kv-lease-end":
            self._end_lease(lease)
            return self._json({})
        self._hold(lease, held.ttl_s)
        return self._json({"ttl_ms": held.ttl_s * 1000.0})

    def _grant(self, ttl_s: float) -> Response:
        lease = next(self._lease_ids)
        self._hold(lease, ttl_s)
        return self._json({"lease": lease, "ttl_ms": ttl_s * 1000.0})

    def _hold(self, lease: int, ttl_s: float) -> None:
        self._leases[lease] = Lease(asyncio.get_running_loop().time() + ttl_s, ttl_s)

    def _range(self, query: dict[str, str]) -> Response:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [_show(self.items[key]) for key in keys[:PAGE_ITEMS]]
        return self._json({"items": items, "has_more": len(keys) > PAGE_ITEMS})

    async def _watch(self, query: dict[str, str]) -> Response:
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000.0
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - asyncio.get_running_loop().time()
            if events or left_s <= 0.0:
                return self._json({"events": events})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, body: Any) -> Response:
        for row in body["precondition"]:
            known = self.items.get(row["key"])
            if (known.revision if known is not None else 0) != row["revision"]:
                rows = [self.items.get(one["key"]) for one in body["precondition"]]
                found = [_show(item) for item in rows if item is not None]
                return self._json({"items": found}, 412)
        if any(put["lease"] and put["lease"] not in self._leases for put in body["puts"]):
            return Response(404)
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["deletes"]:
            self.delete(key)
        return self._json({"revision": self.revision})

    def _json(self, value: dict[str, Any], status: int = 200) -> Response:
        body = json.dumps({**value, "as_of": self.revision}).encode()
        return Response(status, body, (("Content-Type", "application/json"),))


def _show(item: Item) -> dict[str, Any]:
    return {**item._asdict(), "value": base64.b64encode(item.value).decode()}
