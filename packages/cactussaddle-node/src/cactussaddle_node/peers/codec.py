"""gRPC codec that passes through the frames encoded by `cactussaddle_core.wire`."""

from __future__ import annotations

from typing import Any

from grpclib.encoding.base import CodecBase


class FrameCodec(CodecBase):
    """Passes message bodies through unchanged."""

    __content_subtype__ = "cactussaddle"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the frame unchanged."""
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """Return the frame unchanged."""
        return data
