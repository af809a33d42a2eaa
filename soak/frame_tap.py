"""Decodes the frames in one direction of a connection that the proxy forwards."""

import time
from typing import NamedTuple

from function_router.net.codecs import worker_frames as frames


class TappedFrame(NamedTuple):
    """A frame, and the arrival time of its first byte in monotonic seconds."""

    first_byte_at: float
    frame: frames.Frame


class FrameTap:
    """Decodes frames from a copy of the bytes; the proxy forwards them without waiting for whole frames."""

    def __init__(self, direction: int) -> None:
        self._reader = frames.FrameReader(direction)
        self._partial_since: float | None = None

    def feed(self, data: bytes) -> list[TappedFrame]:
        """Process received data, and return the frames that it completes."""
        now = time.monotonic()
        tapped: list[TappedFrame] = []
        for frame in self._reader.feed(data):
            tapped.append(TappedFrame(self._partial_since or now, frame))
            self._partial_since = None
        if not self._reader.has_partial_frame:
            self._partial_since = None
        elif self._partial_since is None:
            self._partial_since = now
        return tapped
