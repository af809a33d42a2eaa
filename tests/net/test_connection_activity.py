"""Tests of `connection_activity`."""

from types import SimpleNamespace

import pytest
from helpers.fake_clock import FakeMonotonicClock

from function_router.net import connection_activity
from function_router.net.connection_activity import STALE_RESET_MS, UNRESPONSIVE_AFTER_MS, ConnectionActivity

STARTED_AT_MS = 10_000.0
IDLE_MS = 300.0


@pytest.fixture
def clock(monkeypatch):
    """A fake clock that the activity reads."""
    clock = FakeMonotonicClock(STARTED_AT_MS)
    monkeypatch.setattr(connection_activity, "monotonic_ms", clock.read_ms)
    return clock


@pytest.fixture
def connection(clock):
    """A stand-in for a TCP connection, with the attributes that the activity reads."""
    return SimpleNamespace(last_used_ms=clock.now_ms, last_received_ms=clock.now_ms)


@pytest.fixture
def activity(connection):
    return ConnectionActivity(connection)


def test_idle_time_before_the_last_use_is_recorded(clock, activity):
    clock.advance(IDLE_MS)
    assert activity.idle_ms() == IDLE_MS

    activity.on_active()
    clock.advance(IDLE_MS)

    assert activity.idle_before_use_ms == IDLE_MS


@pytest.mark.parametrize(
    ("elapsed_ms", "is_newly_active"), [(STALE_RESET_MS - 1.0, True), (STALE_RESET_MS, False)]
)
def test_connection_is_newly_active_for_a_limited_time(clock, activity, elapsed_ms, is_newly_active):
    clock.advance(IDLE_MS)
    activity.on_active()

    clock.advance(elapsed_ms)

    assert activity.is_newly_active() == is_newly_active


@pytest.mark.parametrize(
    ("elapsed_ms", "is_silent"), [(UNRESPONSIVE_AFTER_MS, False), (UNRESPONSIVE_AFTER_MS + 1.0, True)]
)
def test_active_connection_is_silent_after_a_limited_time(clock, activity, elapsed_ms, is_silent):
    clock.advance(10 * UNRESPONSIVE_AFTER_MS)  # time that passes while idle does not count as silence
    activity.on_active()

    clock.advance(elapsed_ms)

    assert activity.is_silent() == is_silent


def test_received_bytes_end_the_silence(clock, connection, activity):
    activity.on_active()
    clock.advance(2 * UNRESPONSIVE_AFTER_MS)

    connection.last_received_ms = clock.now_ms

    assert not activity.is_silent()


@pytest.mark.parametrize(
    ("silent_ms", "was_silent"), [(UNRESPONSIVE_AFTER_MS, False), (UNRESPONSIVE_AFTER_MS + 1.0, True)]
)
def test_silence_until_the_last_removal_is_recorded(clock, activity, silent_ms, was_silent):
    activity.on_active()
    clock.advance(silent_ms)

    activity.on_exchange_removed()
    clock.advance(10 * UNRESPONSIVE_AFTER_MS)

    assert activity.was_silent_until_removal() == was_silent


def test_silence_until_the_last_removal_is_over_once_bytes_are_received(clock, connection, activity):
    activity.on_active()
    clock.advance(2 * UNRESPONSIVE_AFTER_MS)
    activity.on_exchange_removed()

    connection.last_received_ms = clock.now_ms

    assert not activity.was_silent_until_removal()
