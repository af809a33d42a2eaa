"""Tests of the soak test's changes of workers: how long after its publication a drain is known."""

import random

from soak.worker_changes import MAX_LOG_LAG_S, MAX_WORKER_LAG_S, DrainLags


def test_lags_of_drains_follow_from_the_seed_and_are_limited():
    drawn = [DrainLags.draw(random.Random(seed)) for seed in (1, 1, 2)]

    assert drawn[0] == drawn[1] != drawn[2]
    assert all(0.0 <= lags.worker_s <= MAX_WORKER_LAG_S for lags in drawn)
    assert all(0.0 <= lags.log_s <= MAX_LOG_LAG_S for lags in drawn)
