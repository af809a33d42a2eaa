"""Tests that what clients send once does not stay in memory, and that the tables are bounded."""

import gc

import pytest
from helpers.decision_harness import DecisionHarness

from function_router.decisions.arrivals import MAX_RECENT_ARRIVALS
from function_router.decisions.events import RequestCancelled
from function_router.decisions.records import Function, InstancePool, Request
from function_router.decisions.request_queue import QueueGroup, RequestQueue
from function_router.decisions.timed_requests import TimedRequests

REQUEST_COUNT = 3_000
MAX_KEPT_REQUESTS = 200


def count_request_records():
    return sum(isinstance(each, Request) for each in gc.get_objects())


@pytest.fixture
def no_collection():
    """Turn the garbage collector off, so that an object which only a reference cycle holds stays."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_function_parts():
    """Count the records of functions and of what they own."""
    kinds = (Function, InstancePool, QueueGroup, RequestQueue, TimedRequests)
    return sum(isinstance(each, kinds) for each in gc.get_objects())


# Guards against evicted functions that a table of those with queued requests kept, or a reference cycle.
@pytest.mark.usefixtures("no_collection")
def test_evicted_functions_are_freed_at_once_without_a_collection():
    harness = DecisionHarness(max_functions=50)
    for number in range(100):
        harness.request(f"r{number}", f"f{number}")
        harness.feed(RequestCancelled(f"r{number}"))
    before = count_function_parts()

    for number in range(100, 600):
        harness.answer_probes(harness.request(f"r{number}", f"f{number}"))
        harness.feed(RequestCancelled(f"r{number}"))

    assert count_function_parts() <= before


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
