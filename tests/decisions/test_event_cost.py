"""Tests that the cost of an event does not grow with the number of workers or of queued requests."""

import pytest
from helpers.decision_harness import MANY_ROUTERS_TENANT, DecisionHarness, actions_of
from helpers.function_calls import count_calls

from function_router.decisions.actions import SendRequest
from function_router.decisions.events import RequestCancelled, TimerFired

CONCURRENCY = 4
# Maximum number of function calls to find that a worker has no free slot for a function.
MAX_CALLS_PER_FUNCTION = 20


# --- number of workers ----------------------------------------------------------------------------


def serve_one_request(harness, request_id):
    harness.now_ms += 500.0
    for send in harness.complete_starts(harness.request(request_id, concurrency=2)):
        harness.now_ms += 100.0
        harness.end_attempt(send)
    harness.run_timer_until(harness.now_ms + 200)


def count_calls_while_serving(workers):
    """Count the function calls of a router that serves requests and timers, after a first request.

    The first request computes the order of all workers, which is cached.
    """
    harness = DecisionHarness(
        workers=workers,
        tenant=MANY_ROUTERS_TENANT,
        router_count=100,
        tenant_quotas_rps={MANY_ROUTERS_TENANT: 5.0 * workers},
    )

    def serve():
        for number in range(1, 20):
            serve_one_request(harness, f"r{number}")

    serve_one_request(harness, "r0")
    # The sums over all workers are computed once a second and not at each event, so they are left out.
    harness.fleet.capacity.refreshed_ms = harness.now_ms + 1e9
    return count_calls(serve)


def test_event_costs_about_the_same_with_ten_times_as_many_workers():
    calls_of_few_workers = count_calls_while_serving(100)
    calls_of_many_workers = count_calls_while_serving(1000)

    assert calls_of_many_workers < 1.5 * calls_of_few_workers


# --- number of queued requests --------------------------------------------------------------------


def harness_with_queue(length):
    """Return a router whose only instance is busy, with queued requests, and the sends in flight."""
    harness = DecisionHarness(workers=4, max_retry_after_ms=1000.0)
    harness.warm_up(concurrency=CONCURRENCY)
    return harness, fill_queue(harness, length)


def many_routers_harness_with_queue(length):
    """Return the same for one of many routers, most of whose queued requests are over quota."""
    harness = DecisionHarness(
        workers=20,
        tenant=MANY_ROUTERS_TENANT,
        router_count=100,
        tenant_quotas_rps={MANY_ROUTERS_TENANT: 4000.0},
    )
    harness.warm_up(concurrency=CONCURRENCY)
    return harness, fill_queue(harness, length)


def fill_queue(harness, length):
    """Send requests until no slot is free, and queue further ones; return the sends."""
    sends = []
    number = 0
    while len(harness.function("f").queue) < length:
        actions = harness.request(f"q{number}", concurrency=CONCURRENCY)
        actions += harness.answer_probes(actions)
        sends += actions_of(actions, SendRequest)
        number += 1
    return sends


def arrive(harness, _sends):
    harness.request("new", concurrency=CONCURRENCY)


def cancel(harness, _sends):
    request = next(iter(harness.function("f").queue))
    harness.feed(RequestCancelled(request.id))


def end_attempt(harness, sends):
    harness.end_attempt(sends[0])


def report_instances(harness, sends):
    harness.report_instances(sends[0].worker_id, 1)


def fire_timer(harness, _sends):
    harness.feed(TimerFired(0))


# Guards against a burst whose queues make each event cost so much that the router answers seconds too late.
@pytest.mark.parametrize("make_harness", [harness_with_queue, many_routers_harness_with_queue])
@pytest.mark.parametrize("event", [arrive, cancel, end_attempt, report_instances, fire_timer])
def test_event_costs_about_the_same_with_ten_times_as_many_queued_requests(make_harness, event):
    calls = {}
    for length in (100, 1000):
        harness, sends = make_harness(length)
        harness.now_ms += 1.0
        calls[length] = count_calls(lambda harness=harness, sends=sends: event(harness, sends))

    assert calls[1000] < 1.5 * calls[100]


# --- number of functions with queues --------------------------------------------------------------


def harness_with_queues(functions):
    """Return a router with a busy instance and queued requests for each function, and the sends in flight."""
    harness = DecisionHarness(workers=2, max_retry_after_ms=1000.0)
    names = [f"f{number}" for number in range(functions)]
    for name in names:
        harness.warm_up(name)
    for name in names:
        for worker_id in (1, 2):
            harness.report_instances(worker_id, 1, name)
    sends = []
    for name in names:
        for number in range(5):
            sends += actions_of(harness.request(f"{name}-{number}", name), SendRequest)
    assert all(harness.function(name).queue for name in names)
    return harness, sends


# Guards against a burst of many functions in which each end of an attempt dispatches all of their queues.
def test_end_of_an_attempt_dispatches_no_function_that_the_worker_cannot_serve():
    calls = {}
    for functions in (10, 100):
        harness, sends = harness_with_queues(functions)
        calls[functions] = count_calls(lambda harness=harness, sends=sends: end_attempt(harness, sends))

    calls_per_function = (calls[100] - calls[10]) / 90
    assert calls_per_function < MAX_CALLS_PER_FUNCTION


# --- number of functions with queued requests -------------------------------------------------------


def queue_for_functions(count):
    """Return a router with a queued request for each of some functions, all of whose workers are busy."""
    harness = DecisionHarness(workers=4, max_functions=4 * count)
    harness.warm_up("warm")
    harness.now_ms += 10.0
    harness.sends = actions_of(harness.request("in-flight", "warm"), SendRequest)
    for number in range(count):
        harness.answer_probes(harness.request(f"r{number}", f"f{number}"))
    return harness


# Guards against a timer and an end of an attempt that dispatched each function with queued requests.
@pytest.mark.parametrize("event", ["timer", "end of an attempt", "arrival"])
def test_event_costs_the_same_whatever_number_of_functions_have_queued_requests(event):
    calls = []
    for count in (150, 1_500):
        harness = queue_for_functions(count)
        harness.now_ms += 40.0
        run = {
            "timer": lambda harness=harness: harness.feed(TimerFired(0)),
            "end of an attempt": lambda harness=harness: harness.end_attempt(harness.sends[0]),
            "arrival": lambda harness=harness: harness.request("new", "new"),
        }[event]
        calls.append(count_calls(run))

    assert calls[1] < 1.5 * calls[0]


def test_each_function_is_dispatched_in_turn_if_there_are_many():
    harness = queue_for_functions(500)
    harness.end_attempt(harness.sends[0])
    last = harness.function("f499")
    pool = last.pool_at(harness.worker(1))
    pool.count = 1
    pool.last_seen_ms = harness.now_ms
    pool.last_counted_ms = harness.now_ms

    actions = harness.run_timer_until(harness.now_ms + 200.0)

    assert "r499" in [send.request_id for send in actions_of(actions, SendRequest)]
