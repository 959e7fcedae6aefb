"""Overload control: bounded queues, priorities and refusals with a retry delay."""

from __future__ import annotations

from cactussaddle_core.admission.admission import Admission
from cactussaddle_core.admission.leafqueue import LeafQueue
from cactussaddle_core.admission.model import Admitted
from cactussaddle_core.admission.model import Decision
from cactussaddle_core.admission.model import Limits
from cactussaddle_core.admission.model import Queued
from cactussaddle_core.admission.model import Refused
from cactussaddle_core.admission.model import Request

__all__ = [
    "Admission",
    "Admitted",
    "Decision",
    "LeafQueue",
    "Limits",
    "Queued",
    "Refused",
    "Request",
]
