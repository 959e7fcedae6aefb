"""Calls waiting and running on the leaves whose slots this node may use."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cactussaddle_core.admission import LeafQueue
from cactussaddle_core.admission import Request
from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import LeafCall
from cactussaddle_core.calls import LeafResult

if TYPE_CHECKING:
    from collections.abc import Callable


MIN_RETRY_S = 0.05
MAX_TIMEOUT_S = 1.2
MAX_KEYED_TIMEOUT_S = 4.5
# An idempotent call that has not started by then is returned to its root, to try another leaf.
MAX_WAIT_S = 0.03
# A call ends at most this long after its time limit, as its cancellation takes a moment.
CALL_GRACE_S = 0.4
LINGER_S = 0.25


class Start(NamedTuple):
    """Effect: run this call now; `timeout_s` is the time left until its deadline."""

    sender: str
    call: LeafCall
    timeout_s: float


class Reply(NamedTuple):
    """Effect: answer the root that sent the call."""

    sender: str
    result: LeafResult


class Stop(NamedTuple):
    """Effect: cancel a call that runs."""

    sender: str
    call_id: int
    leaf: str


class Waiting(NamedTuple):
    """A call that waits for a slot."""

    sender: str
    call: LeafCall
    queued_at: float
    deadline: float


class Running(NamedTuple):
    """A call that runs on a leaf."""

    sender: str
    call: LeafCall
    started_at: float
    queued_s: float
    timeout_s: float


class CallEnd(NamedTuple):
    """The end of a call that ran; `incarnation` is empty if the leaf did not report it."""

    outcome: CallOutcome
    latency_s: float
    incarnation: str


class Gate(NamedTuple):
    """What this node may run on a leaf.

    `is_open(leaf)` says whether the plan lets new work go there at all.
    `allowed(leaf, now)` is about how many calls at once, 0 for a leaf whose slots it does not
    hold. `admit(leaf, call id, now, time limit in seconds)` takes a slot for a call and says
    whether there was one; `ended(leaf, call id, end, now)` gives it back and tells how it went.
    """

    is_open: Callable[[str], bool]
    allowed: Callable[[str, float], int]
    admit: Callable[[str, str, float, float], bool]
    ended: Callable[[str, str, CallEnd, float], None]


class Lingering(NamedTuple):
    """A call that its root has abandoned and that may still run on the leaf until `until`."""

    until: float
    leaf: str
    slot: str
    end: CallEnd


class LeafWork:
    """Calls of one leaf: those that wait, by slot id, and those that run."""

    def __init__(self) -> None:
        self.queue = LeafQueue()
        self.waiting: dict[str, Waiting] = {}
        self.running: dict[tuple[str, int], Running] = {}
        self.peak = 0


class OwnerBook:
    """All leaf calls at this node, under the limits of `gate`."""

    def __init__(self, *, gate: Gate) -> None:
        self.gate = gate
        self.leaves: dict[str, LeafWork] = {}
        self.where: dict[tuple[str, int], str] = {}
        self.lingering: list[Lingering] = []

    def work(self, leaf: str) -> LeafWork:
        """Return the work of a leaf, created on first use."""
        found = self.leaves.get(leaf)
        if found is None:
            found = self.leaves[leaf] = LeafWork()
        return found


OwnerEffect = Start | Reply | Stop


def take_call(book: OwnerBook, sender: str, call: LeafCall, now: float) -> list[OwnerEffect]:
    """Start, queue or refuse a call; a duplicate of a call in progress is dropped."""
    if (sender, call.call_id) in book.where:
        return []
    allowed = book.gate.allowed(call.leaf, now)
    work = book.work(call.leaf)
    if not book.gate.is_open(call.leaf) or (allowed <= 0 and not work.running):
        return [Reply(sender, refusal(call, CallOutcome.NOT_OWNER, MIN_RETRY_S))]
    key = (sender, call.call_id)
    deadline = now + call.budget_ms / 1000.0
    start_by = deadline if call.key else min(deadline, now + MAX_WAIT_S + work.queue.call_s)
    request = Request(slot_id(key), call.priority, start_by)
    running = len(work.running)
    if not work.queue.offer(request, now, running=running, allowed=allowed):
        wait_s = work.queue.wait_s(request, running=running, allowed=allowed)
        return [Reply(sender, refusal(call, CallOutcome.QUEUE_FULL, wait_s))]
    work.waiting[request.id] = Waiting(sender, call, now, deadline)
    book.where[key] = call.leaf
    displaced = work.queue.take_displaced(allowed=allowed)
    effects: list[OwnerEffect] = []
    if displaced is not None:
        effects.append(_refuse_waiting(book, work, displaced.id))
    return effects + pump(book, call.leaf, now)


def pump(book: OwnerBook, leaf: str, now: float) -> list[OwnerEffect]:
    """Start waiting calls while the leaf may take more; refuse those that can't end in time."""
    work = book.work(leaf)
    effects: list[OwnerEffect] = []
    for hopeless in work.queue.take_hopeless(now):
        effects.append(_refuse_waiting(book, work, hopeless.id))
    if not book.gate.is_open(leaf):
        for slot in list(work.waiting):
            work.queue.remove(slot)
            effects.append(_refuse_waiting(book, work, slot))
    while (request := work.queue.first()) is not None:
        waiting = work.waiting[request.id]
        longest_s = MAX_KEYED_TIMEOUT_S if waiting.call.key else MAX_TIMEOUT_S
        timeout_s = min(waiting.deadline - now, longest_s)
        if not book.gate.admit(leaf, request.id, now, timeout_s + CALL_GRACE_S):
            break
        work.queue.pop()
        effects.append(_start(work, work.waiting.pop(request.id), timeout_s, now))
    return effects


def _start(work: LeafWork, waiting: Waiting, timeout_s: float, now: float) -> Start:
    key = (waiting.sender, waiting.call.call_id)
    work.running[key] = Running(
        waiting.sender, waiting.call, now, now - waiting.queued_at, timeout_s
    )
    work.peak = max(work.peak, len(work.running))
    return Start(waiting.sender, waiting.call, timeout_s)


def _refuse_waiting(book: OwnerBook, work: LeafWork, slot: str) -> Reply:
    waiting = work.waiting.pop(slot)
    del book.where[waiting.sender, waiting.call.call_id]
    return Reply(waiting.sender, refusal(waiting.call, CallOutcome.QUEUE_FULL, MIN_RETRY_S))


def tick(book: OwnerBook, now: float) -> list[OwnerEffect]:
    """Review every queue, since limits change with time."""
    effects: list[OwnerEffect] = []
    over = [item for item in book.lingering if item.until <= now]
    book.lingering = [item for item in book.lingering if item.until > now]
    for item in over:
        book.gate.ended(item.leaf, item.slot, item.end, now)
    for leaf, work in book.leaves.items():
        if work.waiting:
            effects += pump(book, leaf, now)
    return effects


def slot_id(key: tuple[str, int]) -> str:
    """Return the id of a call's slot."""
    return f"{key[0]}/{key[1]}"


def call_ended(
    book: OwnerBook,
    sender: str,
    result: LeafResult,
    incarnation: str,
    now: float,
    *,
    surely: bool = True,
) -> tuple[str, list[OwnerEffect]]:
    """Take in the end of a running call; return its leaf and the effects.

    Unless it has `surely` ended on the leaf, its slot stays taken until its time limit has passed.
    """
    key = (sender, result.call_id)
    leaf = book.where.pop(key, "")
    if not leaf:
        return "", []
    work = book.work(leaf)
    running = work.running.pop(key, None)
    end = CallEnd(result.outcome, result.latency_ms / 1000.0, incarnation)
    if surely or running is None:
        book.gate.ended(leaf, slot_id(key), end, now)
    else:
        until = max(now, running.started_at + running.timeout_s + LINGER_S)
        book.lingering.append(Lingering(until, leaf, slot_id(key), end))
    effects: list[OwnerEffect] = []
    if running is not None:
        if result.outcome is CallOutcome.OK:
            work.queue.ended(end.latency_s)
        effects.append(Reply(sender, result._replace(queue_ms=running.queued_s * 1000.0)))
    return leaf, effects + pump(book, leaf, now)


def cancel_call(book: OwnerBook, sender: str, call_id: int) -> list[OwnerEffect]:
    """Drop a queued call or cancel a running one; its slot is free only once it has ended."""
    key = (sender, call_id)
    leaf = book.where.get(key)
    if leaf is None:
        return []
    work = book.work(leaf)
    if key in work.running:
        return [Stop(sender, call_id, leaf)]
    work.queue.remove(slot_id(key))
    work.waiting.pop(slot_id(key), None)
    del book.where[key]
    return []


def refusal(call: LeafCall, outcome: CallOutcome, retry_after_s: float) -> LeafResult:
    """Return the result of a call that did not run."""
    return LeafResult(call.call_id, outcome, b"", 0.0, 0.0, retry_after_s * 1000.0)
