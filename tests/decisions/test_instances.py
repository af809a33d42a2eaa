"""Tests of instances: which ones a router presumes to exist, and for how long."""

import pytest
from helpers.decision_harness import DecisionHarness, actions_of

from function_router.decisions.actions import EnsureInstances, SendRequest
from function_router.decisions.events import Endpoint, EndpointsChanged
from function_router.decisions.types import Outcome, StartKind


def test_idle_instance_is_presumed_stopped_after_its_keep_alive():
    harness = DecisionHarness(instance_keep_alive_ms=5000.0)
    harness.warm_up()
    harness.now_ms += 5001

    orders = actions_of(harness.request("r1"), EnsureInstances)

    assert len(orders) > 1  # several workers are probed, not only the previously warm one


def test_restarted_worker_is_presumed_to_have_no_instances():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    harness.feed(EndpointsChanged([Endpoint(warm_worker, started_at_ms=harness.now_ms)], is_complete=False))

    actions = harness.request("r1")

    assert not actions_of(actions, SendRequest)


def test_attempt_sent_before_the_notification_of_a_restart_proves_no_instance():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    harness.now_ms += 100.0
    restarted_ms = harness.now_ms
    harness.now_ms += 100.0
    # The restart is announced late, so the router still counts the instance of the previous process.
    [send] = actions_of(harness.request("r"), SendRequest)
    harness.end_attempt(send, Outcome.RESET, is_answered=False)

    harness.feed(EndpointsChanged([Endpoint(warm_worker, started_at_ms=restarted_ms)], is_complete=False))

    worker = harness.worker(warm_worker)
    function = harness.function("f")
    assert harness.fleet.instances.count(function.pools[warm_worker], worker, harness.now_ms) == 0


@pytest.mark.parametrize(
    ("in_flight", "is_reported_later", "expected_count"),
    [
        pytest.param(0, False, 1, id="cold-start-at-an-idle-worker"),
        pytest.param(1, False, 1, id="cold-start-though-one-slot-was-free"),
        pytest.param(2, False, 3, id="all-slots-of-an-instance-in-use"),
        pytest.param(None, False, 3, id="in-flight-unknown"),
        pytest.param(0, True, 3, id="instances-reported-after-the-send"),
    ],
)
def test_cold_start_despite_a_free_slot_resets_the_instance_count(
    in_flight, is_reported_later, expected_count
):
    harness = DecisionHarness()
    warm_worker = harness.warm_up(concurrency=2)
    harness.report_instances(warm_worker, 3)
    harness.now_ms += 1.0
    [send] = actions_of(harness.request("r", concurrency=2), SendRequest)
    if is_reported_later:  # the report is more recent than the send
        harness.now_ms += 1.0
        harness.report_instances(warm_worker, 3)

    harness.end_attempt(send, start_kind=StartKind.COLD_START, in_flight=in_flight)

    assert harness.function("f").pools[warm_worker].count == expected_count
