"""Dispatch: which worker a request is sent to, and what is believed of the instances there."""

import pytest
from helpers.decision_harness import DecisionHarness, actions_of, start_orders

from function_router.decisions.actions import EnsureInstances, SendRequest
from function_router.decisions.events import Endpoint, EndpointsChanged, RequestCancelled, TimerFired
from function_router.decisions.functions import MAX_FUNCTIONS
from function_router.decisions.types import Outcome, StartKind, WorkerState

# --- the choice of a worker ----------------------------------------------------------------


def test_all_routers_start_a_function_at_the_same_worker():
    assert DecisionHarness().warm_up() == DecisionHarness().warm_up()


def test_load_bound_moves_requests_to_another_warm_worker():
    harness = DecisionHarness(workers=4)
    warm_worker = harness.warm_up(concurrency=16)
    other_worker = next(worker_id for worker_id in (1, 2, 3, 4) if worker_id != warm_worker)
    harness.report_instances(other_worker, 1)

    sends = [actions_of(harness.request(f"r{number}", concurrency=16), SendRequest)[0] for number in range(6)]

    assert sends[0].worker_id == warm_worker
    assert other_worker in [send.worker_id for send in sends]


@pytest.mark.parametrize("state", [WorkerState.DRAINING, WorkerState.REMOVED])
def test_draining_or_removed_worker_gets_nothing_new(state):
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    harness.feed(EndpointsChanged([Endpoint(warm_worker, state)], is_complete=False))

    actions = harness.request("r1")
    actions += harness.answer_probes(actions)
    actions += harness.run_timer_until(harness.now_ms + 100)

    starts = start_orders(actions)
    assert warm_worker not in [send.worker_id for send in actions_of(actions, SendRequest)]
    assert warm_worker not in [order.worker_id for order in starts]
    assert starts


def test_free_slots_are_counted_by_the_concurrency_of_each_request():
    harness = DecisionHarness()
    warm_worker = harness.warm_up(concurrency=4)

    [send] = actions_of(harness.request("one", concurrency=1), SendRequest)
    assert send.worker_id == warm_worker

    # an instance that runs one request at a time is taken
    assert not actions_of(harness.request("two", concurrency=1), SendRequest)

    # one that runs four is not
    sends = actions_of(harness.request("three", concurrency=4), SendRequest)
    assert [send.worker_id for send in sends] == [warm_worker]


# --- what is believed of instances ---------------------------------------------------------


def test_believed_instance_lapses_after_an_unused_keep_alive():
    harness = DecisionHarness(keep_alive_ms=5000.0)
    harness.warm_up()
    harness.now_ms += 5001

    orders = actions_of(harness.request("r1"), EnsureInstances)

    assert len(orders) > 1  # several workers are probed, and not only the one that was warm


def test_restarted_worker_has_no_believed_instances():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    harness.feed(EndpointsChanged([Endpoint(warm_worker, started_at_ms=harness.now_ms)], is_complete=False))

    actions = harness.request("r1")

    assert not actions_of(actions, SendRequest)


def test_attempt_sent_before_the_notice_of_a_restart_renews_no_belief():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    harness.now_ms += 100.0
    restarted_ms = harness.now_ms
    harness.now_ms += 100.0
    # the endpoint list is late: the router still counts on the instance of the process before
    [send] = actions_of(harness.request("r"), SendRequest)
    harness.end_attempt(send, Outcome.RESET, is_answered=False)

    harness.feed(EndpointsChanged([Endpoint(warm_worker, started_at_ms=restarted_ms)], is_complete=False))

    worker = harness.worker(warm_worker)
    function = harness.function("f")
    assert harness.router.fleet.instances.count(function.pools[warm_worker], worker, harness.now_ms) == 0


@pytest.mark.parametrize(
    ("in_flight", "is_reported_later", "believed_instances"),
    [
        pytest.param(0, False, 1, id="cold-start-at-an-idle-worker"),
        pytest.param(1, False, 1, id="cold-start-though-one-slot-was-free"),
        pytest.param(2, False, 3, id="all-slots-of-an-instance-in-use"),
        pytest.param(None, False, 3, id="in-flight-unknown"),
        pytest.param(0, True, 3, id="instances-reported-after-the-send"),
    ],
)
def test_cold_start_where_a_slot_was_free_shows_that_the_believed_instances_are_gone(
    in_flight, is_reported_later, believed_instances
):
    harness = DecisionHarness()
    warm_worker = harness.warm_up(concurrency=2)
    harness.report_instances(warm_worker, 3)
    harness.now_ms += 1.0
    [send] = actions_of(harness.request("r", concurrency=2), SendRequest)
    if is_reported_later:  # newer than what the answer to the send tells
        harness.now_ms += 1.0
        harness.report_instances(warm_worker, 3)

    harness.end_attempt(send, start_kind=StartKind.COLD_START, in_flight=in_flight)

    assert harness.function("f").pools[warm_worker].count == believed_instances


# --- what is forgotten ---------------------------------------------------------------------


def test_ever_new_functions_are_forgotten_but_not_those_in_use():
    harness = DecisionHarness()
    harness.warm_up("in-flight")
    [send] = actions_of(harness.request("r1", "in-flight"), SendRequest)
    harness.request("r2", "queued")

    for number in range(3 * MAX_FUNCTIONS):
        harness.now_ms += 0.01
        for order in actions_of(harness.request(f"n{number}", f"f{number}"), EnsureInstances):
            harness.report_instances(order.worker_id, 0, order.function, Outcome.QUEUE_FULL)
        harness.feed(RequestCancelled(f"n{number}"))

    assert len(harness.router.fleet.functions.by_name) <= MAX_FUNCTIONS
    assert harness.router.fleet.functions.by_name.keys() >= {"in-flight", "queued"}
    harness.end_attempt(send)  # finds its function


def run_timer_every_second(harness, seconds):
    for _ in range(seconds):
        harness.now_ms += 1000
        harness.feed(TimerFired(0))


def test_removed_workers_and_functions_without_requests_are_forgotten():
    harness = DecisionHarness()
    harness.warm_up("g")
    warm_worker = harness.warm_up()
    [send] = actions_of(harness.request("r1"), SendRequest)
    harness.feed(EndpointsChanged([Endpoint(warm_worker, WorkerState.REMOVED)], is_complete=False))

    run_timer_every_second(harness, 100)
    assert harness.router.requests.attempts
    assert warm_worker in harness.router.fleet.workers.by_id  # as long as an attempt is in flight there

    harness.end_attempt(send, Outcome.RESET)
    run_timer_every_second(harness, 100)
    assert not harness.router.requests.attempts
    assert warm_worker not in harness.router.fleet.workers.by_id
    assert len(harness.router.fleet.workers.by_id) == 3
    assert "g" not in harness.router.fleet.functions.by_name
    functions = harness.router.fleet.functions.by_name.values()
    assert not [function for function in functions if warm_worker in function.pools]
