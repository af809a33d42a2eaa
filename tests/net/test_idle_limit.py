"""Tests of `idle_limit`."""

import pytest

from function_router.net.idle_limit import MIN_LIMIT_MS, IdleLimit


def test_limit_starts_below_the_keepalive():
    assert IdleLimit(connection_keepalive_ms=1_000.0).limit_ms == pytest.approx(700.0)


@pytest.mark.parametrize(
    ("idle_ms", "limit_ms"),
    [(500.0, 350.0), (60.0, MIN_LIMIT_MS), (MIN_LIMIT_MS - 1.0, 700.0), (5_000.0, 700.0)],
    ids=["lowers-it", "never-below-the-minimum", "idle-too-short-to-count", "never-raises-it"],
)
def test_stale_connection_lowers_the_limit_below_its_idle_time(idle_ms, limit_ms):
    limit = IdleLimit(connection_keepalive_ms=1_000.0)

    limit.on_stale_connection(idle_ms)

    assert limit.limit_ms == pytest.approx(limit_ms)


def test_limit_grows_back_to_where_it_started_and_no_further():
    limit = IdleLimit(connection_keepalive_ms=1_000.0)
    limit.on_stale_connection(500.0)

    limit.grow()
    after_one_step_ms = limit.limit_ms
    for _ in range(100):
        limit.grow()

    assert after_one_step_ms == pytest.approx(357.0)
    assert limit.limit_ms == pytest.approx(700.0)
