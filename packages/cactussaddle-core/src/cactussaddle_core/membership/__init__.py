"""Failure detection among the nodes: probes, suspicion and refutation."""

from __future__ import annotations

from cactussaddle_core.membership.membership import Membership
from cactussaddle_core.membership.model import Ack
from cactussaddle_core.membership.model import Answered
from cactussaddle_core.membership.model import Changed
from cactussaddle_core.membership.model import Effect
from cactussaddle_core.membership.model import Gone
from cactussaddle_core.membership.model import MemberRecord
from cactussaddle_core.membership.model import Message
from cactussaddle_core.membership.model import NodeState
from cactussaddle_core.membership.model import Paused
from cactussaddle_core.membership.model import Ping
from cactussaddle_core.membership.model import PingRequest
from cactussaddle_core.membership.model import Relayed
from cactussaddle_core.membership.model import Rumor
from cactussaddle_core.membership.model import Send
from cactussaddle_core.membership.model import Superseded

__all__ = [
    "Ack",
    "Answered",
    "Changed",
    "Effect",
    "Gone",
    "MemberRecord",
    "Membership",
    "Message",
    "NodeState",
    "Paused",
    "Ping",
    "PingRequest",
    "Relayed",
    "Rumor",
    "Send",
    "Superseded",
]
