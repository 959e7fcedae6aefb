"""Streams between this node and its peers: dialled on first use, or accepted.

grpclib needs an asyncio loop; trio-asyncio provides one on the same thread as the trio loop.
"""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Self

import trio_asyncio

from grpclib.client import Channel
from grpclib.client import StreamStreamMethod
from grpclib.config import Configuration
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Server

from cactussaddle_core import wire
from cactussaddle_node.peers.codec import FrameCodec
from cactussaddle_node.peers.link import PING_INTERVAL_S
from cactussaddle_node.peers.link import Link

if TYPE_CHECKING:
    from collections.abc import Callable


METHOD = "/cactussaddle.Peers/Exchange"
DIAL_TIMEOUT_S = 1.0
REDIAL_INTERVAL_S = 0.3
WINDOW_BYTES = 2**24


class PeerIdentity(NamedTuple):
    """How this node identifies itself to peers; `address` is the `ip:port` that they dial."""

    node: str
    incarnation: int
    address: str


class _BoundChannel(Channel):
    """A channel whose connection is bound to a given local IP address."""

    def __init__(self, host: str, port: int, local_host: str) -> None:
        config = Configuration(
            http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
        )
        super().__init__(host, port, codec=FrameCodec(), config=config)
        self._local_host = local_host

    async def _create_connection(self) -> Any:
        _, protocol = await self._loop.create_connection(
            self._protocol_factory, self._host, self._port, local_addr=(self._local_host, 0)
        )
        return protocol


class _ExchangeService:
    """The gRPC service that accepts streams from other nodes."""

    def __init__(self, *, transport: PeerTransport) -> None:
        self._transport = transport

    def __mapping__(self) -> dict[str, Handler]:
        return {
            METHOD: Handler(self._transport.serve_stream, Cardinality.STREAM_STREAM, bytes, bytes)
        }


class PeerTransport:
    """Sends messages to peers and passes received messages to `on_message(node, message)`.

    `on_down(node)` is called when a dialled stream has ended. Both run on the thread of the event
    loop.
    """

    def __init__(
        self,
        *,
        identity: PeerIdentity,
        listen_host: str,
        listen_port: int,
        clock: Callable[[], float],
        on_message: Callable[[str, Any], None],
        on_down: Callable[[str], None],
    ) -> None:
        self.identity = identity
        self._listen = (listen_host, listen_port)
        self._clock = clock
        self._on_message = on_message
        self._on_down = on_down
        self._dialled: dict[str, Link] = {}
        self._accepted_by_node: dict[str, Link] = {}
        self._accepted_links: set[Link] = set()
        self._tasks: set[asyncio.Future[None]] = set()
        self._redial_at: dict[str, float] = {}
        self._server: Server | None = None

    async def __aenter__(self) -> Self:
        await trio_asyncio.aio_as_trio(self._start)()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await trio_asyncio.aio_as_trio(self._stop)()

    @property
    def links(self) -> list[Link]:
        """All streams that are open or being opened."""
        return [*self._dialled.values(), *self._accepted_links]

    def send(self, node: str, address: str, message: Any) -> bool:
        """Queue a message to the peer at `address` (`ip:port`), dialling it if necessary.

        A stream dialled by the peer is used as well, so that a response returns on the stream of
        its request. Return False when the message was not queued and will not be sent.
        """
        link = self._dialled.get(address) or self._accepted_by_node.get(node)
        if link is None and address:
            link = self._dial(node, address)
        return link is not None and link.send(message)

    def connected(self, address: str) -> bool:
        """Return whether a dialled stream to the peer at `ip:port` is open or being opened."""
        return address in self._dialled

    async def serve_stream(self, stream: Any) -> None:
        """Serve one accepted stream until it ends."""
        link = self._make_link("", accepted=True)
        self._accepted_links.add(link)
        try:
            await link.run(stream)
        finally:
            self._accepted_links.discard(link)
            if self._accepted_by_node.get(link.node) is link:
                del self._accepted_by_node[link.node]

    def _make_link(self, node: str, *, accepted: bool = False) -> Link:
        return Link(
            node=node,
            accepted=accepted,
            hello=wire.Hello(*self.identity),
            clock=self._clock,
            on_message=self._handle_message,
        )

    def _handle_message(self, node: str, message: Any, link: Link) -> None:
        if not node:
            return
        if link.accepted:
            self._accepted_by_node[node] = link
        self._on_message(node, message)

    def _dial(self, node: str, address: str) -> Link | None:
        now = self._clock()
        if now < self._redial_at.get(address, 0.0):
            return None
        self._redial_at[address] = now + REDIAL_INTERVAL_S
        link = self._dialled[address] = self._make_link(node)
        task = asyncio.ensure_future(self._run_dialled(address, link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return link

    async def _run_dialled(self, address: str, link: Link) -> None:
        try:
            await self._exchange(address, link)
        except asyncio.CancelledError:
            raise
        except Exception:  # the stream is down, whatever the cause; the next message redials
            pass
        finally:
            link.closed = True
            if self._dialled.get(address) is link:
                del self._dialled[address]
            self._on_down(link.node)

    async def _exchange(self, address: str, link: Link) -> None:
        host, port = address.rsplit(":", 1)
        channel = _BoundChannel(host, int(port), self._listen[0])
        method = StreamStreamMethod(channel, METHOD, bytes, bytes)
        try:
            async with method.open() as stream:
                await asyncio.wait_for(stream.send_request(), DIAL_TIMEOUT_S)
                await link.run(stream)
                await stream.cancel()
        finally:
            channel.close()

    async def _start(self) -> None:
        self._server = Server([_ExchangeService(transport=self)], codec=FrameCodec())
        await self._server.start(*self._listen)
        self._tasks.add(asyncio.ensure_future(self._check_links()))

    async def _check_links(self) -> None:
        while True:
            now = self._clock()
            for link in self.links:
                link.check(now)
            await asyncio.sleep(PING_INTERVAL_S)

    async def _stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
