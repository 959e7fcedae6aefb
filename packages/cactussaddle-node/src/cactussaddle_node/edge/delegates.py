"""Queries handed between nodes, as MessagePack over HTTP; the answer is the one for the caller."""

from __future__ import annotations

import functools
import math
import re

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import trio

from cactussaddle_common.http.channel import Address
from cactussaddle_common.http.channel import Exchange
from cactussaddle_common.http.channel import ExchangeFailure
from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_common.http.message import RequestHead
from cactussaddle_common.http.message import encode_request
from cactussaddle_common.http.pool import Pool
from cactussaddle_common.http.pool import PoolSettings
from cactussaddle_core.access.credential import Credential
from cactussaddle_core.access.credential import KeyFault
from cactussaddle_core.access.credential import Sealed
from cactussaddle_core.delegation.accepting import PAUSED
from cactussaddle_core.delegation.accepting import PauseWatch
from cactussaddle_core.delegation.accepting import refusal
from cactussaddle_core.delegation.model import DelegateLost
from cactussaddle_core.delegation.model import DelegateRefused
from cactussaddle_core.delegation.model import DelegateReplied
from cactussaddle_core.edge import events as ev
from cactussaddle_core.edge.delegating import RETURN_MARGIN_S
from cactussaddle_core.fanout.model import CallerRequest
from cactussaddle_node.edge.clock import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.channel import ExchangeResult
    from cactussaddle_common.http.message import Response
    from cactussaddle_common.http.pool import Ticket
    from cactussaddle_common.http.requestreader import IncomingRequest
    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_core.delegation.model import Delegated
    from cactussaddle_core.edge.state import EdgeState
    from cactussaddle_node.edge.caller import CallerConnection

PATH = b"/query"
REFUSED_HEADER = b"query-refused"
# Marks the answer for the caller. Any other was given by a node that has not begun the query, or by
# another process that has got its address.
ANSWER_HEADER = b"query-answer"
ANSWER_MARK = (ANSWER_HEADER, b"1")
MAX_STATUS = 599
REFUSED_STATUS = 503
MALFORMED_STATUS = 400
# A node of the same failure domain that does not answer within this time is gone or cut off.
CONNECT_TIMEOUT_S = 0.1
# Connections to one delegate; more queries than these are run by this node.
MAX_CONNECTIONS = 8
IDLE_LIMIT_S = 10.0
MAX_ANSWER_BYTES = 1024 * 1024
MALFORMED = (msgspec.ValidationError, msgspec.DecodeError, RecursionError)


class _Query(NamedTuple):
    """A query as handed on; `timeout_s` is what is left of the caller's time, `waited_s` what is over.

    `all_headers` are those with a key or a team, if the request has such, which `headers` leave out.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    timeout_s: float
    waited_s: float
    fingerprint: str
    caller_rtt_s: float
    table_version: int
    all_headers: tuple[tuple[bytes, bytes], ...] | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Query)


def encode_query(delegated: Delegated, now: float) -> bytes:
    """Encode a query that is handed on."""
    request = delegated.request
    withheld = request.credential.all_headers
    return _encoder.encode(
        _Query(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            timeout_s=max(0.0, request.timeout_s - RETURN_MARGIN_S),
            waited_s=max(0.0, now - delegated.arrived_at),
            fingerprint=request.fingerprint,
            caller_rtt_s=request.caller_rtt_s,
            table_version=delegated.table_version,
            all_headers=withheld.reveal() if withheld is not None else None,
        )
    )


class DelegateClient:
    """Hands queries to other nodes over kept connections, and feeds what becomes of them."""

    def __init__(
        self, *, nursery: TaskStarter, local_host: str, feed: Callable[[ev.Event], None]
    ) -> None:
        self._nursery = nursery
        self._local_host = local_host
        self._feed = feed
        self._pools: dict[Address, Pool] = {}
        self._tickets: dict[int, tuple[Pool, Ticket]] = {}

    def send(self, delegated: Delegated) -> None:
        """Hand a query to its delegate."""
        number = delegated.request.req_id
        pool = self._pool(Address(delegated.member.host, delegated.member.port, self._local_host))
        exchange = Exchange(
            encode=functools.partial(_encode_request, delegated),
            left=_ignore_sent,
            accept=_accept,
            ended=functools.partial(self._ended, number),
            max_body_bytes=MAX_ANSWER_BYTES,
        )
        ticket = pool.start(exchange)
        if ticket is None:
            self._feed(ev.DelegateEnded(number, DelegateRefused("no connection allowed")))
        elif pool.is_active(ticket):
            self._tickets[number] = (pool, ticket)

    def cancel(self, number: int) -> None:
        """Close the exchange of a query whose answer is no longer wanted."""
        found = self._tickets.pop(number, None)
        if found is not None:
            pool, ticket = found
            pool.cancel(ticket)

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for pool in self._pools.values():
            pool.sweep(now)

    def _pool(self, address: Address) -> Pool:
        pool = self._pools.get(address)
        if pool is None:
            settings = PoolSettings(MAX_CONNECTIONS, CONNECT_TIMEOUT_S, _ignore_time)
            pool = Pool(address=address, nursery=self._nursery, settings=settings)
            pool.idle_limit_s = IDLE_LIMIT_S
            self._pools[address] = pool
        return pool

    def _ended(self, number: int, end: ExchangeResult) -> None:
        self._tickets.pop(number, None)
        if end.failure is not ExchangeFailure.CANCELLED:
            self._feed(ev.DelegateEnded(number, _outcome(end)))


def _encode_request(delegated: Delegated) -> bytes:
    member = delegated.member
    host = f"{member.host}:{member.port}".encode("ascii")
    head = RequestHead(b"POST", PATH, ((b"Host", host),))
    return encode_request(head, encode_query(delegated, trio.current_time()))


def _outcome(end: ExchangeResult) -> DelegateReplied | DelegateRefused | DelegateLost:
    response = end.response
    if response is None:
        if end.failure in _NEVER_SENT:
            return DelegateRefused(f"{end.failure.value} {end.detail}".strip())
        return DelegateLost(end.failure.value if end.failure is not None else "lost")
    if response.header(ANSWER_HEADER) is None:
        reason = response.header(REFUSED_HEADER) or b"status %d" % response.status
        return DelegateRefused(reason.decode("latin-1"))
    if response.status > MAX_STATUS:
        return DelegateLost(f"status {response.status}")
    return DelegateReplied(response.status, _answer_headers(response), response.body)


def _answer_headers(response: Response) -> tuple[tuple[bytes, bytes], ...]:
    return tuple((key, value) for key, value in response.headers if key not in _FRAMING)


# A request whose connection could not be opened has not reached the other node.
_NEVER_SENT = frozenset({ExchangeFailure.NOT_CONNECTED, ExchangeFailure.NEVER_SENT})
_FRAMING = frozenset(
    {b"content-length", b"connection", b"transfer-encoding", b"keep-alive", ANSWER_HEADER}
)


class _OtherNode:
    """The connection on which another node waits for the answer to a query."""

    def __init__(
        self, *, connection: CallerConnection, number: int, answered: Callable[[], object]
    ) -> None:
        self._connection = connection
        self._number = number
        self._answered = answered

    def answer(self, number: int, answer: OutgoingResponse) -> None:
        """Answer the node; `number` is this node's own number of the request."""
        self._answered()
        marked = answer._replace(headers=(*answer.headers, ANSWER_MARK))
        self._connection.answer(self._number, marked)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class DelegateServer:
    """Takes queries from other nodes, as requests of their callers."""

    def __init__(
        self,
        *,
        state: EdgeState,
        cores: float,
        next_request_number: Callable[[], int],
        begin: Callable[[int, _OtherNode, ev.RequestArrived], None],
        caller_gone: Callable[[int], None],
    ) -> None:
        self._state = state
        self._cores = cores
        self._next_request_number = next_request_number
        self._begin = begin
        self._caller_gone = caller_gone
        self._pauses = PauseWatch()
        self._numbers: dict[int, int] = {}

    def ran(self) -> None:
        """Record that the process runs."""
        self._pauses.ran(boot_time())

    def received(self, number: int, connection: CallerConnection, request: IncomingRequest) -> None:
        """Begin a query of another node, or refuse it."""
        try:
            query = _decoder.decode(request.body)
        except MALFORMED as exc:
            answer = OutgoingResponse(MALFORMED_STATUS, (), str(exc).encode())
            connection.answer(number, answer)
            return
        if not _is_sound(query):
            answer = OutgoingResponse(MALFORMED_STATUS, (), b"not a caller's request")
            connection.answer(number, answer)
            return
        reason = self._refusal(query)
        if reason is not None:
            headers = ((REFUSED_HEADER, reason.encode("ascii")),)
            connection.answer(number, OutgoingResponse(REFUSED_STATUS, headers, b""))
            return
        own_number = self._next_request_number()
        self._numbers[number] = own_number
        answered = functools.partial(self._numbers.pop, number, None)
        other = _OtherNode(connection=connection, number=number, answered=answered)
        self._begin(own_number, other, _decode(own_number, query))

    def disconnected(self, number: int) -> None:
        """End the query of a node that has closed its connection."""
        own_number = self._numbers.pop(number, None)
        if own_number is not None:
            self._caller_gone(own_number)

    def _refusal(self, query: _Query) -> str | None:
        state = self._state
        if self._pauses.was_paused(boot_time()):
            return PAUSED
        table = state.current_table.table
        return refusal(
            stopping=state.stopping.asked or not state.is_loaded(),
            same_table=table is not None and table.version == query.table_version,
            queries=len(state.fanout.queries),
            cores=self._cores,
            lag_s=state.fanout.loop_lag.lag_s(trio.current_time()),
        )


def _is_sound(query: _Query) -> bool:
    """Return whether times are times, and nothing in the request can pass for another request at a leaf."""
    times = (query.timeout_s, query.waited_s, query.caller_rtt_s)
    if not all(math.isfinite(seconds) and seconds >= 0.0 for seconds in times):
        return False
    try:
        request_id = query.request_id.encode("latin-1")
    except UnicodeEncodeError:
        return False
    headers = [text for pair in (*query.headers, *(query.all_headers or ())) for text in pair]
    if any(_BREAKS.search(text) for text in (request_id, *headers)):
        return False
    return not any(_BREAKS_OR_SPACES.search(text) for text in (query.method, query.target))


_BREAKS = re.compile(rb"[\r\n\0]")
_BREAKS_OR_SPACES = re.compile(rb"[\r\n\0 \t]")


def _decode(number: int, query: _Query) -> ev.RequestArrived:
    withheld = None if query.all_headers is None else Sealed(query.all_headers)
    request = CallerRequest(
        req_id=number,
        request_id=query.request_id,
        method=query.method,
        target=query.target,
        host=query.host,
        headers=query.headers,
        body=query.body,
        timeout_s=query.timeout_s,
        fingerprint=query.fingerprint,
        caller_rtt_s=query.caller_rtt_s,
        delegated=True,
        # No key is handed on: if a table that names teams comes before the query begins, it can't decide.
        credential=Credential(None, KeyFault.UNCONFIRMED, withheld),
    )
    return ev.RequestArrived(request, query.waited_s)


def _ignore_sent() -> None:
    """Do nothing when the request is sent."""


def _accept(response: Response) -> bool:
    """Accept any response: the connection carries one exchange at a time."""
    return True


def _ignore_time(took_s: float) -> None:
    """Ignore the connect time."""
