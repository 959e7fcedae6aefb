"""Server side of one caller's HTTP/1.1 connection: reads requests and answers them in order."""

from __future__ import annotations

import contextlib
import enum
import math
import select
import socket

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

import trio

from cactussaddle_common.http.message import HEAD
from cactussaddle_common.http.message import OutgoingResponse
from cactussaddle_common.http.message import encode_answer_to_head
from cactussaddle_common.http.message import encode_response
from cactussaddle_common.http.message import encode_response_head
from cactussaddle_common.http.requestreader import RequestFaultError
from cactussaddle_common.http.requestreader import RequestReader
from cactussaddle_common.http.roundtrip import kernel_rtt_s
from cactussaddle_common.http.sendbuffer import SendBuffer
from cactussaddle_core.callerbudget.account import Stage
from cactussaddle_core.callerbudget.cost import CONNECTION_BYTES
from cactussaddle_core.callerbudget.cost import WINDOW_BYTES
from cactussaddle_core.callerbudget.cost import reading_bytes
from cactussaddle_core.callerbudget.cost import request_bytes
from cactussaddle_core.callerbudget.cost import served_bytes
from cactussaddle_core.invariants import Promise
from cactussaddle_core.invariants import require

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactussaddle_common.http.message import Headers
    from cactussaddle_common.http.requestreader import IncomingRequest
    from cactussaddle_common.tasks import TaskStarter
    from cactussaddle_core.routing.model import CallerLimits
    from cactussaddle_node.edge.callerbudget import CallerBudget

READ_BYTES = 65_536
END_OF_STREAM = b""
REQUEST_TIMEOUT_STATUS = 408
STOPPING_STATUS = 503
STOPPING_HEADERS = ((b"Retry-After", b"0.1"),)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# While this many pipelined requests wait, or this many bytes of them, no more is read.
MAX_PIPELINED_REQUESTS = 16
MAX_PIPELINED_BYTES = 256 * 1024
# Longest piece of headers that is parsed at a time; it may contain many short requests.
HEAD_PIECE_BYTES = 4096
# Bodies from this size on are not copied behind their headers.
LARGE_ANSWER_BYTES = 64 * 1024
# Refusal of a request for which the host has no memory to spare.
SHORT_STATUS = 503
SHORT_HEADERS = ((b"Retry-After", b"0.5"),)
SHORT_MESSAGE = "too much is held for callers"
# Minimum upload rate of a request body. A slower request is refused with 408 once the header
# and idle time-outs have passed.
MIN_BODY_BYTES_PER_S = 1024.0
# A connection is quiet after this time without a request.
QUIET_S = 1.0


class DropReason(enum.StrEnum):
    """Why data that was read from a connection is dropped."""

    AFTER_LAST = "received after the last request"
    BEHIND_LAST = "sent ahead behind the last answer"
    CLOSED = "connection closed"
    IN_PART = "refused, as only a part had come"


class Dropped(NamedTuple):
    """Whole requests, and perhaps an unfinished one, that were read from a connection and dropped."""

    reason: DropReason
    requests: tuple[IncomingRequest, ...]
    unfinished: bool


class CallerHooks(NamedTuple):
    """Callbacks from a connection to its owner.

    `request_received` is called for each complete request, with a number from
    `next_request_number`; `caller_disconnected` for a request in progress whose caller has closed
    the connection; `data_dropped` for what is read and never answered, and `data_unread` if a caller has
    sent more on a connection that takes no further requests. While `stopping` returns true, connections
    are closed after the answers to what their callers have sent.
    """

    next_request_number: Callable[[], int]
    request_received: Callable[[int, CallerConnection, IncomingRequest], None]
    caller_disconnected: Callable[[int], None]
    data_dropped: Callable[[Dropped], None]
    data_unread: Callable[[], None]
    ended: Callable[[CallerConnection], None]
    stopping: Callable[[], bool]
    limits: Callable[[], CallerLimits]


class CallerConnection:
    """An accepted connection; `serve` runs until the connection is closed."""

    def __init__(
        self,
        *,
        sock: socket.socket,
        nursery: TaskStarter,
        hooks: CallerHooks,
        budget: CallerBudget,
    ) -> None:
        self._sock = sock
        self._nursery = nursery
        self._hooks = hooks
        self._budget = budget
        self._reader = RequestReader(limits=hooks.limits())
        self._send_buffer = SendBuffer(
            sock=sock,
            nursery=nursery,
            failed=self._on_write_failed,
            drained=self._on_drained,
            progressed=self._on_written,
        )
        self._pipelined: deque[IncomingRequest] = deque()
        self._pipelined_bytes = 0
        self._serving_bytes = 0
        # Bytes that were received and wait behind the pipelined requests.
        self._unparsed = b""
        self._room = trio.Event()
        self._current_number: int | None = None
        self._request_count = 0
        # Whether the current request is one to HEAD, whose answer has no body.
        self._asks_head = False
        # Whether a request is being handed on; it may be answered at once.
        self._is_starting = False
        self._keep_alive = True
        self._request_started_at = math.inf
        self._reading_stopped = False
        self._finishing = False
        self._leaves_unread = False
        self._drop_reported = False
        # When the connection was closed for sending.
        self._shut_at = math.inf
        self._idle_since = trio.current_time()
        self._ended = False
        self._scope = trio.CancelScope()
        # The wait for data in progress.
        self._reading = trio.CancelScope()
        self.holder = budget.join(self, self._idle_since)

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served and no answer is waiting to be written."""
        busy = self._current_number is not None or self._pipelined or self._is_receiving()
        return not busy and not self._send_buffer.pending

    def is_quiet(self, now: float) -> bool:
        """Return whether the connection has been idle so long that its caller is unlikely to use it now.

        A request that is on its way when the connection is closed is lost.
        """
        if not self.idle or self.has_unread():
            return False
        return now - self._idle_since >= QUIET_S

    @property
    def is_writing(self) -> bool:
        """Whether bytes of answers wait to be taken by the kernel."""
        return not self._ended and bool(self._send_buffer.pending)

    @property
    def finishing(self) -> bool:
        """Whether the connection takes no further requests."""
        return self._finishing or self._ended

    def has_unread(self) -> bool:
        """Return whether the socket has unread data or an unread end of stream."""
        if self._ended or self._reading_stopped:
            return False
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        return bool(poll.poll(0))

    def network_time_s(self) -> float | None:
        """Return the network time that the current request costs its caller, both directions.

        The first request on a connection includes one more round trip, for the TCP handshake.
        Returns None where the kernel does not report a round-trip time.
        """
        rtt_s = kernel_rtt_s(self._sock)
        if rtt_s is None:
            return None
        return rtt_s if self._request_count > 1 else 2.0 * rtt_s

    async def serve(self) -> None:
        """Read requests until the connection is closed."""
        try:
            with self._scope:
                while not self._ended:
                    if self._leaves_unread:
                        await self._wait_closed()
                    else:
                        await self._read_some()
        finally:
            self.close()

    def answer(self, number: int, answer: OutgoingResponse) -> None:
        """Send the answer to request `number`, then start the next pipelined request."""
        if self._ended:
            return
        require(
            number == self._current_number,
            Promise.OWN_ANSWER,
            f"answer to request {number} while request {self._current_number} is served",
        )
        self._current_number = None
        self._serving_bytes = 0
        self._idle_since = trio.current_time()
        self.holder.progress_at = self._idle_since
        is_last = self._finishing or (self._hooks.stopping() and not self._has_more())
        keep_alive = self._keep_alive and not is_last
        self._leaves_unread = self._leaves_unread or is_last
        self._write(answer, keep_alive)
        if not keep_alive:
            self._finish()
        elif self._is_starting and self._pipelined:
            self._nursery.start_soon(self._start_later)
        else:
            self._start_next()
        if self._current_number is None:
            self._reading.deadline = self._read_deadline(self._idle_since)
        self._count_held()

    def finish(self) -> None:
        """Accept no further requests; pending answers are written before the connection closes.

        What the caller sends from now on is left unread. A request that has come in part is refused.
        """
        if self._ended:
            return
        self._leaves_unread = True
        if self._is_receiving() and not self.finishing and self._current_number is None:
            self._drop_received(DropReason.IN_PART)
            self._refuse(STOPPING_STATUS, "node is shutting down", STOPPING_HEADERS)
        else:
            self._finish()

    def make_room(self) -> bool:
        """Give up what is held for the caller; return whether its request was refused as not run.

        A caller whose request has begun, or that has answers to read, is disconnected.
        """
        began = self._current_number is not None or self._send_buffer.pending
        if began or self._pipelined or self._finishing or not self._is_receiving():
            self.close()
            return False
        self._refuse_for_room()
        return True

    def close(self) -> None:
        """Close the connection at once and abandon the request being served."""
        if self._ended:
            return
        self._ended = True
        self._room.set()
        self._drop_received(DropReason.CLOSED)
        self._send_buffer.discard()
        self._reader.close()
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()
        self._scope.cancel()
        self._budget.leave(self.holder)
        serving, self._current_number = self._current_number, None
        self._hooks.ended(self)
        if serving is not None:
            self._hooks.caller_disconnected(serving)

    async def _read_some(self) -> None:
        with trio.move_on_at(self._read_deadline(trio.current_time())) as scope:
            self._reading = scope
            if self._pipelined or self._unparsed:
                await self._wait_room()
            else:
                await self._wait_readable()
        if self._ended or self._leaves_unread:
            return
        if scope.cancelled_caught:
            self._read_timed_out()
            return
        if self._unparsed:
            self._parse_some()
            return
        if self._pipelined and self._is_full():
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
        elif self._reading_stopped:
            self._report_dropped()
        else:
            self._unparsed = data
            self._parse_some()

    def _report_dropped(self) -> None:
        """Report once that what the caller still sends is dropped."""
        if not self._drop_reported:
            self._drop_reported = True
            self._hooks.data_dropped(Dropped(DropReason.AFTER_LAST, (), True))

    async def _wait_closed(self) -> None:
        """Wait until the caller closes the connection, or the idle time-out, without reading data."""
        with trio.move_on_after(self._hooks.limits().idle_timeout_s) as scope:
            while self._peek() != END_OF_STREAM:
                await self._wait_readable()
                if self._peek():
                    self._hooks.data_unread()
                    await trio.sleep_forever()
        if not scope.cancelled_caught or self.idle:
            self.close()

    def _peek(self) -> bytes | None:
        """Return the next byte without reading it; `END_OF_STREAM` at the end or after an error.

        Return None if nothing has been received.
        """
        if self._ended:
            return END_OF_STREAM
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return END_OF_STREAM

    def _has_more(self) -> bool:
        """Return whether the caller has sent more than the requests that were answered."""
        return bool(self._pipelined) or self._is_receiving() or self.has_unread()

    def _is_receiving(self) -> bool:
        """Return whether a part of a request, or more, has been read behind the pipelined requests."""
        return self._reader.started or bool(self._unparsed)

    def _is_full(self) -> bool:
        """Return whether so much waits that no more is read from the caller."""
        if not self._pipelined or self._reading_stopped:
            return False
        is_long = len(self._pipelined) >= MAX_PIPELINED_REQUESTS
        return is_long or self._pipelined_bytes >= MAX_PIPELINED_BYTES

    async def _wait_room(self) -> None:
        """Wait until there is something to parse or to read, and room for it beside what waits."""
        if self._is_full():
            self._limit_window()
            self._room = trio.Event()
            await self._room.wait()
            self._request_started_at = trio.current_time()
        elif self._unparsed:
            await trio.lowlevel.checkpoint()
        else:
            await self._wait_readable()

    def _limit_window(self) -> None:
        """Let the kernel take no more than a window from a caller that is far ahead."""
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES // 2)

    async def _wait_readable(self) -> None:
        try:
            await trio.lowlevel.wait_readable(self._sock)
        except trio.ClosedResourceError:
            self._ended = True

    def _read_deadline(self, now: float) -> float:
        """Return the time at which waiting for more data times out."""
        limits = self._hooks.limits()
        if self._shut_at < math.inf:
            return self._shut_at + limits.idle_timeout_s
        if self._reader.started and not self._reading_stopped and not self._is_full():
            head_by = self._request_started_at + limits.header_timeout_s
            if not self._reader.headers_complete:
                return head_by
            body_s = limits.idle_timeout_s + self._reader.received / MIN_BODY_BYTES_PER_S
            return head_by + body_s
        if self._current_number is not None:
            return math.inf
        return now + limits.idle_timeout_s

    def _read_timed_out(self) -> None:
        if self._is_full():
            self._close_if_unread()
        elif self._reader.started and not self._reading_stopped:
            if self._current_number is None:
                self._refuse(REQUEST_TIMEOUT_STATUS, "the request took too long to arrive")
            else:
                self._reading_stopped = True
        elif self._current_number is None:
            self._close_if_unread()

    def _close_if_unread(self) -> None:
        """Close the connection unless the caller still reads its answers."""
        unread_since = self.holder.progress_at if self._send_buffer.pending else -math.inf
        if trio.current_time() - unread_since >= self._hooks.limits().idle_timeout_s:
            self.close()

    def _parse_some(self) -> None:
        """Parse a piece of what has been read; a body is parsed at once."""
        data, self._unparsed = self._unparsed, b""
        if len(data) > HEAD_PIECE_BYTES and not self._reader.in_body:
            data, self._unparsed = data[:HEAD_PIECE_BYTES], data[HEAD_PIECE_BYTES:]
        self._process_data(data)
        if self._reading_stopped:
            self._unparsed = b""
        self._count_held()

    def _process_data(self, data: bytes) -> None:
        self._reader.limits = self._hooks.limits()
        finished = self._reader.finished
        now = trio.current_time()
        if self._reader.started:
            self.holder.progressed(len(data), now)
        else:
            self._request_started_at = self.holder.progress_at = now
        try:
            self._reader.feed(data)
        except RequestFaultError as exc:
            if self._current_number is None and not self._pipelined:
                self._refuse(exc.fault.value, str(exc))
            else:
                self._reading_stopped = True
            return
        if self._reader.finished > finished:
            self._request_started_at = now
        if self._reader.expects_continue and self._reader.headers_complete:
            self._reader.expects_continue = False
            self._send_buffer.write(CONTINUE_RESPONSE)
        self._pipelined.extend(self._reader.requests)
        self._reader.requests = []
        if self._current_number is None:
            self._start_next()
        if self._pipelined:
            self._pipelined_bytes = sum(_waiting_bytes(request) for request in self._pipelined)

    def _start_next(self) -> None:
        """Start the next request, once the answers before it have been taken by the kernel."""
        if not self._pipelined:
            if self._reading_stopped:
                self._finish()
            return
        if self._send_buffer.pending:
            return
        request = self._pipelined.popleft()
        if self._pipelined:
            self._pipelined_bytes -= _waiting_bytes(request)
        else:
            self._pipelined_bytes = 0
        serving_bytes = _serving_bytes(request)
        if not self._budget.may_begin(serving_bytes):
            self._refuse_for_room(request.head.method)
            return
        self._serving_bytes = serving_bytes
        if not self._is_full():
            self._room.set()
        self._keep_alive = request.keep_alive and not (
            self._reading_stopped and not self._pipelined
        )
        self._asks_head = request.head.method == HEAD
        number = self._current_number = self._hooks.next_request_number()
        self._request_count += 1
        self._is_starting = True
        try:
            self._hooks.request_received(number, self, request)
        except Exception:
            # Its caller would wait in vain, and so would those of the requests behind it.
            self.close()
            raise
        finally:
            self._is_starting = False

    async def _start_later(self) -> None:
        """Start the next request after other callers have had their turn."""
        await trio.lowlevel.checkpoint()
        if self._current_number is None and not self._ended:
            self._start_next()
            self._count_held()

    def _refuse(
        self, status: int, message: str, headers: Headers = (), method: bytes = b""
    ) -> None:
        """Answer the request that has come in part, or is next, with a refusal, and take no more."""
        self._discard_received()
        self._asks_head = method == HEAD
        self._write(OutgoingResponse(status, headers, message.encode()), False)
        self._finish()
        self._count_held()

    def _refuse_for_room(self, method: bytes = b"") -> None:
        """Refuse a request that has not begun, as there is no room for it."""
        self._budget.refused()
        self._refuse(SHORT_STATUS, SHORT_MESSAGE, SHORT_HEADERS, method)

    def _count_held(self) -> None:
        """Tell the account what is held for the caller."""
        if self._ended:
            return
        held = CONNECTION_BYTES + self._serving_bytes + self._send_buffer.held
        if self._unparsed or self._pipelined:
            held += self._pipelined_bytes + len(self._unparsed)
            if self._is_full():
                held += WINDOW_BYTES
        if self._reader.started:
            held += reading_bytes(self._reader.received, self._reader.fields)
        if self._current_number is not None:
            stage = Stage.SERVED
        else:
            stage = Stage.LEAVING if self._finishing else Stage.WAITING
        self._budget.hold(self.holder, held, self._serving_bytes, stage)

    def _write(self, answer: OutgoingResponse, keep_alive: bool) -> None:
        if self._asks_head:
            self._send_buffer.write(encode_answer_to_head(answer, keep_alive))
            return
        if len(answer.body) < LARGE_ANSWER_BYTES:
            self._send_buffer.write(encode_response(answer, keep_alive))
            return
        self._send_buffer.write(encode_response_head(answer, keep_alive))
        if not self._ended:
            self._send_buffer.write(answer.body)

    def _finish(self) -> None:
        """Shut down the sending side once all answers are written.

        The connection is closed when the caller closes its side, or after the idle time-out.
        """
        self._reading_stopped = True
        self._finishing = True
        self._room.set()
        if self._current_number is not None or self._send_buffer.pending:
            return
        self._drop_received(DropReason.BEHIND_LAST)
        self._shut_at = min(self._shut_at, trio.current_time())
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _drop_received(self, reason: DropReason) -> None:
        """Report the requests and the part of a request that were read and will not be answered."""
        requests = tuple(self._pipelined)
        is_unfinished = self._is_receiving()
        if requests or is_unfinished:
            self._discard_received()
            self._hooks.data_dropped(Dropped(reason, requests, is_unfinished))

    def _discard_received(self) -> None:
        self._pipelined.clear()
        self._pipelined_bytes = 0
        self._unparsed = b""
        self._reader.close()
        self._room.set()

    def _on_written(self, count: int) -> None:
        self.holder.progressed(count, trio.current_time())
        self._count_held()

    def _on_drained(self) -> None:
        if self._ended:
            return
        self.holder.progress_at = trio.current_time()
        if self._finishing:
            self._finish()
        elif self._current_number is None:
            self._start_next()
        self._count_held()

    def _on_write_failed(self, exc: OSError) -> None:
        self.close()


def _waiting_bytes(request: IncomingRequest) -> int:
    return request_bytes(request.head_bytes, len(request.head.headers), len(request.body))


def _serving_bytes(request: IncomingRequest) -> int:
    return served_bytes(request.head_bytes, len(request.head.headers), len(request.body))
