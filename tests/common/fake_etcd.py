"""An in-process fake of the etcd gateway behind `httpx.MockTransport`."""

from __future__ import annotations

import base64
import json

from typing import Any

import httpx
import trio


def text(data: str) -> str:
    return base64.b64decode(data).decode()


class FakeEtcd:
    """Implements the calls that `EtcdStore` makes.

    `fault` is called with the path of each request before it is executed, `after` afterwards; each
    returns an exception, a status or "hang" to inject as a fault, or None.
    """

    def __init__(self):
        self.revision = 1
        self.kvs: dict[str, dict] = {}
        self.fault: Any = lambda path: None
        self.after: Any = lambda path: None
        self.paths: list[str] = []
        self.watch_lines: list[dict | float] = []

    def transport(self) -> httpx.MockTransport:
        return httpx.MockTransport(self.handle)

    async def handle(self, req: httpx.Request) -> httpx.Response:
        path = req.url.path
        self.paths.append(path)
        fault_before = self.fault(path)
        if fault_before is not None:
            return await self.fail(fault_before)
        body = json.loads(req.content)
        if path == "/v3/watch":
            return httpx.Response(200, content=self.stream())
        response = self.run(path, body)
        fault_after = self.after(path)
        if fault_after is not None:
            return await self.fail(fault_after)
        response["header"] = {"revision": str(self.revision)}
        return httpx.Response(200, json=response)

    async def fail(self, fault) -> httpx.Response:
        if isinstance(fault, Exception):
            raise fault
        if fault == "hang":
            await trio.sleep_forever()
        return httpx.Response(fault, json={"error": "injected"})

    async def stream(self):
        for line in self.watch_lines:
            if isinstance(line, float):
                await trio.sleep(line)
            else:
                yield json.dumps(line).encode() + b"\n"

    def run(self, path: str, body: dict) -> dict:
        if path == "/v3/kv/range":
            return self.range(body)
        if path == "/v3/kv/txn":
            writes = json.dumps(body).count("request_put")
            self.revision += 1 if writes else 0
            return self.txn(body)
        if path == "/v3/lease/grant":
            return {"ID": "77", "TTL": body["TTL"]}
        if path == "/v3/lease/keepalive":
            return {"result": {"ID": body["ID"], "TTL": "5" if body["ID"] == "77" else "0"}}
        return {}

    def range(self, body: dict) -> dict:
        low = text(body["key"])
        high = text(body["range_end"]) if "range_end" in body else None
        names = [low] if high is None else [k for k in sorted(self.kvs) if low <= k < high]
        found = [self.kvs[name] for name in names if name in self.kvs]
        return {"kvs": found, "count": str(len(found))} if found else {}

    def delete(self, body: dict) -> dict:
        deleted = [text(kv["key"]) for kv in self.range(body).get("kvs", [])]
        for name in deleted:
            del self.kvs[name]
        return {"deleted": str(len(deleted))} if deleted else {}

    def doc(self, key: str) -> Any:
        return json.loads(text(self.kvs[key]["value"]))

    def txn(self, body: dict) -> dict:
        held = all(self.holds(compare) for compare in body.get("compare", []))
        ops = body.get("success" if held else "failure", [])
        response: dict = {"responses": [self.op(op) for op in ops]}
        return {**response, "succeeded": True} if held else response

    def holds(self, compare: dict) -> bool:
        entry = self.kvs.get(text(compare["key"]), {"mod_revision": "0"})
        return entry["mod_revision"] == compare["mod_revision"]

    def op(self, op: dict) -> dict:
        if "request_txn" in op:
            return {"response_txn": self.txn(op["request_txn"])}
        if "request_range" in op:
            return {"response_range": self.range(op["request_range"])}
        if "request_delete_range" in op:
            return {"response_delete_range": self.delete(op["request_delete_range"])}
        put = op["request_put"]
        entry = {"key": put["key"], "value": put["value"], "mod_revision": str(self.revision)}
        self.kvs[text(put["key"])] = entry
        return {"response_put": {}}
