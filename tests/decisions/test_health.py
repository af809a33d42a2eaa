"""Tests of health: silent, unresponsive and slow workers."""

import pytest
from helpers.decision_harness import DecisionHarness, actions_of, one_of_many_routers, probes, start_orders

from function_router.decisions.actions import EnsureInstances, LogMessage, SendRequest
from function_router.decisions.types import Outcome


def test_silent_worker_is_probed_then_avoided_and_its_requests_are_retried_elsewhere():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    harness.request("r1")

    actions = harness.run_timer_until(harness.now_ms + 360)
    assert warm_worker in [probe.worker_id for probe in probes(actions)]

    actions = harness.run_timer_until(harness.now_ms + 100)
    assert [message for message in actions_of(actions, LogMessage) if "silent" in message.text]

    harness.answer_probes(actions)
    harness.run_timer_until(harness.now_ms + 60)
    last_start = start_orders(harness.all_actions())[-1]
    assert last_start.worker_id != warm_worker

    sends = actions_of(harness.report_instances(last_start.worker_id, 1), SendRequest)
    assert [send.request_id for send in sends] == ["r1"]


def test_unresponsive_worker_that_replies_is_used_again():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    harness.request("r1")
    harness.run_timer_until(harness.now_ms + 1000)

    actions = harness.report_instances(warm_worker, 1)

    assert [message for message in actions_of(actions, LogMessage) if "again" in message.text]
    assert harness.worker(warm_worker).unresponsive_since_ms is None


@pytest.mark.parametrize("is_answered", [True, False])
def test_worker_is_probed_after_a_connection_reset_and_unresponsive_only_without_an_answer(is_answered):
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    [send] = actions_of(harness.request("r1"), SendRequest)

    actions = harness.end_attempt(send, Outcome.RESET)
    assert warm_worker in [probe.worker_id for probe in probes(actions)]

    if is_answered:
        harness.report_instances(warm_worker, 1)
    harness.run_timer_until(harness.now_ms + 200)
    assert (harness.worker(warm_worker).unresponsive_since_ms is None) is is_answered

    sends = actions_of(harness.request("r2"), SendRequest)
    assert [send.worker_id for send in sends] == ([warm_worker] if is_answered else [])


def test_unresponsive_workers_are_used_when_most_workers_are_unresponsive():
    harness = DecisionHarness(workers=2)
    for worker_id in (1, 2):
        harness.fleet.health.mark_unresponsive(harness.worker(worker_id), harness.now_ms)

    actions = harness.request("r1")

    assert actions_of(actions, EnsureInstances)


# --- many routers ----------------------------------------------------------------------------------


def test_silent_worker_has_no_headroom_before_it_is_probed():
    harness = one_of_many_routers(40)
    for _ in range(5):
        harness.fleet.durations.run_times.add(0.0, 200.0)
    [send] = harness.complete_starts(harness.request("long"))
    worker = harness.worker(send.worker_id)
    worker.sends.reset(harness.now_ms)

    actions = harness.run_timer_until(harness.now_ms + 540)
    assert not probes(actions)
    assert harness.fleet.placement.has_headroom(worker, harness.now_ms)

    actions = harness.run_timer_until(harness.now_ms + 200)  # silent for more than three runs
    assert not probes(actions)
    assert not harness.fleet.placement.has_headroom(worker, harness.now_ms)

    actions = harness.run_timer_until(harness.now_ms + 1000)  # silent for more than eight runs
    assert probes(actions)
    assert not harness.fleet.placement.has_headroom(worker, harness.now_ms)


def test_worker_does_not_count_as_silent_during_a_start():
    harness = one_of_many_routers(40)
    actions = harness.answer_probes(harness.request("r", expected_start_ms=800.0))
    orders = actions_of(actions, EnsureInstances)

    actions = harness.run_timer_until(harness.now_ms + 900)

    assert [order.instances for order in orders] == [1]
    assert not actions_of(actions, EnsureInstances)


def test_full_worker_gets_no_requests_for_a_while():
    harness = one_of_many_routers(100)
    [first_send] = harness.complete_starts(harness.request("first"))
    full_worker = first_send.worker_id
    harness.end_attempt(first_send)
    harness.now_ms += 60_000.0  # makes requests so rare that one worker is enough
    [send] = harness.complete_starts(harness.request("full"))
    assert send.worker_id == full_worker

    retries = harness.complete_starts(harness.end_attempt(send, Outcome.QUEUE_FULL, is_answered=False))
    retries += harness.complete_starts(harness.run_timer_until(harness.now_ms + 200))
    assert [retry.request_id for retry in retries] == ["full"]
    assert retries[0].worker_id != full_worker

    harness.end_attempt(retries[0], attempt_number=1)
    harness.now_ms += 700.0
    harness.worker(full_worker).sends.reset(harness.now_ms)  # within its share of the sends
    sends = harness.complete_starts(harness.request("next"))
    sends += harness.complete_starts(harness.run_timer_until(harness.now_ms + 200))
    assert sends
    assert sends[0].worker_id != full_worker


# Guards against a worker that counts as unresponsive as it answers nothing about one function of a client.
def test_worker_is_pinged_about_a_function_that_it_has_answered_for():
    harness = DecisionHarness(workers=1)
    harness.warm_up()
    harness.request("r", "unanswered")

    actions = harness.run_timer_until(harness.now_ms + 1_000.0)

    assert {probe.function for probe in probes(actions)} == {"f"}
