"""Finds the frames in one direction of a connection that the proxy forwards."""

import time
from typing import NamedTuple

from function_router.net.codecs import worker_frames as frames


class TappedFrame(NamedTuple):
    """A frame, and when its first byte arrived, in monotonic seconds."""

    first_byte_at: float
    frame: frames.Frame


class FrameTap:
    """Parses the bytes of one direction into frames; the proxy forwards them without waiting for it."""

    def __init__(self, direction: int) -> None:
        self._reader = frames.FrameReader(direction)
        self._partial_since: float | None = None

    def feed(self, data: bytes) -> list[TappedFrame]:
        """Return the frames that this data completes."""
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
