"""Fixtures: a client connected to a fake leaf."""

from __future__ import annotations

import contextlib
import unittest

import trio
import trio.testing

from cactussaddle_node.leafclient import LeafClient
from cactussaddle_node.leafclient import LeafRequest
from tests.node.leafclient.fakeleaf import FakeLeaf


def request(call_id="c1", deadline_s=1.0, body=b"{}", key=None):
    return LeafRequest(call_id, "taller-search", 7, deadline_s, body, key)


@contextlib.asynccontextmanager
async def pair(answer, **settings):
    async with trio.open_nursery() as nursery:
        leaf = FakeLeaf(answer=answer)
        scope = await nursery.start(leaf.serve)
        async with LeafClient(address=leaf.address, local_host="127.0.0.1", **settings) as client:
            yield leaf, client
        scope.cancel()


class PairTest(unittest.TestCase):
    """Base of tests that run a client against a fake leaf."""

    def run_pair(self, answer, body, **settings):
        async def main():
            with trio.fail_after(10):
                async with pair(answer, **settings) as (leaf, client):
                    await body(leaf, client)

        trio.run(main)
