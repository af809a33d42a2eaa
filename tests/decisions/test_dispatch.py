"""Tests of dispatch: which of the workers with free slots gets a request."""

import pytest
from helpers.decision_harness import DecisionHarness, actions_of, start_orders

from function_router.decisions.actions import SendRequest
from function_router.decisions.events import Endpoint, EndpointsChanged
from function_router.decisions.types import WorkerState


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

    # An instance that runs one request at a time has no free slot.
    assert not actions_of(harness.request("two", concurrency=1), SendRequest)

    # An instance that runs four requests at a time has a free slot.
    sends = actions_of(harness.request("three", concurrency=4), SendRequest)
    assert [send.worker_id for send in sends] == [warm_worker]
