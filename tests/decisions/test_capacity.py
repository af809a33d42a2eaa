"""Tests of capacity: limits on requests in flight, at each worker and in total."""

from helpers.decision_harness import DecisionHarness, one_of_many_routers

from function_router.decisions.events import Endpoint, EndpointsChanged
from function_router.decisions.types import WorkerState


def test_removed_workers_do_not_raise_the_in_flight_limit_of_the_others():
    harness = DecisionHarness(workers=4, tenant_quotas_rps={"t": 40.0})
    limit_before = harness.worker(1).max_in_flight

    harness.feed(
        EndpointsChanged(
            [Endpoint(worker_id, WorkerState.REMOVED) for worker_id in (2, 3, 4)], is_complete=False
        )
    )
    harness.run_timer_until(40)

    assert harness.worker(1).max_in_flight == limit_before
    assert limit_before < 20


def test_in_flight_limit_shrinks_with_the_responsive_workers():
    harness = one_of_many_routers(40)
    fleet = harness.fleet
    fleet.capacity.refresh(harness.now_ms)
    limit_of_all_workers = fleet.capacity.max_in_flight

    for worker in fleet.workers.ready[:10]:
        fleet.health.mark_unresponsive(worker, harness.now_ms)
    fleet.capacity.refresh(harness.now_ms)

    assert fleet.capacity.many_routers
    assert fleet.capacity.max_in_flight == limit_of_all_workers / 2
