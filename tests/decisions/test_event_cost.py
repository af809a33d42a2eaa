"""Test that the cost of an event does not grow with the number of workers."""

import sys

from helpers.decision_harness import MANY_ROUTERS_TENANT, DecisionHarness


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
    call_count = 0

    def count_call(_frame, event, _arg):
        nonlocal call_count
        call_count += event in ("call", "c_call")

    serve_one_request(harness, "r0")
    # The sums over all workers are computed once a second and not at each event, so they are left out.
    harness.fleet.capacity.refreshed_ms = harness.now_ms + 1e9
    sys.setprofile(count_call)
    try:
        for number in range(1, 20):
            serve_one_request(harness, f"r{number}")
    finally:
        sys.setprofile(None)
    return call_count


def test_event_costs_about_the_same_with_ten_times_as_many_workers():
    calls_of_few_workers = count_calls_while_serving(100)
    calls_of_many_workers = count_calls_while_serving(1000)

    assert calls_of_many_workers < 1.5 * calls_of_few_workers
