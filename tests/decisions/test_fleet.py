"""Tests of the fleet: eviction of functions and workers."""

from helpers.decision_harness import DecisionHarness, actions_of

from function_router.decisions.actions import EnsureInstances, SendRequest
from function_router.decisions.events import Endpoint, EndpointsChanged, RequestCancelled, TimerFired
from function_router.decisions.settings import Settings
from function_router.decisions.types import Outcome, WorkerState

MAX_FUNCTIONS = Settings().max_functions


def test_functions_beyond_the_maximum_are_evicted_except_those_in_use():
    harness = DecisionHarness()
    harness.warm_up("in-flight")
    [send] = actions_of(harness.request("r1", "in-flight"), SendRequest)
    harness.request("r2", "queued")

    for number in range(3 * MAX_FUNCTIONS):
        harness.now_ms += 0.01
        for order in actions_of(harness.request(f"n{number}", f"f{number}"), EnsureInstances):
            harness.report_instances(order.worker_id, 0, order.function, Outcome.QUEUE_FULL)
        harness.feed(RequestCancelled(f"n{number}"))

    assert len(harness.fleet.functions.by_name) <= MAX_FUNCTIONS
    assert harness.fleet.functions.by_name.keys() >= {"in-flight", "queued"}
    harness.end_attempt(send)  # must not fail, as the function of the attempt is kept


def run_timer_every_second(harness, seconds):
    for _ in range(seconds):
        harness.now_ms += 1000
        harness.feed(TimerFired(0))


def test_removed_workers_and_functions_without_requests_are_evicted():
    harness = DecisionHarness()
    harness.warm_up("g")
    warm_worker = harness.warm_up()
    [send] = actions_of(harness.request("r1"), SendRequest)
    harness.feed(EndpointsChanged([Endpoint(warm_worker, WorkerState.REMOVED)], is_complete=False))

    run_timer_every_second(harness, 100)
    assert harness.router.requests.attempts
    assert warm_worker in harness.fleet.workers.by_id  # kept because an attempt is in flight there

    harness.end_attempt(send, Outcome.RESET)
    run_timer_every_second(harness, 100)
    assert not harness.router.requests.attempts
    assert warm_worker not in harness.fleet.workers.by_id
    assert len(harness.fleet.workers.by_id) == 3
    assert "g" not in harness.fleet.functions.by_name
    functions = harness.fleet.functions.by_name.values()
    assert not [function for function in functions if warm_worker in function.pools]


def test_earlier_start_does_not_replace_a_start_at_time_zero():
    # Guards against a time of 0.0 that counts as no time.
    harness = DecisionHarness(workers=1)
    harness.feed(EndpointsChanged([Endpoint(1, started_at_ms=0.0)], is_complete=False))

    harness.feed(EndpointsChanged([Endpoint(1, started_at_ms=-1_000.0)], is_complete=False))

    assert harness.worker(1).started_ms == 0.0
