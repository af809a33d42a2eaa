"""Tests of `endpoint_leases` and `drain_reports`: drains that workers report late, and rejections."""

import pytest
from helpers.decision_harness import actions_of
from helpers.lease_harness import (
    DRAIN_GRACE_MS,
    REPORT_LAG_MS,
    ROUND_TRIP_MS,
    LeaseHarness,
    checked,
    sent_to,
)

from function_router.decisions.actions import SendRequest
from function_router.decisions.drain_reports import MAX_LIST_LAG_MS, VERIFICATION_INTERVAL_MS
from function_router.decisions.endpoint_leases import CHECK_WAIT_MS
from function_router.decisions.events import Endpoint, EndpointsChanged, TimerFired
from function_router.decisions.types import Outcome, Readiness
from function_router.decisions.worker_leases import DRAIN_REPORT_TTL_MS


def drain_and_check(harness, worker_id):
    """Let the list show the drain of a worker; return the workers that are checked some time after it.

    The connections are older than the list may be late.
    """
    harness.now_ms += MAX_LIST_LAG_MS
    harness.confirm_list()
    actions = harness.drain(worker_id)
    harness.now_ms += REPORT_LAG_MS
    return checked(actions + harness.feed(TimerFired(0)))


# --- answers that contradict the list


@pytest.mark.parametrize("needs_both_leases", [True, False], ids=["cheap checks", "expensive checks"])
def test_worker_that_is_ready_although_the_list_shows_its_drain_ends_the_leases_of_all(needs_both_leases):
    # Guards against workers that say they are ready for as long as they accept work (issue 50).
    harness = LeaseHarness(needs_both_leases=needs_both_leases)
    drain_and_check(harness, harness.warm_id + 1)

    harness.answer_health_check(harness.warm_id + 1, Readiness.READY)
    harness.expire_list()
    harness.report_instances(harness.warm_id, 1)
    actions = harness.request("r1")
    actions += harness.answer_health_check(harness.warm_id)

    assert checked(actions) == []
    assert sent_to(actions) == []
    assert not harness.leases.has_valid_lease(harness.worker(harness.warm_id), harness.now_ms)


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.UNKNOWN])
def test_answers_of_workers_count_if_none_has_contradicted_the_list(harness, readiness):
    drain_and_check(harness, harness.warm_id + 1)

    harness.answer_health_check(harness.warm_id + 1, readiness)
    harness.expire_list()
    harness.answer_health_check(harness.warm_id)

    assert harness.leases.has_valid_lease(harness.worker(harness.warm_id), harness.now_ms)


def test_answer_on_a_connection_that_may_lead_to_the_next_process_is_no_contradiction(harness):
    # Guards against a late list, whose drain of an earlier process the next one contradicts.
    harness.connected_ms = harness.now_ms + 1.0
    drain_and_check(harness, harness.warm_id + 1)

    harness.answer_health_check(harness.warm_id + 1)
    harness.expire_list()
    harness.answer_health_check(harness.warm_id)

    assert harness.leases.has_valid_lease(harness.worker(harness.warm_id), harness.now_ms)


def test_answer_soon_after_the_drain_is_no_contradiction(harness):
    harness.drain(harness.warm_id + 1)
    harness.answer_health_check(harness.warm_id + 1)

    harness.expire_list()
    harness.answer_health_check(harness.warm_id)

    assert harness.leases.has_valid_lease(harness.worker(harness.warm_id), harness.now_ms)


def test_worker_that_the_list_shows_as_ready_again_is_not_checked(harness):
    harness.drain(harness.warm_id + 1)
    harness.feed(EndpointsChanged([Endpoint(harness.warm_id + 1)], is_complete=False))
    harness.now_ms += REPORT_LAG_MS

    assert checked(harness.feed(TimerFired(0))) == []


def test_drains_are_verified_one_at_a_time(harness):
    first_checked = drain_and_check(harness, 1)
    harness.answer_health_check(1, Readiness.DRAINING)
    actions = harness.drain(2)
    harness.now_ms += VERIFICATION_INTERVAL_MS - REPORT_LAG_MS - 2 * ROUND_TRIP_MS
    second_checked = checked(actions + harness.feed(TimerFired(0)))
    third_checked = drain_and_check(harness, 4)

    assert (first_checked, second_checked, third_checked) == ([1], [], [4])


# --- leases of workers


@pytest.mark.parametrize("learned_after_ms", [0.0, 200.0, REPORT_LAG_MS])
def test_lease_does_not_outlast_the_grace_of_a_drain_of_which_its_worker_learns_late(
    stale_harness, learned_after_ms
):
    # Guards against a health check that is taken to prove that the log has no drain of the worker.
    drained_ms = stale_harness.now_ms
    stale_harness.now_ms += learned_after_ms
    stale_harness.answer_health_check(stale_harness.warm_id)

    worker = stale_harness.worker(stale_harness.warm_id)
    assert stale_harness.leases.has_valid_lease(worker, stale_harness.now_ms)
    assert not stale_harness.leases.has_valid_lease(worker, drained_ms + DRAIN_GRACE_MS)


def test_worker_that_rejects_new_work_gets_more_only_after_a_later_health_check(stale_harness):
    # Guards against one request that goes three times within 31 ms to a worker which rejects it.
    harness = stale_harness
    [send] = actions_of(harness.answer_health_check(harness.warm_id), SendRequest)

    actions = harness.end_attempt(send, Outcome.QUEUE_FULL)
    actions += harness.run_timer_until(harness.now_ms + CHECK_WAIT_MS)
    worker = harness.worker(harness.warm_id)
    was_allowed = harness.leases.has_valid_lease(worker, harness.now_ms)
    harness.answer_health_check(harness.warm_id)

    assert harness.warm_id not in sent_to(actions)
    assert not was_allowed
    assert harness.leases.has_valid_lease(worker, harness.now_ms)


def test_rejection_while_the_list_is_current_costs_no_health_check(harness):
    [send] = actions_of(harness.request("r1"), SendRequest)

    actions = harness.end_attempt(send, Outcome.QUEUE_FULL)
    actions += harness.run_timer_until(harness.now_ms + CHECK_WAIT_MS)

    assert checked(actions) == []
    assert harness.leases.has_valid_lease(harness.worker(harness.warm_id), harness.now_ms)


@pytest.mark.parametrize("is_restarted", [True, False], ids=["later start", "current list"])
def test_list_ends_the_consequences_of_a_rejection(stale_harness, is_restarted):
    harness = stale_harness
    worker = harness.worker(harness.warm_id)
    harness.leases.record_rejected(worker, harness.now_ms)

    if is_restarted:
        restarted = Endpoint(harness.warm_id, started_at_ms=harness.now_ms + 1)
        harness.feed(EndpointsChanged([restarted], is_complete=False))
        harness.answer_health_check(harness.warm_id)
    else:
        harness.confirm_list()

    assert harness.leases.has_valid_lease(worker, harness.now_ms)


def test_rejection_does_not_prolong_a_reported_drain(stale_harness):
    harness = stale_harness
    worker = harness.worker(harness.warm_id)
    harness.answer_health_check(harness.warm_id, Readiness.DRAINING)
    harness.leases.record_rejected(worker, harness.now_ms)
    harness.now_ms += DRAIN_REPORT_TTL_MS + 1

    harness.confirm_list()

    assert worker.is_ready
