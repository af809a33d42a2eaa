"""Tests of how long after its publication a drain is known in a run of the soak test."""

import random

from soak.drain_lags import MAX_LOG_LAG_S, MIN_LOG_LAG_S, DrainLags


def draw(seed):
    return DrainLags.draw(random.Random(seed))


def test_either_workers_or_logs_lag_and_both_occur():
    drawn = [draw(seed) for seed in range(20)]

    assert {(lags.max_worker_s > 0, lags.log_s > 0) for lags in drawn} == {(True, False), (False, True)}
    assert all(lags.log_s == 0 or MIN_LOG_LAG_S <= lags.log_s <= MAX_LOG_LAG_S for lags in drawn)


def test_lags_follow_from_the_seed():
    assert draw(1) == draw(1) != draw(2)
