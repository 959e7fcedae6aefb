"""Asking the nodes for their state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import httpx
import msgspec
import trio

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_common.httpclient import describe

if TYPE_CHECKING:
    import argparse

    from collections.abc import Sequence

    from cactussaddle_cli.context import Context

ENTRY_ROLE = "entry"
LIVE_STATE = "live"
MAX_AT_ONCE = 50


class NodeState(NamedTuple):
    """What a node's dump says of its configuration; `error` is empty when it answered."""

    url: str
    node: str
    revision: int
    change_id: str
    error: str


async def fetch_dump(client: httpx.AsyncClient, url: str) -> Result[dict[str, Any], str]:
    """Read the state dump of a node."""
    try:
        resp = await client.get(f"{url}/state")
        resp.raise_for_status()
        return Success(msgspec.json.decode(resp.content, type=dict[str, Any]))
    except (httpx.HTTPError, httpx.InvalidURL, msgspec.MsgspecError) as exc:
        return Failure(describe(exc))


async def fetch_where(
    client: httpx.AsyncClient, url: str, asked: dict[str, str]
) -> Result[dict[str, Any], str]:
    """Ask a node where a request would go."""
    try:
        resp = await client.get(f"{url}/where", params=asked)
        resp.raise_for_status()
        return Success(msgspec.json.decode(resp.content, type=dict[str, Any]))
    except (httpx.HTTPError, httpx.InvalidURL, msgspec.MsgspecError) as exc:
        return Failure(describe(exc))


def read_state(url: str, dump: Result[dict[str, Any], str]) -> NodeState:
    """Return the part of a dump that says which configuration is in force."""
    if isinstance(dump, Failure):
        return NodeState(url, "", 0, "", dump.failure())
    state = dump.unwrap()
    try:
        cfg = state["config"]
        name = state["node"]["node"]
        return NodeState(url, str(name), int(cfg["revision"]), str(cfg["change_id"]), "")
    except (KeyError, TypeError, ValueError) as exc:
        return NodeState(url, "", 0, "", f"the dump can't be read: {exc!r}")


async def fetch_states(ctx: Context, urls: Sequence[str]) -> list[NodeState]:
    """Ask every node; the states come in the order of the URLs."""
    dumps = await fetch_dumps(ctx, urls)
    return [read_state(url, dump) for url, dump in dumps.items()]


async def fetch_dumps(ctx: Context, urls: Sequence[str]) -> dict[str, Result[dict[str, Any], str]]:
    """Read every node's dump, some at a time; they come by URL, in the order of the URLs."""
    dumps: dict[str, Result[dict[str, Any], str]] = {}
    limit = trio.CapacityLimiter(MAX_AT_ONCE)

    async def ask(client: httpx.AsyncClient, url: str) -> None:
        async with limit:
            dumps[url] = await fetch_dump(client, url)

    async with (
        httpx.AsyncClient(timeout=ctx.timeout_s, trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        for url in urls:
            nursery.start_soon(ask, client, url)
    return {url: dumps[url] for url in urls}


def add_nodes(parser: argparse.ArgumentParser) -> None:
    """Add the option that names nodes to the parser of a command."""
    parser.add_argument(
        "--node", action="append", default=[], metavar="URL", help="a node to ask; repeatable"
    )


async def node_urls(ctx: Context, given: Sequence[str]) -> list[str]:
    """Return the URLs given, or those of the live entry hosts on the host list."""
    if given:
        return [url.rstrip("/") for url in given]
    if ctx.host_list_url is None:
        return []
    async with ctx.open_host_list(ctx.host_list_url) as client:
        hosts = await client.fetch()
    if isinstance(hosts, Failure):
        line = f"the host list can't be read: {hosts.failure().detail}; name the nodes with --node"
        raise CommandError(code=ExitCode.NODE_UNREACHABLE, lines=(line,))
    return [
        f"http://{with_port(host.address, ctx.http_port)}"
        for host in hosts.unwrap()
        if host.role == ENTRY_ROLE and host.state == LIVE_STATE
    ]


def with_port(address: str, port: int) -> str:
    """Return the address's IP number with the nodes' HTTP port."""
    host = address
    if address.startswith("["):
        host = address.partition("]")[0] + "]"
    elif address.count(":") == 1:
        host = address.partition(":")[0]
    elif ":" in address:
        host = f"[{address}]"
    return f"{host}:{port}"
