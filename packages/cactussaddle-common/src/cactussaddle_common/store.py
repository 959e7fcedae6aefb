"""The key-value store over the etcd v3 JSON gateway, with httpx on trio."""

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

CONNECT_SHARE = 0.5
MAX_CONNECTIONS = 16
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
MALFORMED = (KeyError, IndexError, TypeError, ValueError, AttributeError)


T = TypeVar("T")


class EtcdStore(HttpClient):
    """A client of the store; open it with `async with`.

    `timeout_s` bounds each call but a watch. `transport` replaces the network in tests.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        timeout_s: float,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        early_s = timeout_s * CONNECT_SHARE
        http = httpx.AsyncClient(
            base_url=endpoint,
            timeout=httpx.Timeout(timeout_s, connect=early_s, pool=early_s),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            transport=transport,
            trust_env=False,
        )
        super().__init__(http=http)
        self._timeout_s = timeout_s
        self._calls: Counter[StoreCall] = Counter()

    @property
    def calls(self) -> Counter[StoreCall]:
        """Calls made so far by kind."""
        return self._calls

    async def get(self, key: str, newer_than: int = 0) -> Result[Entry | None, StoreError]:
        """Read one key; None also when its last write is of revision `newer_than` or before."""
        answer = await self._read(etcdjson.range_request(key, newer_than))
        return parse(answer, StoreCall.READ, first_entry)

    async def get_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Read every key that starts with `prefix`, in order of key."""
        answer = await self._read(etcdjson.prefix_request(prefix))
        return parse(answer, StoreCall.READ, read_snapshot)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_mod_revision: int,
        also: Sequence[tuple[str, bytes]] = (),
        lease_id: int = 0,
        drop: tuple[str, str] | None = None,
    ) -> Result[SwapOutcome, StoreError]:
        """Write `key` if its last write is `expected_mod_revision` (`ABSENT`: no such key)."""
        more = [etcdjson.put_request(other, data) for other, data in also]
        if drop is not None:
            more.append(etcdjson.drop_request(*drop))
        update = Update(key, value, expected_mod_revision)
        body = etcdjson.swap_request(update, tuple(more), lease_id)
        answer = await self._call("/v3/kv/txn", body, StoreCall.WRITE)
        return parse(answer, StoreCall.WRITE, read_one_swap)

    async def create_many(
        self, items: Sequence[tuple[str, bytes]]
    ) -> Result[tuple[SwapOutcome, ...], StoreError]:
        """Create distinct keys, at most `MAX_GROUP`, in one transaction, each by itself."""
        return await self.update_many([Update(key, value, ABSENT) for key, value in items])

    async def update_many(
        self, items: Sequence[Update], lease_id: int = 0
    ) -> Result[tuple[SwapOutcome, ...], StoreError]:
        """Write distinct keys, at most `MAX_GROUP`, in one transaction, each by itself."""
        updates = tuple(items)
        if len(updates) > MAX_GROUP or len({update.key for update in updates}) < len(updates):
            detail = f"a group holds at most {MAX_GROUP} distinct keys, not {len(updates)}"
            return Failure(StoreError(StoreErrorKind.REJECTED, detail))
        if not updates:
            return Success(())
        answer = await self._call(
            "/v3/kv/txn", etcdjson.group_request(updates, lease_id), StoreCall.WRITE
        )
        outcomes = parse(answer, StoreCall.WRITE, etcdjson.read_group)
        if isinstance(outcomes, Success) and len(outcomes.unwrap()) != len(updates):
            return malformed(StoreCall.WRITE, "the answer lacks an outcome for each key")
        return outcomes

    async def delete(self, key: str) -> Result[int, StoreError]:
        """Delete a key; return how many were deleted."""
        body = etcdjson.delete_request(key)
        answer = await self._call("/v3/kv/txn", body, StoreCall.WRITE)
        return parse(answer, StoreCall.WRITE, etcdjson.read_deleted)

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Open a lease and return its id."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)}, StoreCall.LEASE)
        return parse(answer, StoreCall.LEASE, lambda message: int(message["ID"]))

    async def lease_keepalive(self, lease_id: int) -> Result[int, StoreError]:
        """Renew a lease; return the seconds it lasts, 0 when it has lapsed."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease_id)}, StoreCall.LEASE)
        return parse(answer, StoreCall.LEASE, read_ttl)

    async def lease_revoke(self, lease_id: int) -> Result[None, StoreError]:
        """End a lease and delete its keys."""
        answer = await self._call("/v3/lease/revoke", {"ID": str(lease_id)}, StoreCall.LEASE)
        return parse(answer, StoreCall.LEASE, lambda message: None)

    def watch(self, prefix: str, from_revision: int) -> Watch:
        """Follow changes under `prefix`; a watch that falls silent ends with a failure."""
        self._calls[StoreCall.WATCH] += 1
        return Watch(client=self._http, prefix=prefix, from_revision=from_revision)

    async def _read(self, body: Message) -> Result[Message, StoreError]:
        return await self._call("/v3/kv/range", body, StoreCall.READ)

    async def _call(self, path: str, body: Message, call: StoreCall) -> Result[Message, StoreError]:
        self._calls[call] += 1
        try:
            with trio.fail_after(self._timeout_s):
                resp = await self._http.post(path, content=msgspec.json.encode(body))
        except NEVER_SENT as exc:
            return Failure(StoreError(StoreErrorKind.UNAVAILABLE, describe(exc)))
        except (httpx.HTTPError, trio.TooSlowError) as exc:
            return Failure(StoreError(failed_kind(call), describe(exc)))
        return read_answer(resp, call)


def failed_kind(call: StoreCall) -> StoreErrorKind:
    """Return what is certain after a call was sent and no answer came."""
    return StoreErrorKind.UNAVAILABLE if call is StoreCall.READ else StoreErrorKind.UNKNOWN


def malformed(call: StoreCall, detail: str) -> Failure[StoreError]:
    """Return the failure for an answer that can't be read."""
    return Failure(StoreError(failed_kind(call), f"malformed answer: {detail}"))


def read_answer(resp: httpx.Response, call: StoreCall) -> Result[Message, StoreError]:
    """Return the body of an answer, or what its status says."""
    if resp.status_code >= HTTP_SERVER_ERROR:
        detail = f"status {resp.status_code}: {resp.text[:200]}"
        return Failure(StoreError(failed_kind(call), detail))
    if resp.status_code != HTTP_OK:
        detail = f"status {resp.status_code}: {resp.text[:200]}"
        return Failure(StoreError(StoreErrorKind.REJECTED, detail))
    try:
        return Success(msgspec.json.decode(resp.content, type=dict[str, Any]))
    except msgspec.MsgspecError as exc:
        return malformed(call, str(exc))


def parse(
    answer: Result[Message, StoreError], call: StoreCall, read: Callable[[Message], T]
) -> Result[T, StoreError]:
    """Apply a reader to an answer; a malformed answer is a failure."""
    if isinstance(answer, Failure):
        return Failure(answer.failure())
    try:
        return Success(read(answer.unwrap()))
    except MALFORMED as exc:
        return malformed(call, describe(exc))


def first_entry(message: Message) -> Entry | None:
    """Return the only entry of a range answer."""
    entries = etcdjson.read_entries(message)
    return entries[0] if entries else None


def read_snapshot(message: Message) -> Snapshot:
    """Return the entries and the revision of a range answer."""
    return Snapshot(etcdjson.read_entries(message), etcdjson.read_revision(message))


def read_one_swap(message: Message) -> SwapOutcome:
    """Return the outcome of a transaction with one compare-and-swap."""
    return etcdjson.read_swap(message, etcdjson.read_revision(message))


def read_ttl(message: Message) -> int:
    """Return the seconds that a renewed lease lasts."""
    return int(message.get("result", message).get("TTL", 0))
