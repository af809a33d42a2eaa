"""Tests of scaling: probes, cold starts, and speculative cold starts while an instance is busy."""

from helpers.decision_harness import DecisionHarness, actions_of, start_orders

from function_router.decisions.actions import EnsureInstances, SendRequest
from function_router.decisions.types import Outcome

# --- probes and cold starts ------------------------------------------------------------------------


def test_unknown_function_is_probed_then_started_once():
    harness = DecisionHarness()

    orders = actions_of(harness.request("r1"), EnsureInstances)
    assert orders
    assert all(order.instances == 0 for order in orders)

    starts = actions_of(harness.answer_probes(orders), EnsureInstances)
    assert [order.instances for order in starts] == [1]
    assert not actions_of(harness.run_timer_until(280), EnsureInstances)

    sends = actions_of(harness.report_instances(starts[0].worker_id, 1), SendRequest)
    assert [send.worker_id for send in sends] == [starts[0].worker_id]


def test_instance_found_by_a_probe_is_used_without_a_start():
    harness = DecisionHarness()
    sent_probes = actions_of(harness.request("r1"), EnsureInstances)
    warm_worker = sent_probes[2].worker_id

    actions = harness.answer_probes(sent_probes, {warm_worker: 1})

    assert [send.worker_id for send in actions_of(actions, SendRequest)] == [warm_worker]
    assert not start_orders(actions)


def test_unanswered_probes_delay_a_start_only_briefly():
    harness = DecisionHarness()
    harness.request("r1")

    actions = harness.run_timer_until(40)

    assert [order.instances for order in actions_of(actions, EnsureInstances)] == [1]


def test_not_loaded_answer_resets_the_instance_count_and_orders_a_start():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    [send] = actions_of(harness.request("r1"), SendRequest)

    actions = harness.end_attempt(send, Outcome.NOT_LOADED, is_answered=False)

    assert send.worker_id == warm_worker
    assert not actions_of(actions, SendRequest)
    actions += harness.run_timer_until(harness.now_ms + 40)
    assert [order.instances for order in start_orders(actions)] == [1]


# --- speculative cold starts -----------------------------------------------------------------------


def test_queued_request_goes_to_the_busy_instance_if_it_is_free_first():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    [first_send] = actions_of(harness.request("r1"), SendRequest)
    speculative_orders = actions_of(harness.request("r2"), EnsureInstances)
    harness.now_ms += 50

    sends = actions_of(harness.end_attempt(first_send), SendRequest)

    assert first_send.worker_id == warm_worker
    assert [order.instances for order in speculative_orders] == [1]
    assert [send.request_id for send in sends] == ["r2"]


def test_queued_request_goes_to_the_cold_start_if_it_completes_first():
    harness = DecisionHarness()
    warm_worker = harness.warm_up()
    harness.request("r1")
    [order] = actions_of(harness.request("r2"), EnsureInstances)
    harness.now_ms += 300

    [send] = actions_of(harness.report_instances(order.worker_id, 1), SendRequest)

    assert send.request_id == "r2"
    assert send.worker_id == order.worker_id
    assert send.worker_id != warm_worker


def test_slots_of_pending_starts_count_against_the_need():
    harness = DecisionHarness()
    harness.warm_up(concurrency=2)
    harness.request("r1", concurrency=2)
    harness.request("r2", concurrency=2)

    orders_of_third = actions_of(harness.request("r3", concurrency=2), EnsureInstances)
    orders_of_fourth = actions_of(harness.request("r4", concurrency=2), EnsureInstances)
    orders_of_fifth = actions_of(harness.request("r5", concurrency=2), EnsureInstances)

    assert len(orders_of_third) == 1
    assert not orders_of_fourth
    assert len(orders_of_fifth) == 1
