"""Tests of speculation: when it is disabled and enabled again for a function."""

from helpers.decision_harness import DecisionHarness, actions_of, one_of_many_routers, start_orders
from msgspec import structs

from function_router.decisions.actions import EnsureInstances, SendRequest
from function_router.decisions.records import Function
from function_router.decisions.types import WorkerState
from function_router.hashing import hash64


def test_speculation_stops_after_a_long_idle_instance_and_resumes_after_a_long_wait():
    harness = DecisionHarness()
    warm_worker = harness.warm_up(start_ms=200)
    [first_send] = actions_of(harness.request("r1"), SendRequest)
    [order] = actions_of(harness.request("r2"), EnsureInstances)
    harness.end_attempt(first_send)
    harness.now_ms += 20
    harness.report_instances(order.worker_id, 1)
    harness.now_ms += 150  # the speculative instance idles for longer than the run of 100 ms
    worker = harness.worker(order.worker_id)
    worker.endpoint = structs.replace(worker.endpoint, state=WorkerState.DRAINING)  # makes it unusable

    actions = harness.request("r3")
    queued_ms = harness.now_ms
    assert not start_orders(actions)

    actions = harness.run_timer_until(queued_ms + 190)
    assert not start_orders(actions)  # a start takes 200 ms

    harness.report_instances(warm_worker, 1)  # keeps the worker from becoming unresponsive
    actions = harness.run_timer_until(queued_ms + 260)
    assert start_orders(actions)


def test_speculation_stops_when_an_instance_idles_longer_than_a_run():
    harness = one_of_many_routers(40)
    function = Function("f", "idempotent", 2, None, hash64("f"))
    harness.fleet.durations.run_times.add(0.0, 100.0)
    function.idle_before_use_ms = 150.0

    assert not harness.router.speculation.update(function, harness.now_ms)
