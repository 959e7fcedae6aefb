"""Client of the platform's host list, which may lag behind the actual state of the hosts."""

from __future__ import annotations

import enum

from typing import NamedTuple
from typing import TypedDict

import httpx
import msgspec
import trio

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_common.httpclient import HttpClient
from cactussaddle_common.httpclient import describe


class HostState(enum.StrEnum):
    """The states of a listed host."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(NamedTuple):
    """A host; `role` is `entry` or `backend`."""

    name: str
    address: str
    role: str
    domain: str
    state: HostState


class HostListError(NamedTuple):
    """The reason why the list could not be read."""

    detail: str


class HostRecord(TypedDict):
    """A host in the platform's response."""

    name: str
    address: str
    role: str
    domain: str
    state: HostState


class HostListBody(TypedDict):
    """The body of the platform's response."""

    hosts: list[HostRecord]


class HostList(HttpClient):
    """A client of the host list, to be used with `async with`; `timeout_s` limits each request."""

    def __init__(
        self,
        *,
        endpoint: str,
        timeout_s: float,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        http = httpx.AsyncClient(
            base_url=endpoint, timeout=timeout_s, transport=transport, trust_env=False
        )
        super().__init__(http=http)
        self._timeout_s = timeout_s

    async def fetch(self) -> Result[tuple[Host, ...], HostListError]:
        """Fetch the current list."""
        try:
            with trio.fail_after(self._timeout_s):
                resp = await self._http.get("/hosts")
            resp.raise_for_status()
            body = msgspec.json.decode(resp.content, type=HostListBody)
        except (httpx.HTTPError, trio.TooSlowError, msgspec.MsgspecError) as exc:
            return Failure(HostListError(describe(exc)))
        return Success(tuple(Host(**record) for record in body["hosts"]))
