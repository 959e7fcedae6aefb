"""CPU of the calling process for one leaf call, by client; all ways in one run, interleaved."""

from __future__ import annotations

import argparse
import random
import time

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import h11
import httpcore
import httpx
import trio

from cactussaddle_core.calls import CallOutcome
from cactussaddle_core.calls import decode_answer
from cactussaddle_node.leafclient import LeafClient
from cactussaddle_node.leafclient import LeafRequest
from cactussaddle_node.leafclient.messages import call_headers
from tools.child import child_server
from tools.figures import spread
from tools.figures import table

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    Call = Callable[[LeafRequest], Awaitable[bytes]]

DEADLINE_S = 5.0
QUERY = b'{"query": {"text": "monogram", "stretch": 3}, "limit": 10}'


@asynccontextmanager
async def httpx_default(port: int) -> AsyncIterator[Call]:
    async with httpx.AsyncClient() as client:
        yield httpx_call(client, port)


@asynccontextmanager
async def httpx_tuned(port: int) -> AsyncIterator[Call]:
    limits = httpx.Limits(max_connections=64, max_keepalive_connections=64)
    transport = httpx.AsyncHTTPTransport(limits=limits, trust_env=False, retries=0)
    async with httpx.AsyncClient(
        transport=transport, trust_env=False, timeout=None, follow_redirects=False
    ) as client:
        client.headers.clear()
        yield httpx_call(client, port)


def httpx_call(client: httpx.AsyncClient, port: int) -> Call:
    url = httpx.URL(f"http://127.0.0.1:{port}/v1/calls")
    host = f"127.0.0.1:{port}".encode()

    async def call(req: LeafRequest) -> bytes:
        headers = call_headers(host, req, DEADLINE_S)
        response = await client.post(url, content=req.body, headers=headers)
        return response.content

    return call


@asynccontextmanager
async def httpcore_pool(port: int) -> AsyncIterator[Call]:
    host = f"127.0.0.1:{port}".encode()
    url = httpcore.URL(scheme=b"http", host=b"127.0.0.1", port=port, target=b"/v1/calls")
    async with httpcore.AsyncConnectionPool(max_connections=64) as pool:

        async def call(req: LeafRequest) -> bytes:
            headers = call_headers(host, req, DEADLINE_S)
            response = await pool.request("POST", url, headers=headers, content=req.body)
            return bytes(response.content)

        yield call


@asynccontextmanager
async def leaf_client(port: int) -> AsyncIterator[Call]:
    async with LeafClient(address=f"127.0.0.1:{port}", local_host="127.0.0.1") as client:

        async def call(req: LeafRequest) -> bytes:
            reply = await client.call(req, 64)
            assert reply.kind is CallOutcome.OK, reply
            return reply.body

        yield call


@asynccontextmanager
async def leaf_client_decoded(port: int) -> AsyncIterator[Call]:
    async with leaf_client(port) as plain:

        async def call(req: LeafRequest) -> bytes:
            body = await plain(req)
            assert decode_answer(body) is not None
            return body

        yield call


class IdleStreams:
    """Streams to the leaf that wait for the next call."""

    def __init__(self, *, port: int) -> None:
        self.port = port
        self.idle: list[tuple[trio.SocketStream, h11.Connection]] = []
        self.all: list[trio.SocketStream] = []

    async def take(self) -> tuple[trio.SocketStream, h11.Connection]:
        """Return an idle stream or a new one."""
        if self.idle:
            return self.idle.pop()
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        self.all.append(stream)
        return stream, h11.Connection(h11.CLIENT)

    async def __aenter__(self) -> IdleStreams:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for stream in self.all:
            await stream.aclose()


@asynccontextmanager
async def bare_h11(port: int) -> AsyncIterator[Call]:
    host = f"127.0.0.1:{port}".encode()
    async with IdleStreams(port=port) as streams:

        async def call(req: LeafRequest) -> bytes:
            stream, http = await streams.take()
            headers = call_headers(host, req, DEADLINE_S)
            out = http.send(h11.Request(method=b"POST", target=b"/v1/calls", headers=headers))
            out = (out or b"") + (http.send(h11.Data(data=req.body)) or b"")
            http.send(h11.EndOfMessage())
            await stream.send_all(out)
            body = b""
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    http.receive_data(bytes(await stream.receive_some(65536)))
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
            http.start_next_cycle()
            streams.idle.append((stream, http))
            return body

        yield call


@asynccontextmanager
async def raw_bytes(port: int) -> AsyncIterator[Call]:
    """The floor: a fixed request written and one read, without HTTP."""
    host = f"127.0.0.1:{port}".encode()
    async with IdleStreams(port=port) as streams:

        async def call(req: LeafRequest) -> bytes:
            stream, http = await streams.take()
            lines = [key + b": " + value for key, value in call_headers(host, req, DEADLINE_S)]
            head = b"POST /v1/calls HTTP/1.1\r\n" + b"\r\n".join(lines) + b"\r\n\r\n"
            await stream.send_all(head + req.body)
            answer = await stream.receive_some(65536)
            streams.idle.append((stream, http))
            return bytes(answer)

        yield call


WAYS = {
    "httpx, default settings": httpx_default,
    "httpx, tuned (no environment, no timeouts, own limits, no default headers)": httpx_tuned,
    "httpcore pool": httpcore_pool,
    "LeafClient (h11 on trio streams; deadline, cancellation, limit)": leaf_client,
    "LeafClient and decoding of the answer": leaf_client_decoded,
    "h11 on trio streams, bare": bare_h11,
    "fixed bytes on trio streams (floor, no HTTP parsing)": raw_bytes,
}


async def run_calls(call: Call, calls: int, at_once: int) -> None:
    async def worker(first: int) -> None:
        for number in range(first, calls, at_once):
            req = LeafRequest(f"n1-{number}", "taller-search", 7, DEADLINE_S, QUERY)
            await call(req)

    async with trio.open_nursery() as nursery:
        for first in range(at_once):
            nursery.start_soon(worker, first)


async def one_round(name: str, port: int, calls: int, at_once: int) -> float:
    async with WAYS[name](port) as call:
        await run_calls(call, at_once * 4, at_once)
        started = time.process_time()
        await run_calls(call, calls, at_once)
        return (time.process_time() - started) * 1e6 / calls


def measure(port: int, rounds: int, calls: int, at_once: int, seed: int) -> dict[str, list[float]]:
    rng = random.Random(seed)
    results: dict[str, list[float]] = {name: [] for name in WAYS}
    for _ in range(rounds):
        names = list(WAYS)
        rng.shuffle(names)
        for name in names:
            results[name].append(trio.run(one_round, name, port, calls, at_once))
    return results


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--calls", type=int, default=1000)
    parser.add_argument("--at-once", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with child_server("tools.echo_leaf") as port:
        results = measure(port, args.rounds, args.calls, args.at_once, args.seed)
    base = spread(results["httpx, default settings"]).median
    rows = []
    for name, values in results.items():
        figures = spread(values)
        rows.append((name, figures.text(), f"{figures.median / base:.2f}"))
    print(table(("client", "us of CPU a call, median (range)", "against httpx default"), rows))


if __name__ == "__main__":
    main()
