"""Callers that keep their connections open until the node is gone, and note what they get."""

from __future__ import annotations

import itertools
import random

from typing import TYPE_CHECKING

import h11
import trio

from tests.soak.ledger import Ledger
from tests.soak.ledger import Seen
from tests.soak.nodes import CALLER_PORT

if TYPE_CHECKING:
    from tests.soak.nodes import NodeProcess

HOST = "soak.example"
PATIENCE_S = 1.5
PAUSE_S = 0.12
CONNECT_S = 0.5
# A request that crossed the node's close, sent this shortly before, was not cut.
CROSSED_S = 0.25
GONE = (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError, OSError)
PATHS = {"gather": "/g/x", "plain": "/p/x", "once": "/o/x"}


class Caller:
    """One caller: a request after another on one connection, to whichever node it last reached."""

    def __init__(
        self, *, number: object, nodes: list[NodeProcess], ledger: Ledger, seed: int
    ) -> None:
        self._nodes = nodes
        self._ledger = ledger
        self._rng = random.Random(f"{seed}/{number}")
        self._ids = (f"{number}-{count}" for count in itertools.count())
        self._node = self._rng.choice(nodes)
        self._stream: trio.SocketStream | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await trio.sleep(PAUSE_S * self._rng.uniform(0.5, 1.5))
            kind = self._rng.choice(["gather", "gather", "gather", "plain", "once"])
            await self.ask(kind, PATHS[kind])

    async def ask(self, kind: str, path: str) -> int:
        """Send one request; return its status, 0 where there was no answer."""
        if self._stream is None and not await self._connect():
            self._node = self._rng.choice(self._nodes)
            return 0
        request = next(self._ids)
        self._ledger.begins(request, kind)
        sent_at = trio.current_time()
        try:
            with trio.fail_after(PATIENCE_S + 1.0):
                status, headers, body = await self._exchange(kind, path, request)
        except GONE as exc:
            self._lost(kind, request, sent_at, str(exc))
            return 0
        except trio.TooSlowError:
            self._ledger.results[f"{kind} no answer"] += 1
            await self._drop()
            return 0
        seen = Seen(
            request, kind, self._node.name, status, headers, body, sent_at, trio.current_time()
        )
        self._ledger.saw(seen)
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            await self._drop()
        else:
            self._http.start_next_cycle()
        return status

    def _lost(self, kind: str, request: str, sent_at: float, why: str) -> None:
        self._ledger.results[f"{kind} cut"] += 1
        self._stream = None
        node = self._node
        since = node.stopping_since
        planned = since is not None and node.steady_since < since - 3.0
        is_late = trio.current_time() - sent_at > CROSSED_S
        if planned and (is_late or self._ledger.has_arrived(request)):
            self._ledger.breach(f"request {request} was cut by the planned stop of {node.name}")
        self._node = self._rng.choice(self._nodes)

    async def _connect(self) -> bool:
        node = self._node
        try:
            with trio.fail_after(CONNECT_S):
                self._stream = await trio.open_tcp_stream(node.ip, CALLER_PORT)
        except (OSError, trio.TooSlowError):
            return False
        self._http = h11.Connection(h11.CLIENT)
        return True

    async def _drop(self) -> None:
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
        self._stream = None

    async def _exchange(
        self, kind: str, path: str, request: str
    ) -> tuple[int, dict[str, str], bytes]:
        assert self._stream is not None
        body = b"order" if kind == "once" else b""
        headers = [
            ("Host", HOST),
            ("Request-Id", request),
            ("Deadline-Ms", str(int(PATIENCE_S * 1000))),
            ("Content-Length", str(len(body))),
        ]
        method = "POST" if kind == "once" else "GET"
        head = h11.Request(method=method, target=path, headers=headers)
        parts = [self._http.send(head), self._http.send(h11.Data(data=body))]
        parts.append(self._http.send(h11.EndOfMessage()))
        await self._stream.send_all(b"".join(part or b"" for part in parts))
        return await self._read()

    async def _read(self) -> tuple[int, dict[str, str], bytes]:
        assert self._stream is not None
        status, headers, body = 0, {}, b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode().lower(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, headers, body
            elif isinstance(event, h11.ConnectionClosed):
                raise trio.BrokenResourceError("closed before the answer")
