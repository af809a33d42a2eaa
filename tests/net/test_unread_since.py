"""Tests of `unread_since`: the upper limit of the time for which unread bytes can have waited."""

import pytest

from function_router.net.unread_since import MAX_READABLE_INTERVAL_MS, UnreadSince


class FakeLoop:
    """The attributes of an event loop that describe its polls."""

    def __init__(self):
        self.poll_count = 0
        self.previous_poll_ms = 0.0
        self.turn_started_ms = 0.0

    def poll(self, at_ms):
        """Record a poll at a time."""
        self.poll_count += 1
        self.previous_poll_ms = self.turn_started_ms
        self.turn_started_ms = at_ms


@pytest.fixture
def loop():
    return FakeLoop()


@pytest.fixture
def unread_since(loop):
    return UnreadSince(loop, 0.0)


def test_poll_that_does_not_report_the_socket_bounds_the_wait(loop, unread_since):
    loop.poll(100.0)
    loop.poll(130.0)
    unread_since.on_reported_readable()

    assert unread_since.max_receive_delay_ms == 30.0


def test_wait_is_bounded_by_the_start_of_the_watch_where_every_poll_reports_the_socket(loop, unread_since):
    loop.poll(100.0)
    unread_since.on_reported_readable()

    assert unread_since.max_receive_delay_ms == 100.0


def test_bound_is_kept_while_every_poll_reports_the_socket_until_a_read_finds_nothing(loop, unread_since):
    for at_ms in (100.0, 130.0, 140.0, 190.0):
        loop.poll(at_ms)
        if at_ms > 100.0:
            unread_since.on_reported_readable()
    wait_ms = unread_since.max_receive_delay_ms
    unread_since.on_read_empty()
    loop.poll(195.0)
    unread_since.on_reported_readable()

    assert wait_ms == 90.0 > MAX_READABLE_INTERVAL_MS
    assert unread_since.max_receive_delay_ms == 5.0


def test_polls_while_the_socket_was_not_watched_are_ignored(loop, unread_since):
    for at_ms in (100.0, 500.0):
        loop.poll(at_ms)
    unread_since.on_watch_changed()
    loop.poll(510.0)
    unread_since.on_reported_readable()

    assert unread_since.max_receive_delay_ms == 510.0
