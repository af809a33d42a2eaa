"""Many routers: hedged attempts for requests whose answers are overdue."""

from collections import Counter

import pytest
from helpers.decision_harness import DecisionHarness

from function_router.decisions.actions import SendRequest

WORKERS = (1, 2, 3, 4)


@pytest.fixture
def harness():
    """One of many routers, with four workers in two zones."""
    return DecisionHarness(workers=4, zones=("a", "b"), router_count=100)


def sends_of_overdue_request(harness, class_name, timeout_ms):
    """All sends of one request whose first worker loses the answer but goes on with all else."""
    harness.request("r1", class_name=class_name, timeout_ms=timeout_ms)
    for worker_id in WORKERS:
        harness.report_instances(worker_id, 1)
    [first] = harness.logged(SendRequest)
    for _ in range(50):
        harness.run_timer_until(harness.now_ms + 40)
        harness.report_instances(first.action.worker_id, 1)
    return harness.logged(SendRequest)


def test_overdue_idempotent_request_is_hedged_in_time_at_another_worker(harness):
    sends = sends_of_overdue_request(harness, "idempotent", 2500.0)

    assert len(sends) > 1
    assert sends[1].time_ms <= 700.0
    assert len({send.action.worker_id for send in sends}) == len(sends)


def test_hedge_of_a_keyed_request_stays_in_its_deduplication_scope(harness):
    sends = sends_of_overdue_request(harness, "keyed", 4000.0)

    assert len(sends) == 2
    first, hedge = (send.action.worker_id for send in sends)
    assert harness.zone_of(hedge) == harness.zone_of(first)


def test_at_most_once_request_is_not_hedged(harness):
    sends = sends_of_overdue_request(harness, "at-most-once", 4000.0)

    assert len(sends) == 1


def test_hedges_are_few_when_all_answers_are_overdue():
    harness = DecisionHarness(workers=8, router_count=100)
    for number in range(100):
        harness.request(f"r{number}", function=f"f{number}")
        for worker_id in range(1, 9):
            harness.report_instances(worker_id, 1, f"f{number}")

    for _ in range(20):
        harness.run_timer_until(harness.now_ms + 40)

    sends_by_request = Counter(send.action.request_id for send in harness.logged(SendRequest))
    assert len(sends_by_request) == 100
    assert sum(count > 1 for count in sends_by_request.values()) <= 13
