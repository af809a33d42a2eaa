"""Tests of `clock`."""

import pytest

from function_router.net.clock import Clock


class FakeSystemClocks:
    """The monotonic clock and the wall clock of the system, which the test advances or sets."""

    def __init__(self):
        self.monotonic_ms = 1000.0
        self.unix_ms = 1_700_000_000_000.0

    def advance(self, elapsed_ms):
        """Advance both clocks."""
        self.monotonic_ms += elapsed_ms
        self.unix_ms += elapsed_ms


@pytest.fixture
def system():
    return FakeSystemClocks()


@pytest.fixture
def clock(system):
    return Clock(lambda: system.monotonic_ms, lambda: system.unix_ms)


@pytest.mark.parametrize("step_ms", [3_600_000.0, -3_600_000.0])
def test_clock_does_not_step_with_the_system_clock(system, clock, step_ms):
    before_ms = clock.now_ms()

    system.unix_ms += step_ms
    system.advance(100.0)

    assert clock.now_ms() - before_ms == pytest.approx(100.0, abs=1.0)


def test_elapsed_time_stays_exact_long_after_a_step(system, clock):
    system.unix_ms += 3_600_000.0
    before_ms = clock.now_ms()

    for _ in range(1000):
        system.advance(1000.0)
        clock.now_ms()

    assert clock.now_ms() - before_ms == pytest.approx(1_000_000.0, abs=0.1)
