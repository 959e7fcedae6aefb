"""A node's HTTP side alone, with an answer made beforehand; `/metrics` gives its CPU seconds."""

from __future__ import annotations

import sys
import time

from typing import TYPE_CHECKING
from typing import Any

import trio

from hypercorn.config import Config
from hypercorn.trio import serve

from cactussaddle_core.node.effects import Answer
from cactussaddle_node.http import Handlers
from cactussaddle_node.http import make_app
from tools.capacity.free_port import free_port

if TYPE_CHECKING:
    from cactussaddle_core.node.events import CallerRequest


def make_answer(event: CallerRequest) -> Answer:
    """Return an answer of as many hits as the request wants."""
    hits = [{"id": f"pattern-{n}", "score": 1.0 / (n + 1)} for n in range(event.limit)]
    doc: dict[str, Any] = {"code": 0, "name": "COMPLETE", "snapshot": 7, "coverage": 1.0}
    doc |= {"shards": {"answered": 20, "of": 20}, "hits": hits, "message": ""}
    return Answer(event.req_id, 200, doc, 0.0)


async def submit(event: CallerRequest) -> Answer:
    """Answer at once."""
    return make_answer(event)


async def main() -> None:
    """Serve until standard input ends."""
    port = free_port()
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = config.errorlog = None
    handlers = Handlers(
        submit=submit,
        next_id=lambda: 1,
        healthy=lambda: True,
        dump=dict,
        metrics=lambda: (str(time.process_time()).encode(), "text/plain"),
    )
    app: Any = make_app(handlers)
    ended = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_for_end, ended)
        nursery.start_soon(announce, port)
        await serve(app, config, shutdown_trigger=ended.wait)


async def wait_for_end(ended: trio.Event) -> None:
    """Set the event when standard input ends."""
    await trio.to_thread.run_sync(sys.stdin.read)
    ended.set()


async def announce(port: int) -> None:
    """Print the port once the server accepts connections."""
    while True:
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
        except OSError:
            await trio.sleep(0.02)
            continue
        await stream.aclose()
        print(port, flush=True)
        return


if __name__ == "__main__":
    trio.run(main)
