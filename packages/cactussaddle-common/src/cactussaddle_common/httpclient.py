"""An httpx client that its owner opens and closes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self

if TYPE_CHECKING:
    from types import TracebackType

    import httpx


class HttpClient:
    """Owns `http` while it is open; open it with `async with`."""

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
    """Name an exception that may have no text."""
    return f"{type(exc).__name__}: {exc}".rstrip(": ")
