"""Tests of `timer_wheel`."""

import pytest
from fakes import SETTINGS

from function_router.decisions.types import Outcome
from function_router.net.clock import Clock
from function_router.net.timer_wheel import SLOTS, TICK_MS, TimerWheel


class Hands:
    def __init__(self):
        self.steady, self.wall = 1000.0, 1_700_000_000_000.0

    def step(self, ms):
        self.steady += ms
        self.wall += ms


PROOFS = {Outcome.NOT_SENT, Outcome.CONNECT_FAILED}


GOOD = {"listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "seed": "8c1f", "settings": SETTINGS}


def test_timers_are_never_early_and_late_by_a_tick_at_most():
    hands = Hands()
    wheel, fired = TimerWheel(lambda: hands.steady), {}
    delays = [0.0, 1.0, 3.9, 4.0, 40.0, 250.0, SLOTS * TICK_MS, SLOTS * TICK_MS * 2 + 5, 10_000.0]
    for delay in delays:
        wheel.call_later(delay, lambda delay=delay: fired.setdefault(delay, hands.steady - 1000.0))
    while wheel.seconds_until_next() is not None:
        hands.step(1.0)
        wheel.advance()
    assert sorted(fired) == delays
    for delay, at in fired.items():
        assert delay <= at <= delay + TICK_MS + 1.0, (delay, at)


def test_a_long_halt_fires_all_that_is_due_in_order_and_nothing_else():
    hands = Hands()
    wheel, fired = TimerWheel(lambda: hands.steady), []
    for delay in (9_000.0, 50.0, 30_000.0, 2_100.0):
        wheel.call_later(delay, lambda delay=delay: fired.append(delay))
    wheel.call_later(60.0, lambda: fired.append("cancelled")).cancel()
    hands.step(20_000.0)
    wheel.advance()
    assert fired == [50.0, 2_100.0, 9_000.0]


def test_a_fault_in_one_timer_leaves_the_others_alone():
    hands, faults, fired = Hands(), [], []
    wheel = TimerWheel(lambda: hands.steady)
    wheel.on_exception = faults.append
    wheel.call_later(4.0, lambda: 1 / 0)
    wheel.call_later(4.0, lambda: fired.append("second"))
    hands.step(20.0)
    wheel.advance()
    assert (len(faults), fired) == (1, ["second"])


def test_the_shown_clock_takes_no_step():
    for step in (3_600_000.0, -3_600_000.0):
        hands = Hands()
        clock = Clock(lambda hands=hands: hands.steady, lambda hands=hands: hands.wall)
        before = clock.now_ms()
        hands.wall += step
        hands.step(100.0)
        assert clock.now_ms() - before == pytest.approx(100.0, abs=1.0)


def test_the_shown_clock_follows_a_drift():
    hands = Hands()
    clock = Clock(lambda: hands.steady, lambda: hands.wall)
    hands.wall += 20.0
    for _ in range(100):
        hands.step(100.0)
        clock.now_ms()
    assert clock.now_ms() == pytest.approx(hands.wall, abs=0.01)
