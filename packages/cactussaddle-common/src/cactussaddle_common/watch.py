"""Watches through the etcd v3 JSON gateway, with detection of silent streams."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import httpx
import msgspec
import trio

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_common import etcdjson
from cactussaddle_common.httpclient import describe
from cactussaddle_common.storeapi import StoreError
from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_common.storeapi import WatchBatch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import TracebackType

SILENCE_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 0.5
HTTP_OK = 200


class Watch:
    """A stream of changes, to be iterated within `async with`.

    Each item is a batch of changes, empty for a progress notification. The iteration ends after the
    first failure: the stream broke, was cancelled by the store, or received nothing for
    `SILENCE_TIMEOUT_S`.
    """

    def __init__(self, *, client: httpx.AsyncClient, prefix: str, from_revision: int) -> None:
        self._client = client
        self._prefix = prefix
        self._from_revision = from_revision
        self._lines: AsyncIterator[str] | None = None
        self._ended = False
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
            await self._stack.aclose()

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> Result[WatchBatch, StoreError]:
        if self._ended:
            raise StopAsyncIteration
        batch = await self._next_batch()
        self._ended = isinstance(batch, Failure)
        return batch

    async def _next_batch(self) -> Result[WatchBatch, StoreError]:
        try:
            with trio.fail_after(SILENCE_TIMEOUT_S):
                if self._lines is None:
                    self._lines = await self._open()
                line = await anext(self._lines)
        except trio.TooSlowError:
            return unavailable(f"silent for {SILENCE_TIMEOUT_S} s")
        except StopAsyncIteration:
            return unavailable("stream closed by the store")
        except httpx.HTTPError as exc:
            return unavailable(describe(exc))
        return read_line(line)

    async def _open(self) -> AsyncIterator[str]:
        body = etcdjson.watch_request(self._prefix, self._from_revision)
        request = self._client.stream(
            "POST",
            "/v3/watch",
            content=msgspec.json.encode(body),
            timeout=httpx.Timeout(SILENCE_TIMEOUT_S),
        )
        resp = await self._stack.enter_async_context(request)
        if resp.status_code != HTTP_OK:
            raise httpx.HTTPError(f"status {resp.status_code}")
        return resp.aiter_lines()


def unavailable(detail: str) -> Failure[StoreError]:
    """Return the failure with which a watch ends."""
    return Failure(StoreError(StoreErrorKind.UNAVAILABLE, f"watch: {detail}"))


def read_line(line: str) -> Result[WatchBatch, StoreError]:
    """Decode one line of the stream."""
    try:
        message = msgspec.json.decode(line, type=dict[str, Any])
        if "result" not in message:
            return unavailable(f"error from the store: {str(message.get('error', message))[:200]}")
        result = message["result"]
        if result.get("canceled", False):
            return unavailable(f"cancelled by the store: {cancel_reason(result)}")
        return Success(etcdjson.read_batch(result))
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError, AttributeError) as exc:
        return unavailable(f"malformed line: {exc}")


def cancel_reason(result: dict[str, Any]) -> str:
    """Return the reason why the store cancelled a watch."""
    compacted = result.get("compact_revision")
    if compacted:
        return f"revisions before {compacted} have been compacted"
    return str(result.get("cancel_reason", "no reason given"))
