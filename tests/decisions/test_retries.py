"""Tests of retries and hedges: which classes of requests are sent again, to which workers, and until when."""

from collections import Counter

import pytest
from helpers.decision_harness import DecisionHarness, actions_of

from function_router.decisions.actions import FailRequest, RejectRequest, SendRequest
from function_router.decisions.types import Outcome

WORKERS = (1, 2, 3, 4)


def test_at_most_once_request_that_may_have_run_is_failed_and_neither_retried_nor_rejected():
    harness = DecisionHarness()
    harness.warm_up(class_name="at-most-once")
    [send] = actions_of(harness.request("r1", class_name="at-most-once", timeout_ms=4000.0), SendRequest)

    actions = harness.end_attempt(send, Outcome.ERROR, is_answered=False)

    assert not actions_of(actions, SendRequest)
    assert not actions_of(actions, RejectRequest)
    assert [failure.request_id for failure in actions_of(actions, FailRequest)] == ["r1"]


def test_at_most_once_request_is_retried_once_it_is_known_not_to_have_run():
    harness = DecisionHarness()
    warm_worker = harness.warm_up(class_name="at-most-once")
    other_worker = next(worker_id for worker_id in WORKERS if worker_id != warm_worker)
    harness.report_instances(other_worker, 1)
    [send] = actions_of(harness.request("r1", class_name="at-most-once", timeout_ms=4000.0), SendRequest)

    actions = harness.end_attempt(send, Outcome.QUEUE_FULL, is_answered=False)

    assert send.request_id in [retry.request_id for retry in actions_of(actions, SendRequest)]


def report_one_instance_at_each_worker(harness):
    for worker_id in WORKERS:
        harness.report_instances(worker_id, 1)


def send_keyed_request():
    """Send a request with an idempotency key to one of four warm workers in two zones."""
    harness = DecisionHarness(workers=4, zones=("a", "b"))
    harness.request("r1", class_name="keyed", timeout_ms=4000.0)
    report_one_instance_at_each_worker(harness)
    send = harness.logged(SendRequest)[-1].action
    return harness, send


def wait_with_responsive_workers(harness, until_ms):
    """Advance the time while all workers reply to everything except the request."""
    while harness.now_ms < until_ms:
        harness.run_timer_until(min(until_ms, harness.now_ms + 40))
        report_one_instance_at_each_worker(harness)


def test_keyed_retry_stays_in_its_deduplication_scope():
    harness, send = send_keyed_request()
    harness.run_timer_until(100)
    report_one_instance_at_each_worker(harness)

    actions = harness.end_attempt(send, Outcome.ERROR, is_answered=False)

    [retry] = actions_of(actions, SendRequest)
    assert retry.worker_id != send.worker_id
    assert harness.zone_of(retry.worker_id) == harness.zone_of(send.worker_id)


def test_retry_shortly_before_the_end_of_the_idempotency_window_is_sent():
    harness, send = send_keyed_request()
    wait_with_responsive_workers(harness, 2390)
    assert len(harness.logged(SendRequest)) == 1

    actions = harness.end_attempt(send, Outcome.ERROR, is_answered=False)

    assert len(actions_of(actions, SendRequest)) == 1


def test_retry_after_the_idempotency_window_is_not_sent():
    harness, send = send_keyed_request()
    wait_with_responsive_workers(harness, 2410)
    assert len(harness.logged(SendRequest)) == 1

    actions = harness.end_attempt(send, Outcome.ERROR, is_answered=False)
    actions += harness.run_timer_until(4000)

    assert not actions_of(actions, SendRequest)
    assert not actions_of(actions, RejectRequest)
    assert len(actions_of(actions, FailRequest)) == 1


def test_keyed_request_is_failed_once_every_worker_in_its_scope_was_tried():
    harness, send = send_keyed_request()
    harness.run_timer_until(2410)  # the workers are silent, so a retry goes to the other worker of the zone
    report_one_instance_at_each_worker(harness)
    tried_workers = {entry.action.worker_id for entry in harness.logged(SendRequest)}
    assert tried_workers == {
        worker for worker in WORKERS if harness.zone_of(worker) == harness.zone_of(send.worker_id)
    }

    actions = harness.end_attempt(send, Outcome.ERROR, is_answered=False)
    actions += harness.run_timer_until(4000)

    assert not actions_of(actions, SendRequest)
    assert not actions_of(actions, RejectRequest)
    assert len(actions_of(actions, FailRequest)) == 1


# --- hedges of one of many routers -----------------------------------------------------------------


@pytest.fixture
def harness():
    """One of many routers, with four workers in two zones."""
    return DecisionHarness(workers=4, zones=("a", "b"), router_count=100)


def sends_of_overdue_request(harness, class_name, timeout_ms):
    """Return all sends of a request whose first worker replies to everything except this request."""
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
    # The hedge budget is at most 3, and each of the 100 requests adds 0.1 to it.
    assert sum(count > 1 for count in sends_by_request.values()) <= 13
