"""A small deployment: the store, leaves and nodes on loopback addresses, and the record of a run."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

from world3.leaf import Leaf
from world3.leaf import LeafSettings
from world3.node import ZONES
from world3.node import Node
from world3.store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def with_trouble() -> bool:
    """Return whether the disruption is to be brought on."""
    return os.environ.get("TROUBLE", "1") != "0"


class World:
    """The processes and stand-ins of one run; all of them end with it."""

    def __init__(self, *, folder: Path, seed: int) -> None:
        self.net = f"127.{1 + os.getpid() % 250}.{seed % 250}"
        self.folder = folder
        self.rng = random.Random(seed)
        self.store = Store()
        self.leaves: list[Leaf] = []
        self.nodes: list[Node] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self._store_address = ""

    async def __aenter__(self) -> Self:
        port = await self.store.server.listen(f"{self.net}.1", 0)
        self._store_address = f"{self.net}.1:{port}"
        self.spawn(self.store.expire_leases())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for node in self.nodes:
            node.end()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def now(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine until the world ends."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def add_leaf(self, settings: LeafSettings) -> Leaf:
        """Start a leaf."""
        number = len(self.leaves)
        leaf = Leaf(settings=settings, store=self.store, rng=self.rng, number=number)
        await leaf.start(f"{self.net}.{20 + number}")
        self.leaves.append(leaf)
        return leaf

    async def start_nodes(self, per_zone: int) -> None:
        """Start nodes in each zone, and wait until they are ready."""
        for zone in ZONES:
            for number in range(per_zone):
                node = Node(
                    name=f"front-{zone}-{number + 1}",
                    host=f"{self.net}.{150 + len(self.nodes)}",
                    zone=zone,
                    store=self._store_address,
                    folder=self.folder,
                )
                self.nodes.append(node)
                node.start()
        for node in self.nodes:
            await node.wait_ready()


def run_case(name: str, case: Callable[[World, Record], Awaitable[bool]], seed: int) -> None:
    """Run a case and exit: `case` returns whether the rule was kept."""
    record = Record(path=Path(sys.argv[0]).resolve().parent / "record.txt")
    record.note(f"{name}, {'with' if with_trouble() else 'without'} the disruption")
    try:
        kept = asyncio.run(_run(case, record, seed))
    except (OSError, TimeoutError, asyncio.CancelledError) as exc:
        record.note(f"could not run: {exc!r}")
        record.write()
        sys.exit(COULD_NOT_RUN)
    record.note("the rule held" if kept else "the rule was broken")
    record.write()
    sys.exit(HELD if kept else BROKEN)


async def _run(case: Callable[[World, Record], Awaitable[bool]], record: Record, seed: int) -> bool:
    main = asyncio.current_task()
    assert main is not None
    # A run that is asked to end ends its processes first.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, main.cancel)
    with tempfile.TemporaryDirectory() as folder:
        async with World(folder=Path(folder), seed=seed) as world:
            return await case(world, record)


class Record:
    """What was sent, answered and run."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line, and show it."""
        print(text, flush=True)
        self._lines.append(text)

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(text)

    def write(self) -> None:
        """Write the record."""
        self._path.write_text("\n".join(self._lines) + "\n")
