"""Tests of `start_times` with a wall clock that is set while the router runs."""

import pytest

from function_router.net.clock import Clock
from function_router.net.start_times import MAX_LIVE_UPDATE_AGE_MS, StartTimes

HOUR_MS = 3_600_000.0
WORKER_ID = 7


class FakeMachine:
    """A machine whose wall clock is wrong by `wrong_by_ms`; both of its clocks advance together."""

    def __init__(self, wrong_by_ms=0.0):
        self.monotonic_ms = 1000.0
        self.true_unix_ms = 1_700_000_000_000.0
        self.wrong_by_ms = wrong_by_ms
        self.clock = Clock(lambda: self.monotonic_ms, lambda: self.true_unix_ms + self.wrong_by_ms)
        self.start_times = StartTimes(self.clock)

    def advance(self, elapsed_ms):
        """Advance both clocks."""
        self.monotonic_ms += elapsed_ms
        self.true_unix_ms += elapsed_ms

    def set_wall_clock(self, wrong_by_ms):
        """Set the wall clock, and have the router record the step."""
        self.wrong_by_ms = wrong_by_ms
        self.clock.record_wall_clock_offset(self.true_unix_ms + wrong_by_ms - self.monotonic_ms)

    def age_ms(self, true_age_ms, *, worker_id=WORKER_ID, is_live_update=False):
        """Return the age that the router computes for a worker of a given true age."""
        started_at = self.true_unix_ms - true_age_ms
        converted = self.start_times.convert(worker_id, started_at, is_live_update=is_live_update)
        return self.clock.now_ms() - converted


@pytest.mark.parametrize("step_ms", [5_000.0, -5_000.0, HOUR_MS, -HOUR_MS])
@pytest.mark.parametrize("is_live_update", [False, True])
def test_no_worker_counts_as_older_than_it_is_after_a_step_of_the_wall_clock(step_ms, is_live_update):
    machine = FakeMachine()
    machine.set_wall_clock(step_ms)

    assert 0.0 <= machine.age_ms(8_000.0, is_live_update=is_live_update) <= 8_000.0


def test_wall_clock_that_was_corrected_after_startup_is_used():
    machine = FakeMachine(wrong_by_ms=HOUR_MS)
    machine.set_wall_clock(0.0)

    assert machine.age_ms(8_000.0) == 8_000.0


@pytest.mark.parametrize("wrong_by_ms", [HOUR_MS, -HOUR_MS])
def test_start_in_a_live_update_from_a_clock_that_is_wrong_counts_from_now(wrong_by_ms):
    machine = FakeMachine(wrong_by_ms=wrong_by_ms)

    assert machine.age_ms(2_000.0, is_live_update=True) == 0.0


def test_live_update_after_a_long_outage_of_the_log_may_be_as_old_as_the_outage():
    machine = FakeMachine()
    machine.start_times.on_caught_up(machine.clock.now_ms())
    machine.advance(10 * MAX_LIVE_UPDATE_AGE_MS)

    assert machine.age_ms(10 * MAX_LIVE_UPDATE_AGE_MS, is_live_update=True) == 10 * MAX_LIVE_UPDATE_AGE_MS


def test_repeated_start_time_is_converted_alike_after_a_step_of_the_wall_clock():
    machine = FakeMachine()
    started_at = machine.true_unix_ms - 2_000.0
    first = machine.start_times.convert(WORKER_ID, started_at, is_live_update=True)
    machine.set_wall_clock(-HOUR_MS)
    machine.advance(1_000.0)

    assert machine.start_times.convert(WORKER_ID, started_at, is_live_update=True) == first
    assert machine.start_times.convert(WORKER_ID, started_at + 1.0, is_live_update=True) > first


def test_worker_without_a_start_time_started_long_ago():
    assert FakeMachine().start_times.convert(WORKER_ID, None, is_live_update=True) is None
