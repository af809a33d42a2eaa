"""Tests of admission: deadlines, requests that are given up, quotas, and the limit on attempts in flight."""

import random

import pytest
from helpers.decision_harness import DecisionHarness, actions_of, one_of_many_routers

from function_router.decisions.actions import FailRequest, RejectRequest, SendRequest
from function_router.decisions.admission import ANSWER_LEAD_MS, TIMER_INTERVAL_MS
from function_router.decisions.events import DrainStarted, RequestCancelled, TimerFired
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import Outcome

# --- deadlines and requests that are given up ------------------------------------------------------


def test_queued_request_is_answered_before_its_client_times_out():
    harness = DecisionHarness(workers=0)
    harness.request("r1", timeout_ms=500.0)

    harness.run_timer_until(600)

    answers = harness.logged(RejectRequest, FailRequest)
    assert [answer.action.request_id for answer in answers] == ["r1"]
    assert 400 <= answers[0].time_ms <= 480


def test_request_that_will_miss_its_objective_is_rejected_before_half_its_timeout_with_retry_after():
    harness = DecisionHarness(workers=0, max_retry_after_ms=900.0)
    harness.request("r1", timeout_ms=2500.0)

    harness.run_timer_until(2500)

    [(rejected_ms, rejection)] = harness.logged(RejectRequest, FailRequest)
    assert 600 < rejected_ms < 1250
    assert rejection == RejectRequest("r1", 900.0)


def test_request_that_may_still_be_in_time_is_queued_beyond_half_its_timeout():
    harness = DecisionHarness(workers=0)
    harness.request("r1", timeout_ms=700.0)

    actions_before = harness.run_timer_until(560)
    actions_after = harness.run_timer_until(700)

    assert not actions_of(actions_before, RejectRequest)
    assert actions_of(actions_after, RejectRequest)


def test_request_without_time_left_is_rejected_at_once():
    harness = DecisionHarness()

    actions = harness.request("r1", timeout_ms=0.0)

    assert [rejection.request_id for rejection in actions_of(actions, RejectRequest)] == ["r1"]
    assert not actions_of(actions, SendRequest)


def test_request_with_little_time_is_rejected_before_the_next_timer():
    harness = DecisionHarness(workers=0)
    harness.request("r1", timeout_ms=2500.0)  # sets the timer
    harness.now_ms += 1

    actions = harness.request("r2", timeout_ms=25.0)

    assert [rejection.request_id for rejection in actions_of(actions, RejectRequest)] == ["r2"]


def test_request_that_will_miss_its_objective_after_a_failed_attempt_is_rejected_before_its_deadline():
    harness = one_of_many_routers(40)
    [send] = harness.complete_starts(harness.request("r", timeout_ms=2500.0))
    for worker in harness.fleet.workers.ready:  # no other worker can take the request
        worker.max_in_flight = 0.0

    harness.end_attempt(send, Outcome.ERROR, is_answered=False)
    harness.run_timer_until(2500.0)

    [rejection] = harness.logged(RejectRequest)
    assert rejection.time_ms <= 1300.0


def test_cancelled_request_is_neither_sent_nor_answered():
    harness = DecisionHarness()
    harness.warm_up()
    [send] = actions_of(harness.request("r1"), SendRequest)
    harness.feed(RequestCancelled("r1"))

    actions = harness.end_attempt(send, Outcome.CANCELLED, is_answered=True)
    actions += harness.run_timer_until(harness.now_ms + 3000)

    assert not actions_of(actions, SendRequest)
    assert not actions_of(actions, RejectRequest)
    assert not actions_of(actions, FailRequest)


def test_drain_shortens_the_deadlines_of_queued_requests():
    harness = DecisionHarness(workers=0)
    harness.request("r1", timeout_ms=700.0)
    harness.request("r2", timeout_ms=200.0)

    harness.feed(DrainStarted(500.0))
    harness.run_timer_until(1000.0)

    answered_ms = {entry.action.request_id: entry.time_ms for entry in harness.logged(RejectRequest)}
    assert answered_ms["r2"] <= 200.0 < answered_ms["r1"] <= 500.0


# --- the order of queued requests -------------------------------------------------------------------

QUEUE_CLASSES = ("idempotent", "short")


@pytest.fixture
def queued_harness():
    """A router without workers and with queued requests of two objectives, some over quota."""
    short = RequestClass("short", latency_objective_ms=300.0)
    harness = DecisionHarness(
        workers=0, tenant_quotas_rps={"big": 5.0, "small": 1000.0}, more_classes=[short]
    )
    draw = random.Random(3)
    for number in range(200):
        harness.now_ms += draw.choice((0.0, 3.0))
        harness.request(
            f"r{number}",
            class_name=draw.choice(QUEUE_CLASSES),
            timeout_ms=draw.uniform(200.0, 2500.0),
            tenant=draw.choice(("big", "small")),
        )
    return harness


def plain_sort_key(harness, request):
    admission = harness.router._admission
    will_miss = admission.will_miss_objective(request, harness.now_ms)
    return request.over_quota, will_miss, request.arrived_ms, request.id


@pytest.mark.parametrize("waited_ms", [0.0, 100.0, 200.0, 400.0, 1000.0])
def test_queued_requests_have_the_order_of_a_plain_sort(queued_harness, waited_ms):
    harness = queued_harness
    function = harness.function("f")
    harness.now_ms += waited_ms

    order = list(harness.router._admission.in_order(function, harness.now_ms))

    assert order == sorted(function.queue, key=lambda request: plain_sort_key(harness, request))
    assert len({request.over_quota for request in order}) == 2


def test_timer_answers_the_requests_that_a_check_of_each_of_them_finds(queued_harness):
    harness = queued_harness
    admission = harness.router._admission
    for _ in range(60):
        harness.now_ms += TIMER_INTERVAL_MS
        due_by = harness.now_ms + TIMER_INTERVAL_MS + ANSWER_LEAD_MS
        expected = [
            request.id
            for request in harness.router.requests.by_id.values()
            if due_by >= request.deadline_ms or admission._should_give_up(request, harness.now_ms)
        ]

        actions = harness.feed(TimerFired(0))

        answers = [action for action in actions if isinstance(action, RejectRequest | FailRequest)]
        assert [answer.request_id for answer in answers] == expected
    assert not harness.router.requests.by_id


# --- quotas and limits -----------------------------------------------------------------------------


def test_requests_over_quota_wait_behind_those_within():
    harness = DecisionHarness(tenant_quotas_rps={"big": 1.0, "small": 100.0})
    harness.warm_up()
    [send] = actions_of(harness.request("r1", tenant="small"), SendRequest)
    harness.request("b1", tenant="big")
    harness.request("b2", tenant="big")  # exceeds the quota
    harness.request("s1", tenant="small")

    served = []
    for _ in range(3):
        sends = actions_of(harness.end_attempt(send), SendRequest)
        if not sends:
            break
        [send] = sends
        served.append(send.request_id)

    assert "s1" in served
    assert "b2" not in served[: served.index("s1")]


def test_attempts_past_the_latency_objective_do_not_count_against_the_in_flight_limit():
    harness = one_of_many_routers(100)
    limit = harness.fleet.capacity.max_in_flight
    for number in range(12):
        harness.complete_starts(harness.request(f"r{number}", function=f"f{number}"))
    in_flight_count = len(harness.router.requests.recent_attempts)
    assert in_flight_count <= limit + 1
    assert limit + 1 < 12

    harness.run_timer_until(harness.now_ms + 1200)

    recent_attempts = harness.router.requests.recent_attempts
    assert not any(harness.now_ms - attempt.sent_ms > 1100 for attempt in recent_attempts)
