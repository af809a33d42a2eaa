"""Tests of the proxy's frame tap: the frames in a stream of bytes, and the arrival of their first bytes."""

import time

import pytest

from function_router.net.codecs import worker_frames as frames
from soak.frame_tap import FrameTap

FRAME = frames.encode_run(b"12345678", "view", "f", 500.0, "", b"body")


@pytest.fixture
def tap(monkeypatch):
    """Return a frame tap, and a list with the time of its clock."""
    clock = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    return FrameTap(frames.FROM_ROUTER), clock


def test_frame_that_comes_in_parts_has_the_time_of_its_first_byte(tap):
    frame_tap, clock = tap

    begun = frame_tap.feed(FRAME[:5])
    clock[0] = 101.0
    completed = frame_tap.feed(FRAME[5:])

    assert begun == []
    assert [tapped.first_byte_at for tapped in completed] == [100.0]


def test_frames_that_come_together_have_the_time_of_the_read(tap):
    frame_tap, clock = tap

    frame_tap.feed(FRAME + FRAME[:5])
    clock[0] = 101.0
    completed = frame_tap.feed(FRAME[5:] + FRAME)

    assert [tapped.first_byte_at for tapped in completed] == [100.0, 101.0]
    assert [tapped.frame.exchange_id for tapped in completed] == [b"12345678"] * 2
