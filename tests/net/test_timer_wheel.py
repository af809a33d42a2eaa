"""Tests of `timer_wheel`: when timers fire, cancellation, and exceptions in callbacks."""

import pytest
from helpers.fake_clock import FakeMonotonicClock

from function_router.net.timer_wheel import SLOT_COUNT, TICK_MS, TimerWheel

DELAYS_MS = [0.0, 1.0, 3.9, 4.0, 40.0, 250.0, SLOT_COUNT * TICK_MS, SLOT_COUNT * TICK_MS * 2 + 5, 10_000.0]
STARTED_AT_MS = 1000.0
STEP_MS = 1.0


@pytest.fixture
def clock():
    return FakeMonotonicClock(STARTED_AT_MS)


@pytest.fixture
def wheel(clock):
    return TimerWheel(clock.read_ms)


@pytest.fixture(scope="module")
def elapsed_ms_by_delay():
    """The time after which each timer of a wheel fired, by the delay of the timer."""
    clock = FakeMonotonicClock(STARTED_AT_MS)
    wheel = TimerWheel(clock.read_ms)
    fired = {}
    for delay_ms in DELAYS_MS:
        wheel.call_later(
            delay_ms, lambda delay_ms=delay_ms: fired.setdefault(delay_ms, clock.now_ms - STARTED_AT_MS)
        )
    while wheel.seconds_until_next() is not None:
        clock.advance(STEP_MS)
        wheel.advance()
    return fired


def test_every_timer_fires(elapsed_ms_by_delay):
    assert sorted(elapsed_ms_by_delay) == DELAYS_MS


@pytest.mark.parametrize("delay_ms", DELAYS_MS)
def test_timer_is_never_early_and_late_by_a_tick_at_most(elapsed_ms_by_delay, delay_ms):
    assert delay_ms <= elapsed_ms_by_delay[delay_ms] <= delay_ms + TICK_MS + STEP_MS


def test_after_a_long_pause_all_due_timers_fire_in_order_and_no_other(clock, wheel):
    fired = []
    for delay_ms in (9_000.0, 50.0, 30_000.0, 2_100.0):
        wheel.call_later(delay_ms, lambda delay_ms=delay_ms: fired.append(delay_ms))
    wheel.call_later(60.0, lambda: fired.append("cancelled")).cancel()

    clock.advance(20_000.0)
    wheel.advance()

    assert fired == [50.0, 2_100.0, 9_000.0]


def test_timer_that_a_callback_cancels_does_not_fire(clock, wheel):
    fired = []
    later = wheel.call_later(50.0, lambda: fired.append("later"))
    wheel.call_later(4.0, later.cancel)

    clock.advance(100.0)
    wheel.advance()

    assert fired == []


def test_exception_in_a_callback_does_not_affect_other_timers(clock, wheel):
    reported = []
    fired = []
    wheel.on_exception = reported.append
    wheel.call_later(4.0, lambda: 1 / 0)
    wheel.call_later(4.0, lambda: fired.append("second"))

    clock.advance(20.0)
    wheel.advance()

    assert (len(reported), fired) == (1, ["second"])


def test_cancelled_timer_does_not_wake_the_loop(wheel):
    wheel.call_later(50.0, lambda: None).cancel()

    assert wheel.seconds_until_next() is None
