"""Sends one request of a run, as a balancer in front of the nodes would."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Self
from typing import TypedDict

import httpx
import msgspec

from cactussaddle_cli.load.leafcalls import read_leaf_calls

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactussaddle_cli.load.arrivals import Arrival
    from cactussaddle_cli.load.model import LeafCalls

ANSWER_GRACE_S = 2.0
CONNECT_TIMEOUT_S = 1.0
NO_DEADLINE_TIMEOUT_S = 30.0
NO_ANSWER = "no answer in time"
NO_NODE = "no node reached"
CUT = "connection cut"
MALFORMED = "malformed answer"


class AnswerBody(TypedDict, total=False):
    """What the tool reads of an answer."""

    name: str
    coverage: float
    snapshot: int


class Reply(NamedTuple):
    """The end of one request; `name` as in `Outcome`."""

    name: str
    coverage: float | None
    snapshot: int | None


_decoder = msgspec.json.Decoder(type=AnswerBody)


class Sender:
    """Clients of all targets, used in turn; a target that refuses to connect is passed over."""

    def __init__(
        self,
        *,
        targets: Sequence[str],
        run_id: str,
        deadline_ms: int | None,
        min_coverage: float | None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        timeout_s = NO_DEADLINE_TIMEOUT_S
        if deadline_ms is not None:
            timeout_s = deadline_ms / 1000.0 + ANSWER_GRACE_S
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
            limits=limits,
            trust_env=False,
            transport=transport,
        )
        self._targets = [target.rstrip("/") for target in targets]
        self._run_id = run_id
        self._headers: dict[str, str] = {"Content-Type": "application/json"}
        if deadline_ms is not None:
            self._headers["X-Deadline-Ms"] = str(deadline_ms)
        if min_coverage is not None:
            self._headers["X-Min-Coverage"] = str(min_coverage)

    async def __aenter__(self) -> Self:
        await self._client.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._client.aclose()

    async def leaf_calls(self) -> list[LeafCalls] | None:
        """Return each target's counts of leaf calls."""
        return await read_leaf_calls(self._client, self._targets)

    async def send(self, arrival: Arrival) -> Reply:
        """Send one request and return what became of it; never raise for network trouble."""
        headers = self._headers
        if not arrival.entry.idempotent:
            headers = {**headers, "Idempotency-Key": f"{self._run_id}-{arrival.number}"}
        body = msgspec.json.encode({"query": {"text": f"load {arrival.number}"}, "limit": 10})
        for attempt in range(len(self._targets)):
            target = self._targets[(arrival.number + attempt) % len(self._targets)]
            url = f"{target}/v1/routes/{arrival.entry.route}"
            try:
                response = await self._client.post(url, content=body, headers=headers)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
            except httpx.TimeoutException:
                return Reply(NO_ANSWER, None, None)
            except httpx.HTTPError:
                return Reply(CUT, None, None)
            return read_reply(response)
        return Reply(NO_NODE, None, None)


def read_reply(response: httpx.Response) -> Reply:
    """Return the result code's name, coverage and snapshot of a response."""
    try:
        body = _decoder.decode(response.content)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return Reply(MALFORMED, None, None)
    name = body.get("name") or f"HTTP {response.status_code}"
    return Reply(name, body.get("coverage"), body.get("snapshot"))
