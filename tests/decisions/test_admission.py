"""Admission: deadlines, the one final answer, tenant quotas, and the limit of requests in flight."""

from helpers.decision_harness import DecisionHarness, actions_of

from function_router.decisions.actions import FailRequest, RejectRequest, SendRequest
from function_router.decisions.events import Endpoint, EndpointsChanged, RequestCancelled
from function_router.decisions.types import Outcome, WorkerState

# --- deadlines and the one final answer ----------------------------------------------------


def test_queued_request_is_answered_before_its_client_times_out():
    harness = DecisionHarness(workers=0)
    harness.request("r1", timeout_ms=500.0)

    harness.run_timer_until(600)

    answers = harness.logged(RejectRequest, FailRequest)
    assert [answer.action.request_id for answer in answers] == ["r1"]
    assert 400 <= answers[0].time_ms <= 480


def test_late_request_that_was_never_sent_is_rejected_before_half_its_timeout_with_retry_after():
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
    harness.request("r1", timeout_ms=2500.0)  # its arrival sets the timer
    harness.now_ms += 1

    actions = harness.request("r2", timeout_ms=25.0)

    assert [rejection.request_id for rejection in actions_of(actions, RejectRequest)] == ["r2"]


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


# --- quotas and limits ---------------------------------------------------------------------


def test_requests_over_quota_wait_behind_those_within():
    harness = DecisionHarness(tenant_quotas_rps={"big": 1.0, "small": 100.0})
    harness.warm_up()
    [send] = actions_of(harness.request("r1", tenant="small"), SendRequest)
    harness.request("b1", tenant="big")
    harness.request("b2", tenant="big")  # over the quota
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
