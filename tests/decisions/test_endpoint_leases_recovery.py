"""Tests of `endpoint_leases`: restarts of workers, the end of an outage, and the run-time check."""

import math

import pytest
from helpers.lease_harness import DRAIN_GRACE_MS, LEASE_MS, LeaseHarness, checked, sent_to

from function_router.decisions.endpoint_leases import (
    DRAIN_REPORT_TTL_MS,
    LEASE_MARGIN_MS,
    LOST_CHECK_MS,
    MAX_LOG_SILENCE_MS,
)
from function_router.decisions.events import (
    Endpoint,
    EndpointListConfirmed,
    EndpointsChanged,
)
from function_router.decisions.types import Readiness, WorkerState

# --- restarts


def test_same_connection_shows_that_a_worker_has_not_restarted(asking):
    asking.answer_health_check(asking.warm_id, Readiness.DRAINING)

    asking.answer_health_check(asking.warm_id, lost_at_ms=asking.now_ms)

    assert asking.worker(asking.warm_id).latest_start_ms is None


@pytest.mark.parametrize("has_drained", [True, False], ids=["drained", "lost its connections"])
def test_worker_that_may_have_restarted_is_in_slow_start(asking, has_drained):
    if has_drained:
        asking.answer_health_check(asking.warm_id, Readiness.DRAINING)
    lost_at_ms = None if has_drained else asking.now_ms
    asking.connected_ms = asking.now_ms

    asking.answer_health_check(asking.warm_id, lost_at_ms=lost_at_ms)

    assert asking.worker(asking.warm_id).latest_start_ms == asking.connected_ms
    assert asking.fleet.slow_start.capacity_share(asking.worker(asking.warm_id), asking.now_ms) < 1.0


def test_new_connection_to_a_worker_without_any_sign_of_a_restart_is_no_restart(asking):
    asking.connected_ms = asking.now_ms

    asking.answer_health_check(asking.warm_id)

    assert asking.worker(asking.warm_id).latest_start_ms is None


def test_connection_later_than_the_proof_carries_no_new_work(asking):
    asked_ms = asking.now_ms

    asking.answer_health_check(asking.warm_id)

    assert asking.router.latest_connection_ms(asking.warm_id, asking.now_ms) == asked_ms


# --- the end of the outage


def test_list_that_is_current_again_takes_back_assumed_starts(asking):
    asking.connected_ms = asking.now_ms
    asking.answer_health_check(asking.warm_id, lost_at_ms=asking.now_ms)

    asking.confirm_list()

    assert asking.worker(asking.warm_id).latest_start_ms is None
    assert asking.router.latest_connection_ms(asking.warm_id, asking.now_ms) == math.inf


def test_older_event_does_not_undo_a_drain_that_the_worker_reported(asking):
    asking.answer_health_check(asking.warm_id, Readiness.DRAINING)

    asking.feed(EndpointsChanged([Endpoint(asking.warm_id)], is_complete=False))
    asking.confirm_list()

    assert not asking.worker(asking.warm_id).is_ready


def test_drain_that_the_list_never_confirms_is_forgotten(asking):
    asking.answer_health_check(asking.warm_id, Readiness.DRAINING)
    asking.now_ms += DRAIN_REPORT_TTL_MS + 1

    asking.confirm_list()

    assert asking.worker(asking.warm_id).is_ready


def test_answer_that_comes_after_the_list_is_current_is_forgotten_in_time_too(asking):
    asking.confirm_list()
    asking.answer_health_check(asking.warm_id, Readiness.DRAINING)
    asking.now_ms += DRAIN_REPORT_TTL_MS + 1

    asking.confirm_list()

    assert asking.worker(asking.warm_id).is_ready


def test_confirmation_of_long_ago_takes_back_no_assumed_start(asking):
    confirmed_ms = asking.now_ms - LEASE_MS
    asking.connected_ms = asking.now_ms
    asking.answer_health_check(asking.warm_id, lost_at_ms=asking.now_ms)
    asking.now_ms += MAX_LOG_SILENCE_MS + LEASE_MS

    asking.feed(EndpointListConfirmed(confirmed_ms))

    assert asking.worker(asking.warm_id).latest_start_ms == asking.connected_ms


def test_worker_is_asked_again_if_the_end_of_a_health_check_is_never_reported(asking):
    asking.now_ms += LOST_CHECK_MS
    asking.request("r2")

    assert asking.warm_id in checked(asking.report_instances(asking.warm_id, 1))


def test_later_start_in_the_list_ends_a_reported_drain(asking):
    asking.answer_health_check(asking.warm_id, Readiness.DRAINING)
    restarted = Endpoint(asking.warm_id, started_at_ms=asking.now_ms + 1)

    asking.feed(EndpointsChanged([restarted], is_complete=False))

    assert asking.worker(asking.warm_id).is_ready


def test_queued_request_is_sent_once_the_list_is_current(asking):

    assert sent_to(asking.confirm_list()) == [asking.warm_id]


def test_request_while_every_worker_drains_is_queued_without_an_error():
    harness = LeaseHarness(workers=1, tenant_quotas_rps={"": 10.0})
    harness.expire_list()
    harness.request("r1")
    harness.answer_health_check(1, Readiness.DRAINING)

    actions = harness.request("r2")

    assert harness.fleet.workers.ready == []
    assert sent_to(actions) == []


# --- the run-time check


def test_run_time_check_grants_the_whole_grace_and_no_more(harness):
    confirmed_until_ms = harness.leases.list_expires_ms + LEASE_MARGIN_MS

    assert harness.router.is_within_drain_grace(harness.warm_id, confirmed_until_ms - 1)
    assert not harness.router.is_within_drain_grace(harness.warm_id, confirmed_until_ms)


def test_run_time_check_grants_the_grace_after_an_answer_that_a_drain_has_followed(asking):
    asked_ms = asking.now_ms
    asking.answer_health_check(asking.warm_id)
    asking.answer_health_check(asking.warm_id, Readiness.DRAINING)

    assert asking.router.is_within_drain_grace(asking.warm_id, asked_ms + DRAIN_GRACE_MS - 1)
    assert not asking.router.is_within_drain_grace(asking.warm_id, asked_ms + DRAIN_GRACE_MS)


def test_draining_state_in_the_list_counts_besides(harness):
    draining = Endpoint(harness.warm_id, state=WorkerState.DRAINING)

    harness.feed(EndpointsChanged([draining], is_complete=False))

    assert sent_to(harness.request("r1")) == []
