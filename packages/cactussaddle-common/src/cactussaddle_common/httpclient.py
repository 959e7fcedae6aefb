"""Base class of clients that own an httpx client."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self

if TYPE_CHECKING:
    from types import TracebackType

    import httpx


class HttpClient:
    """Owns the httpx client `http` and closes it on leaving `async with`."""

    def __init__(self, *, http: httpx.AsyncClient) -> None:
        self._http = http

    async def __aenter__(self) -> Self:
        await self._http.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._http.__aexit__(kind, exc, traceback)


def describe(exc: Exception) -> str:
    """Return an exception's type and message; the message may be empty."""
    return f"{type(exc).__name__}: {exc}".rstrip(": ")
