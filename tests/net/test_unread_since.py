"""Tests of `unread_since`: the bound on how long unread bytes can have waited."""

import pytest

from function_router.net.unread_since import MAX_STRETCH_MS, UnreadSince


class FakeLooks:
    """What an event loop tells of its looks at the sockets."""

    def __init__(self):
        self.look_count = 0
        self.previous_look_ms = 0.0
        self.turn_started_ms = 0.0

    def look(self, at_ms):
        """Look at the sockets."""
        self.look_count += 1
        self.previous_look_ms = self.turn_started_ms
        self.turn_started_ms = at_ms


@pytest.fixture
def looks():
    return FakeLooks()


@pytest.fixture
def unread_since(looks):
    return UnreadSince(looks, 0.0)


def test_look_that_does_not_report_the_socket_bounds_the_wait(looks, unread_since):
    looks.look(100.0)
    looks.look(130.0)
    unread_since.on_reported()

    assert unread_since.max_wait_ms == 30.0


def test_what_came_before_the_socket_was_watched_counts_from_its_beginning(looks, unread_since):
    looks.look(100.0)
    unread_since.on_reported()

    assert unread_since.max_wait_ms == 100.0


def test_short_reads_in_a_row_keep_the_bound_until_a_read_finds_nothing(looks, unread_since):
    for at_ms in (100.0, 130.0, 140.0, 190.0):
        looks.look(at_ms)
        if at_ms > 100.0:
            unread_since.on_reported()
    wait_ms = unread_since.max_wait_ms
    unread_since.on_drained()
    looks.look(195.0)
    unread_since.on_reported()

    assert wait_ms == 90.0 > MAX_STRETCH_MS
    assert unread_since.max_wait_ms == 5.0


def test_looks_while_the_socket_was_not_watched_prove_nothing(looks, unread_since):
    for at_ms in (100.0, 500.0):
        looks.look(at_ms)
    unread_since.on_watched_again()
    looks.look(510.0)
    unread_since.on_reported()

    assert unread_since.max_wait_ms == 510.0
