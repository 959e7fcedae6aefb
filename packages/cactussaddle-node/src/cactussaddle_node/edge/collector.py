"""Runs Python's garbage collector while no request is open."""

from __future__ import annotations

import gc

from cactussaddle_core.waiting.collecting import AT_MOST
from cactussaddle_core.waiting.collecting import generation_due


class IdleCollector:
    """Looks for unused objects while the node is idle; does nothing unless it is on."""

    def __init__(self, *, is_on: bool) -> None:
        self._is_on = is_on
        if is_on:
            gc.set_threshold(AT_MOST, *gc.get_threshold()[1:])
            self.loaded()

    def loaded(self) -> None:
        """Leave out what was loaded up to now, which stays for good."""
        if self._is_on:
            gc.freeze()

    def ticked(self, requests: int) -> None:
        """Collect if it is due, given the number of requests open or waiting."""
        if not self._is_on:
            return
        generation = generation_due(gc.get_count(), requests)
        if generation is not None:
            gc.collect(generation)
