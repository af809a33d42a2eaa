"""Tests of the function table: its bound, evictions, and what an arrival costs when it is full."""

import pytest
from helpers.decision_harness import DecisionHarness, actions_of, start_orders
from helpers.function_calls import count_calls

from function_router.decisions.actions import RejectRequest
from function_router.decisions.events import Endpoint, EndpointsChanged, RequestCancelled
from function_router.decisions.functions import FUNCTION_BYTES

MAX_FUNCTIONS = 40


@pytest.fixture
def harness():
    """A router with a small function table, whose workers answer nothing by themselves."""
    return DecisionHarness(max_functions=MAX_FUNCTIONS, max_retry_after_ms=700.0)


def names(harness):
    return set(harness.fleet.functions.by_name)


def fill_with_queued_requests(harness, count):
    """Send a request for each of some new functions; all of them stay queued."""
    for number in range(count):
        harness.request(f"q{number}", f"queued-{number}")


# Guards against a table that grew without bound while none of its functions could be evicted.
def test_request_for_a_new_function_is_rejected_at_once_if_no_function_can_be_evicted(harness):
    fill_with_queued_requests(harness, MAX_FUNCTIONS)

    actions = harness.request("r", "one-too-many")

    assert actions_of(actions, RejectRequest) == [RejectRequest("r", 700.0)]
    assert len(names(harness)) == MAX_FUNCTIONS
    assert "r" not in harness.router.requests.by_id
    assert "1 requests rejected" in harness.fleet.functions.describe()


def test_function_whose_requests_were_withdrawn_makes_room_though_its_probes_are_pending(harness):
    fill_with_queued_requests(harness, MAX_FUNCTIONS)
    harness.feed(RequestCancelled("q7"))

    harness.request("r", "new")

    assert "new" in names(harness)
    assert "queued-7" not in names(harness)


def test_probe_answer_for_an_evicted_function_counts_as_a_reply_of_the_worker(harness):
    fill_with_queued_requests(harness, MAX_FUNCTIONS)
    harness.feed(RequestCancelled("q7"))
    harness.request("r", "new")
    worker = harness.worker(1)
    was_awaited = worker.awaiting_reply_since_ms is not None

    harness.report_instances(1, 0, "queued-7")

    assert (was_awaited, worker.awaiting_reply_since_ms) == (True, None)


# Guards against a flood of new names that evicts the functions of usual clients.
def test_served_functions_stay_while_ever_new_ones_come(harness):
    served = [f"served-{number}" for number in range(5)]
    for name in served:
        harness.warm_up(name)

    for number in range(10 * MAX_FUNCTIONS):
        harness.request(f"r{number}", f"new-{number}")
        harness.feed(RequestCancelled(f"r{number}"))

    assert names(harness) >= set(served)
    assert len(names(harness)) <= MAX_FUNCTIONS


def test_served_functions_leave_room_for_new_ones(harness):
    for number in range(2 * MAX_FUNCTIONS):
        harness.warm_up(f"served-{number}")

    actions = harness.request("r", "new")

    assert actions_of(actions, RejectRequest) == []
    assert "new" in names(harness)
    assert f"served-{2 * MAX_FUNCTIONS - 1}" in names(harness)


def test_function_with_a_pending_start_order_is_kept(harness):
    actions = harness.request("r", "starting")
    [order] = start_orders(harness.answer_probes(actions))
    harness.feed(RequestCancelled("r"))

    for number in range(2 * MAX_FUNCTIONS):
        harness.request(f"r{number}", f"new-{number}")
        harness.feed(RequestCancelled(f"r{number}"))

    assert "starting" in names(harness)
    harness.report_instances(order.worker_id, 1, "starting")  # must not fail


# Guards against a large fleet, where the order of its workers takes more memory than a record of a function.
def test_number_of_functions_follows_the_number_of_workers():
    functions_bytes = 100 * FUNCTION_BYTES
    counts = []
    for workers in (4, 512):
        harness = DecisionHarness(workers=workers, functions_bytes=functions_bytes)
        for number in range(200):
            harness.request(f"r{number}", f"f{number}")
            harness.feed(RequestCancelled(f"r{number}"))
        counts.append(len(names(harness)))

    assert counts == [99, 50]


def test_table_shrinks_when_workers_are_added():
    harness = DecisionHarness(workers=4, functions_bytes=100 * FUNCTION_BYTES)
    for number in range(99):
        harness.request(f"r{number}", f"f{number}")
        harness.feed(RequestCancelled(f"r{number}"))
    added = [Endpoint(worker_id) for worker_id in range(1, 513)]

    harness.feed(EndpointsChanged(added, is_complete=True))
    harness.request("r", "new")

    assert len(names(harness)) == 50


# Guards against an arrival that sorted and searched the whole table once it was full.
@pytest.mark.parametrize("is_rejected", [True, False], ids=["rejected", "admitted"])
def test_arrival_at_a_full_table_costs_the_same_at_any_size(is_rejected):
    calls = []
    for max_functions in (100, 1_000):
        harness = DecisionHarness(max_functions=max_functions)
        fill_with_queued_requests(harness, max_functions)
        if not is_rejected:
            for number in range(20):
                harness.feed(RequestCancelled(f"q{number}"))
        harness.request("first", "first")
        calls.append(count_calls(lambda harness=harness: harness.request("r", "one-too-many")))

    assert calls[1] < 1.5 * calls[0]
