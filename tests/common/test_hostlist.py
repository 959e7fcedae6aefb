from __future__ import annotations

import unittest

import httpx
import trio

from cactussaddle_common.hostlist import HostList
from cactussaddle_common.hostlist import HostState

HOST = {"name": "e1", "address": "127.0.0.1", "role": "entry", "domain": "dublin", "state": "live"}


class HostListTest(unittest.TestCase):
    def fetch(self, handler):
        async def main():
            async with HostList(
                endpoint="http://127.0.0.1:1",
                timeout_s=1.0,
                transport=httpx.MockTransport(handler),
            ) as hosts:
                return await hosts.fetch()

        return trio.run(main)

    def test_fetch_returns_hosts(self):
        hosts = self.fetch(lambda req: httpx.Response(200, json={"hosts": [HOST]})).unwrap()
        self.assertEqual(hosts[0].name, "e1")
        self.assertIs(hosts[0].state, HostState.LIVE)

    def test_invalid_responses_are_returned_as_failures(self):
        responses = [
            httpx.Response(503),
            httpx.Response(200, text="<html>"),
            httpx.Response(200, json={"hosts": [{**HOST, "state": "asleep"}]}),
        ]
        for response in responses:
            with self.subTest(response=response.content):
                self.assertTrue(self.fetch(lambda req, a=response: a).failure().detail)
