"""Messages of the etcd v3 JSON gateway: keys and values in base64, 64-bit integers as strings."""

from __future__ import annotations

import base64

from typing import Any

from cactussaddle_common.storeapi import Entry
from cactussaddle_common.storeapi import SwapOutcome
from cactussaddle_common.storeapi import Update
from cactussaddle_common.storeapi import WatchBatch
from cactussaddle_common.storeapi import WatchEvent

Message = dict[str, Any]


def encode(data: bytes) -> str:
    """Encode bytes as base64 text."""
    return base64.b64encode(data).decode()


def decode(text: str) -> bytes:
    """Decode base64 text."""
    return base64.b64decode(text)


def encode_key(key: str) -> str:
    """Encode a key as base64 text."""
    return encode(key.encode())


def prefix_end(prefix: str) -> bytes:
    """Return the first key that sorts after all keys starting with `prefix`."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == 0xFF:
        raw.pop()
    if not raw:
        return b"\0"
    raw[-1] += 1
    return bytes(raw)


def range_request(key: str, newer_than: int = 0) -> Message:
    """Request one key; the result is empty if it was last written at or before `newer_than`."""
    request: Message = {"key": encode_key(key)}
    if newer_than:
        request["min_mod_revision"] = str(newer_than + 1)
    return request


def prefix_request(prefix: str) -> Message:
    """Request all keys under a prefix."""
    return {"key": encode_key(prefix), "range_end": encode(prefix_end(prefix))}


def put_request(key: str, value: bytes, lease_id: int = 0) -> Message:
    """Return the operation that writes one key."""
    put: Message = {"key": encode_key(key), "value": encode(value)}
    if lease_id:
        put["lease"] = str(lease_id)
    return {"request_put": put}


def swap_request(update: Update, extra_ops: tuple[Message, ...] = (), lease_id: int = 0) -> Message:
    """Return a transaction that writes a key if its revision is as expected and else reads it."""
    return {
        "compare": [
            {
                "key": encode_key(update.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(update.expected_mod_revision),
            }
        ],
        "success": [put_request(update.key, update.value, lease_id), *extra_ops],
        "failure": [{"request_range": range_request(update.key)}],
    }


def group_request(updates: tuple[Update, ...], lease_id: int = 0) -> Message:
    """Return a transaction of independent compare-and-swap operations."""
    swaps = [swap_request(update, lease_id=lease_id) for update in updates]
    return {"success": [{"request_txn": swap} for swap in swaps]}


def delete_request(key: str) -> Message:
    """Return a transaction that deletes one key."""
    return {"success": [{"request_delete_range": range_request(key)}]}


def delete_range_request(first: str, end: str) -> Message:
    """Return the operation that deletes the keys from `first` up to, not including, `end`."""
    return {"request_delete_range": {"key": encode_key(first), "range_end": encode_key(end)}}


def watch_request(prefix: str, from_revision: int) -> Message:
    """Request a watch of a prefix from a revision on, with progress notifications."""
    create = prefix_request(prefix)
    create["start_revision"] = str(from_revision)
    create["progress_notify"] = True
    return {"create_request": create}


def read_revision(message: Message) -> int:
    """Return the store revision from a message header."""
    return int(message.get("header", {}).get("revision", 0))


def read_entry(kv: Message) -> Entry:
    """Decode a key-value message."""
    return Entry(
        key=decode(kv["key"]).decode(),
        value=decode(kv.get("value", "")),
        mod_revision=int(kv.get("mod_revision", 0)),
    )


def read_entries(message: Message) -> tuple[Entry, ...]:
    """Decode the entries of a range response."""
    return tuple(read_entry(kv) for kv in message.get("kvs", []))


def read_swap(message: Message, revision: int) -> SwapOutcome:
    """Decode the outcome of one compare-and-swap."""
    if message.get("succeeded", False):
        return SwapOutcome(succeeded=True, revision=revision, current=None)
    entries = read_entries(message["responses"][0]["response_range"])
    return SwapOutcome(succeeded=False, revision=revision, current=entries[0] if entries else None)


def read_group(message: Message) -> tuple[SwapOutcome, ...]:
    """Decode the outcome of each compare-and-swap of a group."""
    revision = read_revision(message)
    responses = message.get("responses", [])
    return tuple(read_swap(response["response_txn"], revision) for response in responses)


def read_deleted(message: Message) -> int:
    """Return the number of keys deleted by a transaction with a single deletion."""
    return int(message["responses"][0]["response_delete_range"].get("deleted", 0))


def read_event(event: Message) -> WatchEvent:
    """Decode one change reported by a watch."""
    entry = read_entry(event["kv"])
    deleted = event.get("type") == "DELETE"
    return WatchEvent(entry.key, None if deleted else entry.value, entry.mod_revision)


def read_batch(result: Message) -> WatchBatch:
    """Decode the changes in one line of a watch stream."""
    events = tuple(read_event(event) for event in result.get("events", []))
    return WatchBatch(read_revision(result), events)
