"""Tests of `endpoint_leases`: what may be sent while the endpoint list can't be confirmed."""

import math

import pytest
from helpers.decision_harness import DecisionHarness, actions_of, start_orders
from helpers.lease_harness import DRAIN_GRACE_MS, LEASE_MS, LeaseHarness, checked, sent_to

from function_router.decisions.actions import LogMessage, NoteWithheld, SendRequest
from function_router.decisions.endpoint_leases import (
    CHECK_AHEAD_MS,
    CHECK_PATIENCE_MS,
    MAX_LOG_SILENCE_MS,
    RECHECK_INTERVAL_MS,
    RENEWAL_LEAD_MS,
)
from function_router.decisions.events import (
    EndpointListConfirmed,
    EndpointListInterrupted,
)
from function_router.decisions.types import Outcome, Readiness

# --- the lease on the list


def test_list_is_always_believed_without_news_of_the_log():
    harness = DecisionHarness()

    harness.now_ms = 1e9

    assert harness.router.is_endpoint_list_current(harness.now_ms)
    assert harness.router.latest_connection_ms(1, harness.now_ms) == math.inf


def test_list_is_believed_until_the_grace_after_the_silence_that_is_tolerated(harness):
    until_ms = harness.now_ms + MAX_LOG_SILENCE_MS + LEASE_MS

    assert harness.router.is_endpoint_list_current(until_ms - 1)
    assert not harness.router.is_endpoint_list_current(until_ms)


def test_interrupted_list_is_believed_for_the_grace_from_the_first_interruption_on(harness):
    harness.feed(EndpointListInterrupted())
    until_ms = harness.now_ms + LEASE_MS
    harness.now_ms += 200.0
    harness.feed(EndpointListInterrupted())

    assert harness.router.is_endpoint_list_current(until_ms - 1)
    assert not harness.router.is_endpoint_list_current(until_ms)


def test_list_that_was_never_confirmed_is_believed_for_the_grace():
    harness = DecisionHarness(drain_grace_ms=DRAIN_GRACE_MS)
    harness.feed(EndpointListInterrupted())

    assert harness.router.is_endpoint_list_current(LEASE_MS - 1)
    assert not harness.router.is_endpoint_list_current(LEASE_MS)


def test_confirmation_of_long_ago_does_not_renew_the_lease(harness):
    confirmed_ms = harness.now_ms
    harness.now_ms += 5_000.0

    harness.feed(EndpointListConfirmed(confirmed_ms))

    assert not harness.router.is_endpoint_list_current(harness.now_ms)


def test_grace_of_the_settings_counts():
    harness = LeaseHarness()
    short = DecisionHarness(drain_grace_ms=300.0)
    short.feed(EndpointListInterrupted())

    assert not short.router.is_endpoint_list_current(200.0)
    assert harness.leases.is_list_current(harness.now_ms + 200.0)


# --- sends


def test_no_worker_is_asked_while_the_list_is_current(harness):
    actions = harness.request("r1")

    assert sent_to(actions) == [harness.warm_id]
    assert checked(actions) == []


def test_worker_that_gets_work_is_asked_shortly_before_the_list_expires(harness):
    harness.feed(EndpointListInterrupted())
    harness.now_ms += LEASE_MS - CHECK_AHEAD_MS

    actions = harness.request("r1")

    assert sent_to(actions) == [harness.warm_id]
    assert checked(actions) == [harness.warm_id]


def test_request_waits_for_the_answer_of_its_worker(harness):
    harness.expire_list()

    actions = harness.request("r1")
    answered = harness.answer_health_check(harness.warm_id)

    assert (sent_to(actions), checked(actions)) == ([], [harness.warm_id])
    assert actions_of(actions, NoteWithheld) == [NoteWithheld("r1", harness.warm_id)]
    assert sent_to(answered) == [harness.warm_id]


def test_lease_counts_from_the_question_and_is_renewed_in_use(asking):
    asked_ms = asking.now_ms
    asking.end_attempt(*actions_of(asking.answer_health_check(asking.warm_id), SendRequest))
    asking.now_ms = asked_ms + LEASE_MS - RENEWAL_LEAD_MS - 1
    early = asking.request("r2")
    asking.end_attempt(*actions_of(early, SendRequest))
    asking.now_ms = asked_ms + LEASE_MS - 1

    late = asking.request("r3")

    assert (sent_to(early), checked(early)) == ([asking.warm_id], [])
    assert (sent_to(late), checked(late)) == ([asking.warm_id], [asking.warm_id])
    assert asking.leases.is_proven(asking.worker(asking.warm_id), asked_ms + LEASE_MS - 1)
    assert not asking.leases.is_proven(asking.worker(asking.warm_id), asked_ms + LEASE_MS)


def test_only_one_worker_at_a_time_is_asked_for_a_function(asking):

    actions = asking.request("r2")

    assert checked(actions) == []


def test_worker_that_says_that_it_drains_is_passed_over(asking):

    actions = asking.answer_health_check(asking.warm_id, Readiness.DRAINING)

    assert sent_to(actions) == []
    assert [f"worker {asking.warm_id} says that it is draining"] == [
        action.text for action in actions_of(actions, LogMessage)
    ]
    assert asking.warm_id not in [worker.id for worker in asking.fleet.workers.ready]
    assert asking.router.latest_connection_ms(asking.warm_id, asking.now_ms) == -math.inf


def test_instance_is_started_elsewhere_when_its_worker_drains(asking):
    [other_id] = checked(asking.answer_health_check(asking.warm_id, Readiness.DRAINING))

    ordered = start_orders(asking.answer_health_check(other_id))

    assert other_id != asking.warm_id
    assert [order.worker_id for order in ordered] == [other_id]


def test_without_an_answer_another_worker_is_asked(harness):
    harness.expire_list()
    asked = checked(harness.request("r1"))

    harness.now_ms += CHECK_PATIENCE_MS
    asked += checked(harness.run_timer_until(harness.now_ms + 20))

    assert len(asked) == len(set(asked)) == 2


def test_start_order_waits_for_a_proof(harness):
    harness.expire_list()
    actions = harness.answer_probes(harness.request("cold", function="g"))
    actions += harness.run_timer_until(harness.now_ms + 40)
    [asked_id] = checked(harness.all_actions())

    ordered = start_orders(harness.answer_health_check(asked_id))

    assert start_orders(actions) == []
    assert [order.worker_id for order in ordered] == [asked_id]


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_broken_exchange_ends_the_lease(asking, outcome):
    [send] = actions_of(asking.answer_health_check(asking.warm_id), SendRequest)

    asking.end_attempt(send, outcome)

    assert not asking.leases.is_proven(asking.worker(asking.warm_id), asking.now_ms)


def test_drain_that_is_asked_again_without_an_answer_stays_known(asking):
    asking.answer_health_check(asking.warm_id, Readiness.DRAINING)

    asking.answer_health_check(asking.warm_id, Readiness.UNKNOWN, Outcome.TIMEOUT)

    assert not asking.worker(asking.warm_id).is_ready


def test_draining_worker_is_asked_again_at_growing_intervals(harness):
    harness.expire_list()
    harness.request("r1", timeout_ms=60_000.0)
    times_ms = []
    while len(times_ms) < 4:
        harness.answer_health_check(harness.warm_id, Readiness.DRAINING)
        since_ms = harness.now_ms
        while harness.warm_id not in checked(harness.run_timer_until(harness.now_ms + 20)):
            assert harness.now_ms - since_ms < 10 * RECHECK_INTERVAL_MS
        times_ms.append(round(harness.now_ms - since_ms, -2))

    assert times_ms == [1_000.0, 2_000.0, 4_000.0, 4_000.0]
