"""Metrics of a node in the Prometheus text format."""

from __future__ import annotations

from typing import Any

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

LATENCY_BUCKETS_S = [0.005, 0.01, 0.02, 0.04, 0.077, 0.15, 0.3, 0.6, 1.2, 2.5]


class Metrics:
    """The metrics of one node."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.answers = Counter("cactussaddle_answers_total", "Answers by route and result code.")
        self.latency = Histogram(
            "cactussaddle_answer_seconds", "Time to answer.", buckets=LATENCY_BUCKETS_S
        )
        self.breaches = Counter("cactussaddle_breaches_total", "Broken promises by name.")
        self.unsent = Counter("cactussaddle_unsent_total", "Messages to peers without a stream.")
        for collector in (self.answers, self.latency, self.breaches, self.unsent):
            self.registry.register(collector)

    def answered(self, route: str, doc: dict[str, Any], seconds: float) -> None:
        """Count an answer and record its latency."""
        self.answers.inc({"route": route, "code": str(doc["name"])})
        self.latency.observe({"route": route}, seconds)

    def render(self) -> tuple[bytes, str]:
        """Render all metrics; return the text and its content type."""
        content, headers = render(self.registry, [])
        return content, headers["Content-Type"]
