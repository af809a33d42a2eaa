"""Tests of how long after its publication a drain is known in a run of the soak test."""

import random

from soak.drain_lags import (
    MAX_LOG_LAG_S,
    MAX_ROUTERS_WITH_LATE_LOGS,
    MAX_WORKER_LAG_S,
    MIN_LOG_LAG_S,
    DrainLags,
)


def draw(seed, router_count):
    return DrainLags.draw(random.Random(seed), router_count)


def test_either_workers_or_logs_lag_and_both_occur_with_few_routers():
    drawn = [draw(seed, MAX_ROUTERS_WITH_LATE_LOGS) for seed in range(20)]

    assert {(lags.max_worker_s > 0, lags.log_s > 0) for lags in drawn} == {(True, False), (False, True)}
    assert all(lags.log_s == 0 or MIN_LOG_LAG_S <= lags.log_s <= MAX_LOG_LAG_S for lags in drawn)


def test_logs_do_not_lag_with_more_routers():
    drawn = [draw(seed, MAX_ROUTERS_WITH_LATE_LOGS + 1) for seed in range(20)]

    assert drawn == [DrainLags(MAX_WORKER_LAG_S, 0.0)] * 20


def test_lags_follow_from_the_seed():
    assert draw(1, 2) == draw(1, 2) != draw(2, 2)
