"""Tests of arrivals: which requests are counted, and the arrival rates."""

import pytest

from function_router.decisions.arrivals import ARRIVAL_WINDOW_MS, MAX_START_ORDER_DELAY_MS, Arrivals
from function_router.decisions.events import RequestArrived, RequestCancelled
from function_router.decisions.settings import Settings

WINDOW_MS = ARRIVAL_WINDOW_MS - MAX_START_ORDER_DELAY_MS


def arrive(arrivals, request_id, now_ms, *, client_request_id="", age_ms=0.0):
    arrivals.record(
        RequestArrived(
            request_id,
            "f",
            "read",
            "t",
            timeout_ms=1000.0,
            client_request_id=client_request_id,
            age_ms=age_ms,
        ),
        now_ms,
    )


@pytest.fixture
def arrivals():
    """Return the arrivals of a router without a rate limit on start orders, whose first event is at 0 ms."""
    arrivals = Arrivals(Settings())
    arrivals.observed_since_ms = 0.0
    return arrivals


def test_request_that_a_client_retries_counts_once_in_the_recent_rate(arrivals):
    arrive(arrivals, "r1", 0.0, client_request_id="c")
    arrive(arrivals, "r2", 10.0, client_request_id="c")

    assert arrivals.recent_rate(20.0) == 1 / WINDOW_MS


def test_cancelled_request_does_not_count(arrivals):
    arrive(arrivals, "r1", 0.0)
    arrivals.cancel(RequestCancelled("r1"))

    assert arrivals.recent_rate(20.0) == 0.0


def test_request_leaves_the_window_by_the_time_of_its_arrival(arrivals):
    arrive(arrivals, "r1", 100.0, age_ms=60.0)

    assert arrivals.recent_rate(40.0 + WINDOW_MS - 1.0) == 1 / WINDOW_MS
    assert arrivals.recent_rate(40.0 + WINDOW_MS) == 0.0


def test_mean_rate_is_taken_over_the_window_at_least(arrivals):
    arrive(arrivals, "r1", 0.0)

    assert arrivals.mean_rate(10.0) == 1 / ARRIVAL_WINDOW_MS
    assert arrivals.mean_rate(4 * ARRIVAL_WINDOW_MS) == 1 / (4 * ARRIVAL_WINDOW_MS)
