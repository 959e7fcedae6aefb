"""Requests between nodes for changes of the store's records: MessagePack over HTTP long polling."""

from __future__ import annotations

import math
import zlib

from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib.parse import parse_qs

import msgspec
import trio

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_common.http.channel import Address
from cactussaddle_common.http.fetch import fetch
from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_common.http.message import RequestHead
from cactussaddle_common.http.message import encode_request
from cactussaddle_common.http.pool import Pool
from cactussaddle_common.http.pool import PoolSettings
from cactussaddle_common.storeapi import StoreError
from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_core.spread.choice import STALE_S
from cactussaddle_core.spread.model import Batch
from cactussaddle_core.spread.model import Record
from cactussaddle_core.spread.timing import LONG_POLL_S
from cactussaddle_node.edge.delegates import PATH as QUERY_PATH
from cactussaddle_node.edge.follow import MIN_CONFIRMATION_STEP_S
from cactussaddle_node.edge.internalhooks import internal_hooks

if TYPE_CHECKING:
    from cactussaddle_common.http.message import Headers
    from cactussaddle_common.http.message import Response
    from cactussaddle_common.http.requestreader import IncomingRequest
    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_core.spread.model import Member
    from cactussaddle_core.spread.model import Poll
    from cactussaddle_node.edge.caller import CallerConnection
    from cactussaddle_node.edge.caller import CallerHooks
    from cactussaddle_node.edge.delegates import DelegateServer
    from cactussaddle_node.edge.follow import Follower
    from cactussaddle_node.edge.guard import TaskGuard
    from cactussaddle_node.edge.listener import Listener

PATH = b"/records"
CONNECT_TIMEOUT_S = 0.5
# Shorter bodies are not worth the time to compress them.
MIN_COMPRESS_BYTES = 2048
COMPRESS_LEVEL = 3
AGE_HEADER = b"record-age"
IN_SERVICE_HEADER = b"store-in-service"
WAITED_HEADER = b"record-waited"
ERA_HEADER = b"record-era"
# Larger ages in requests are clamped to this, also the infinite age of a node without records.
MAX_AGE_S = 1e6
ENCODING_HEADER = b"content-encoding"
# Limit on a decompressed body, far above the size of any real set of records.
MAX_RECORDS_BYTES = 64 * 1024 * 1024
NO_HISTORY = -1
# Era in the request of a node that knows none, or that runs an older version.
NO_ERA = 0
OK = 200

_encoder = msgspec.msgpack.Encoder()


class BatchBody(NamedTuple):
    """The body of an answer; the ages are in its headers, so that the body can be cached."""

    records: tuple[Record, ...]
    revision: int
    whole: bool
    age_s: float


_decoder = msgspec.msgpack.Decoder(BatchBody)


class PeerClient:
    """Requests changes from other nodes, over one persistent connection to the current node."""

    def __init__(self, *, nursery: TaskStarter, local_host: str) -> None:
        self._nursery = nursery
        self._local_host = local_host
        self._pools: dict[Address, Pool] = {}

    async def changes(self, member: Member, poll: Poll) -> Result[Batch, StoreError]:
        """Ask a node for changes."""
        address = Address(member.host, member.port, self._local_host)
        age_s = min(poll.age_s, MAX_AGE_S)
        asked = (PATH, poll.after, age_s, poll.wait_s, poll.era)
        target = b"%s?after=%d&age=%.3f&wait=%.3f&era=%d" % asked
        host = f"{member.host}:{member.port}".encode("ascii")
        data = encode_request(RequestHead(b"GET", target, ((b"Host", host),)), b"")
        end = await fetch(self._pool(address), data, poll.wait_s + poll.timeout_s)
        if end.response is None or end.response.status != OK:
            reason = (
                f"{member.node}: {end.failure.value if end.failure else 'not loaded'} {end.detail}"
            )
            return Failure(StoreError(StoreErrorKind.UNAVAILABLE, reason.strip()))
        try:
            return Success(decode_batch(end.response))
        except (ValueError, zlib.error) as exc:
            return Failure(StoreError(StoreErrorKind.UNKNOWN, f"{member.node}: {exc}"))

    def _pool(self, address: Address) -> Pool:
        pool = self._pools.get(address)
        if pool is None:
            self._close_others(address)
            settings = PoolSettings(1, CONNECT_TIMEOUT_S, _ignore_time, is_checked=True)
            pool = self._pools[address] = Pool(
                address=address, nursery=self._nursery, settings=settings
            )
        return pool

    def _close_others(self, address: Address) -> None:
        for other in list(self._pools):
            if other != address:
                self._pools.pop(other).abort()


class PeerServer:
    """Answers other nodes; a request from an up-to-date node waits briefly for changes."""

    def __init__(
        self,
        *,
        follower: Follower,
        nursery: TaskStarter,
        guard: TaskGuard,
        queries: DelegateServer | None = None,
    ) -> None:
        self._follower = follower
        self._queries = queries
        self._guard = guard
        self._nursery = nursery
        self._encoded = EncodedBatchCache()

    def hooks(self, listener: Listener) -> CallerHooks:
        """Return the callbacks for connections on a listener that serves other nodes."""
        disconnected = self._queries.disconnected if self._queries is not None else None
        return internal_hooks(listener, self._on_request, disconnected=disconnected)

    def _on_request(
        self, number: int, connection: CallerConnection, request: IncomingRequest
    ) -> None:
        path, _, query = request.head.target.partition(b"?")
        if path == QUERY_PATH and self._queries is not None:
            self._queries.received(number, connection, request)
            return
        asked = parse_asked(query)
        if path != PATH or asked is None:
            connection.answer(number, OutgoingResponse(404, (), b"no such page"))
        elif not self._follower.log.revision:
            connection.answer(number, OutgoingResponse(503, (), b"nothing known yet"))
        elif asked.era > self._follower.log.era:
            connection.answer(number, OutgoingResponse(503, (), b"records of an earlier era"))
        else:
            task = (self._answer, number, connection, asked)
            self._nursery.start_soon(self._guard.run_once, "answer to a node", *task)

    async def _answer(self, number: int, connection: CallerConnection, asked: Asked) -> None:
        follower = self._follower
        asked_at = follower.clock()
        most_s = longest_wait_s(follower, known_revision(follower, asked), asked.age_s, asked_at)
        with trio.move_on_after(min(asked.wait_s, most_s)):
            await follower.changed.wait()
        now = follower.clock()
        after = known_revision(follower, asked)
        connection.answer(number, self._encoded.answer(follower, after, now - asked_at, now))


class Asked(NamedTuple):
    """A node's request: for the changes after revision `after` of an era, which it knows for `age_s`."""

    after: int
    era: int
    age_s: float
    wait_s: float


def parse_asked(query: bytes) -> Asked | None:
    """Parse the query of a node's request; None if it names no revision."""
    # Bytes beyond ASCII stand for themselves, so any query can be parsed.
    fields = parse_qs(query.decode("latin-1"), encoding="latin-1")
    after = parse_revision(_first(fields, "after"))
    if after is None:
        return None
    age_s = _parse_seconds(_first(fields, "age"))
    # A node that names no wait waits for `LONG_POLL_S`.
    wait_s = _parse_seconds(_first(fields, "wait")) or LONG_POLL_S
    return Asked(after, parse_revision(_first(fields, "era")) or NO_ERA, age_s, wait_s)


def _first(fields: dict[str, list[str]], name: str) -> bytes:
    return fields.get(name, [""])[0].encode("latin-1")


def known_revision(follower: Follower, asked: Asked) -> int:
    """Return the revision whose records the asker has; none if the store was restored since."""
    is_earlier = asked.era != NO_ERA and asked.era < follower.log.era
    return NO_HISTORY if is_earlier else asked.after


def longest_wait_s(follower: Follower, after: int, known_s: float, now: float) -> float:
    """Return how long a request waits for changes before it is answered.

    The requesting node has all changes up to revision `after`, confirmed by the store `known_s`
    ago. It is answered at once if this node has later changes or a later confirmation, and as soon as
    this node's own records are stale.
    """
    age_s = follower.age_s(now)
    has_news = follower.log.revision > after or age_s + MIN_CONFIRMATION_STEP_S <= known_s
    if has_news:
        return 0.0
    return min(LONG_POLL_S, max(0.0, STALE_S - age_s))


class EncodedBatchCache:
    """Caches the last encoded batch, as many followers request the same one."""

    def __init__(self) -> None:
        self._key = (0, 0, 0)
        self._body = b""
        self._headers: Headers = ()

    def answer(
        self, follower: Follower, after: int, waited_s: float, now: float
    ) -> OutgoingResponse:
        """Return the answer with the changes after a revision, for a request that waited `waited_s`."""
        log = follower.log
        key = (log.era, log.revision, after)
        if self._key != key:
            self._key = key
            self._encode(log.since(after, 0.0))
        in_service_s = min(follower.outages.in_service_s(now), MAX_AGE_S)
        headers = (
            *self._headers,
            (AGE_HEADER, b"%.3f" % follower.age_s(now)),
            (IN_SERVICE_HEADER, b"%.3f" % in_service_s),
            (WAITED_HEADER, b"%.3f" % waited_s),
            (ERA_HEADER, b"%d" % log.era),
        )
        return OutgoingResponse(OK, headers, self._body)

    def _encode(self, batch: Batch) -> None:
        body = BatchBody(batch.records, batch.revision, batch.whole, batch.age_s)
        self._body = _encoder.encode(body)
        self._headers = ()
        if len(self._body) >= MIN_COMPRESS_BYTES:
            self._body = zlib.compress(self._body, COMPRESS_LEVEL)
            self._headers = ((ENCODING_HEADER, b"deflate"),)


def decode_batch(response: Response) -> Batch:
    """Decode a node's answer; raises `ValueError` or `zlib.error` if it is malformed."""
    body = response.body
    if response.header(ENCODING_HEADER) is not None:
        inflater = zlib.decompressobj()
        body = inflater.decompress(body, MAX_RECORDS_BYTES)
        if not inflater.eof:
            raise ValueError("compressed records are truncated or too large")
    age_s = float(response.header(AGE_HEADER) or b"nan")
    if not 0.0 <= age_s < math.inf:
        raise ValueError("record-age header is missing or invalid")
    decoded = _decoder.decode(body)
    in_service_s = _parse_seconds(response.header(IN_SERVICE_HEADER) or b"")
    waited_s = _parse_seconds(response.header(WAITED_HEADER) or b"")
    era = parse_revision(response.header(ERA_HEADER) or b"") or None
    return Batch(
        decoded.records, decoded.revision, decoded.whole, age_s, in_service_s, waited_s, era
    )


def parse_revision(value: bytes) -> int | None:
    """Parse a revision sent by a node, or `NO_HISTORY`; None if it is neither."""
    try:
        number = int(value)
    except ValueError:
        return None
    return number if number >= NO_HISTORY else None


def _parse_seconds(value: bytes) -> float:
    """Parse a time sent by a node; 0 if it is invalid or missing, as from a node that sends none."""
    try:
        number = float(value)
    except ValueError:
        return 0.0
    return number if 0.0 <= number < math.inf else 0.0


def _ignore_time(took_s: float) -> None:
    """Ignore the connect time."""
