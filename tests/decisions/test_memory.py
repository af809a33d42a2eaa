"""Tests that what clients send once does not stay in memory, and that the tables are bounded."""

import gc

from helpers.decision_harness import DecisionHarness

from function_router.decisions.arrivals import MAX_RECENT_ARRIVALS
from function_router.decisions.events import RequestCancelled
from function_router.decisions.records import Request

REQUEST_COUNT = 3_000
MAX_KEPT_REQUESTS = 200


def count_request_records():
    return sum(isinstance(each, Request) for each in gc.get_objects())


# Guards against records of closed requests that stayed until their deadlines, with their functions.
def test_cancelled_requests_are_not_kept_until_their_deadlines():
    harness = DecisionHarness()
    before = count_request_records()

    for number in range(REQUEST_COUNT):
        harness.request(f"r{number}", f"f{number % 5}")
        harness.feed(RequestCancelled(f"r{number}"))

    assert count_request_records() - before < MAX_KEPT_REQUESTS


def test_cancelled_requests_behind_one_that_stays_open_are_not_kept():
    harness = DecisionHarness()
    harness.request("open", "f")
    before = count_request_records()

    for number in range(REQUEST_COUNT):
        harness.request(f"r{number}", "f")
        harness.feed(RequestCancelled(f"r{number}"))

    assert count_request_records() - before < MAX_KEPT_REQUESTS
    assert harness.router.requests.by_id.keys() == {"open"}


def test_arrivals_leave_the_window_though_no_rate_is_read():
    harness = DecisionHarness()
    arrivals = harness.fleet.arrivals

    for number in range(REQUEST_COUNT):
        harness.now_ms += 100.0
        harness.request(f"r{number}")

    assert len(arrivals.recent) < 1_000


def test_number_of_arrivals_in_the_window_is_limited():
    harness = DecisionHarness()

    for number in range(MAX_RECENT_ARRIVALS + 100):
        harness.request(f"r{number}", timeout_ms=1.0)

    assert len(harness.fleet.arrivals.recent) == MAX_RECENT_ARRIVALS
