"""Client of the key-value store through the etcd v3 JSON gateway."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import httpx
import msgspec
import trio

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_common import etcdjson
from cactussaddle_common.httpclient import HttpClient
from cactussaddle_common.httpclient import describe
from cactussaddle_common.storeapi import ABSENT
from cactussaddle_common.storeapi import MAX_GROUP
from cactussaddle_common.storeapi import Entry
from cactussaddle_common.storeapi import Snapshot
from cactussaddle_common.storeapi import StoreCall
from cactussaddle_common.storeapi import StoreError
from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_common.storeapi import SwapOutcome
from cactussaddle_common.storeapi import Update
from cactussaddle_common.watch import Watch

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cactussaddle_common.etcdjson import Message

CONNECT_TIMEOUT_SHARE = 0.5
MAX_CONNECTIONS = 16
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
DECODE_ERRORS = (KeyError, IndexError, TypeError, ValueError, AttributeError)


T = TypeVar("T")


class EtcdStore(HttpClient):
    """A client of the store, to be used with `async with`.

    `timeout_s` limits each call except a watch. Tests replace the network with `transport`.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        timeout_s: float,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        connect_timeout_s = timeout_s * CONNECT_TIMEOUT_SHARE
        http = httpx.AsyncClient(
            base_url=endpoint,
            timeout=httpx.Timeout(timeout_s, connect=connect_timeout_s, pool=connect_timeout_s),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            transport=transport,
            trust_env=False,
        )
        super().__init__(http=http)
        self._timeout_s = timeout_s
        self._calls: Counter[StoreCall] = Counter()

    @property
    def calls(self) -> Counter[StoreCall]:
        """The number of calls made so far, by kind."""
        return self._calls

    async def get(self, key: str, newer_than: int = 0) -> Result[Entry | None, StoreError]:
        """Read a key; None if it is missing or was last written at or before revision `newer_than`."""
        response = await self._read(etcdjson.range_request(key, newer_than))
        return parse(response, StoreCall.READ, first_entry)

    async def get_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Read all keys that start with `prefix`, ordered by key."""
        response = await self._read(etcdjson.prefix_request(prefix))
        return parse(response, StoreCall.READ, read_snapshot)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_mod_revision: int,
        extra_puts: Sequence[tuple[str, bytes]] = (),
        lease_id: int = 0,
        delete_range: tuple[str, str] | None = None,
    ) -> Result[SwapOutcome, StoreError]:
        """Write `key` if it was last written at `expected_mod_revision` (`ABSENT`: must not exist)."""
        extra_ops = [etcdjson.put_request(other, data) for other, data in extra_puts]
        if delete_range is not None:
            extra_ops.append(etcdjson.delete_range_request(*delete_range))
        update = Update(key, value, expected_mod_revision)
        body = etcdjson.swap_request(update, tuple(extra_ops), lease_id)
        response = await self._call("/v3/kv/txn", body, StoreCall.WRITE)
        return parse(response, StoreCall.WRITE, read_one_swap)

    async def create_many(
        self, items: Sequence[tuple[str, bytes]]
    ) -> Result[tuple[SwapOutcome, ...], StoreError]:
        """Create up to `MAX_GROUP` distinct keys in one transaction, independently of each other."""
        return await self.update_many([Update(key, value, ABSENT) for key, value in items])

    async def update_many(
        self, items: Sequence[Update], lease_id: int = 0
    ) -> Result[tuple[SwapOutcome, ...], StoreError]:
        """Write up to `MAX_GROUP` distinct keys in one transaction, independently of each other."""
        updates = tuple(items)
        if len(updates) > MAX_GROUP or len({update.key for update in updates}) < len(updates):
            detail = f"a group is limited to {MAX_GROUP} distinct keys; got {len(updates)} updates"
            return Failure(StoreError(StoreErrorKind.REJECTED, detail))
        if not updates:
            return Success(())
        response = await self._call(
            "/v3/kv/txn", etcdjson.group_request(updates, lease_id), StoreCall.WRITE
        )
        outcomes = parse(response, StoreCall.WRITE, etcdjson.read_group)
        if isinstance(outcomes, Success) and len(outcomes.unwrap()) != len(updates):
            return malformed(StoreCall.WRITE, "number of outcomes differs from number of keys")
        return outcomes

    async def delete(self, key: str) -> Result[int, StoreError]:
        """Delete a key; return the number of keys deleted."""
        body = etcdjson.delete_request(key)
        response = await self._call("/v3/kv/txn", body, StoreCall.WRITE)
        return parse(response, StoreCall.WRITE, etcdjson.read_deleted)

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Grant a lease and return its id."""
        response = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)}, StoreCall.LEASE)
        return parse(response, StoreCall.LEASE, lambda message: int(message["ID"]))

    async def lease_keepalive(self, lease_id: int) -> Result[int, StoreError]:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        response = await self._call("/v3/lease/keepalive", {"ID": str(lease_id)}, StoreCall.LEASE)
        return parse(response, StoreCall.LEASE, read_ttl)

    async def lease_revoke(self, lease_id: int) -> Result[None, StoreError]:
        """Revoke a lease; the store deletes its keys."""
        response = await self._call("/v3/lease/revoke", {"ID": str(lease_id)}, StoreCall.LEASE)
        return parse(response, StoreCall.LEASE, lambda message: None)

    def watch(self, prefix: str, from_revision: int) -> Watch:
        """Watch changes under `prefix`; a watch that receives nothing for too long ends with a failure."""
        self._calls[StoreCall.WATCH] += 1
        return Watch(client=self._http, prefix=prefix, from_revision=from_revision)

    async def _read(self, body: Message) -> Result[Message, StoreError]:
        return await self._call("/v3/kv/range", body, StoreCall.READ)

    async def _call(self, path: str, body: Message, call: StoreCall) -> Result[Message, StoreError]:
        self._calls[call] += 1
        try:
            with trio.fail_after(self._timeout_s):
                resp = await self._http.post(path, content=msgspec.json.encode(body))
        except NOT_SENT_ERRORS as exc:
            return Failure(StoreError(StoreErrorKind.UNAVAILABLE, describe(exc)))
        except (httpx.HTTPError, trio.TooSlowError) as exc:
            return Failure(StoreError(failure_kind(call), describe(exc)))
        return read_response(resp, call)


def failure_kind(call: StoreCall) -> StoreErrorKind:
    """Return the kind of error for a call that was sent but got no valid response."""
    return StoreErrorKind.UNAVAILABLE if call is StoreCall.READ else StoreErrorKind.UNKNOWN


def malformed(call: StoreCall, detail: str) -> Failure[StoreError]:
    """Return the failure for a response that can't be decoded."""
    return Failure(StoreError(failure_kind(call), f"malformed response: {detail}"))


def read_response(resp: httpx.Response, call: StoreCall) -> Result[Message, StoreError]:
    """Return the decoded body of a response, or the failure that its status stands for."""
    if resp.status_code >= HTTP_SERVER_ERROR:
        detail = f"status {resp.status_code}: {resp.text[:200]}"
        return Failure(StoreError(failure_kind(call), detail))
    if resp.status_code != HTTP_OK:
        detail = f"status {resp.status_code}: {resp.text[:200]}"
        return Failure(StoreError(StoreErrorKind.REJECTED, detail))
    try:
        return Success(msgspec.json.decode(resp.content, type=dict[str, Any]))
    except msgspec.MsgspecError as exc:
        return malformed(call, str(exc))


def parse(
    response: Result[Message, StoreError], call: StoreCall, read: Callable[[Message], T]
) -> Result[T, StoreError]:
    """Decode a response with `read`; a malformed response becomes a failure."""
    if isinstance(response, Failure):
        return Failure(response.failure())
    try:
        return Success(read(response.unwrap()))
    except DECODE_ERRORS as exc:
        return malformed(call, describe(exc))


def first_entry(message: Message) -> Entry | None:
    """Return the entry of a range response for a single key, if any."""
    entries = etcdjson.read_entries(message)
    return entries[0] if entries else None


def read_snapshot(message: Message) -> Snapshot:
    """Decode the entries and the revision of a range response."""
    return Snapshot(etcdjson.read_entries(message), etcdjson.read_revision(message))


def read_one_swap(message: Message) -> SwapOutcome:
    """Decode the outcome of a transaction with a single compare-and-swap."""
    return etcdjson.read_swap(message, etcdjson.read_revision(message))


def read_ttl(message: Message) -> int:
    """Return the time to live of a renewed lease in seconds."""
    return int(message.get("result", message).get("TTL", 0))
