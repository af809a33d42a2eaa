"""Tests of scaling: probes, cold starts, and speculative cold starts while an instance is busy."""

from helpers.decision_harness import DecisionHarness, actions_of, probes, start_orders

from function_router.decisions.actions import EnsureInstances, SendRequest
from function_router.decisions.events import RequestCancelled
from function_router.decisions.instances import UNVERIFIED_AFTER_MS
from function_router.decisions.probe_limits import MAX_PENDING_AT_WORKER
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


# --- limit on pending probes ------------------------------------------------------------------------


# Guards against pending probes of ever new functions, whose number only the workers' answers limited.
def test_new_functions_are_not_probed_above_the_limit_on_pending_probes():
    harness = DecisionHarness(max_pending_probes=10)

    actions = [action for number in range(20) for action in harness.request(f"r{number}", f"f{number}")]

    assert len(probes(actions)) == 10


def request_and_withdraw(harness, number):
    """Request a new function, fail its start orders, withdraw the request, and return the probes."""
    actions = harness.request(f"r{number}", f"f{number}")
    orders = start_orders(actions)
    while orders:
        order = orders.pop()
        failed = harness.report_instances(order.worker_id, 0, order.function, Outcome.QUEUE_FULL)
        orders += start_orders(failed)
    harness.feed(RequestCancelled(f"r{number}"))
    return probes(actions)


def test_answered_probe_makes_room_though_its_function_is_evicted():
    harness = DecisionHarness(max_pending_probes=4, max_functions=2)
    sent = [request_and_withdraw(harness, number) for number in range(3)]
    is_evicted = "f0" not in harness.fleet.functions.by_name

    harness.answer_probes(sent[0])
    sent.append(request_and_withdraw(harness, 3))

    assert is_evicted
    assert [len(each) for each in sent] == [4, 0, 0, 4]


def test_instances_of_a_known_function_are_verified_at_the_limit_on_pending_probes():
    harness = DecisionHarness(workers=1, max_pending_probes=1)
    harness.warm_up()
    harness.request("r1", "new")
    harness.now_ms += UNVERIFIED_AFTER_MS + 1

    actions = harness.request("r2")

    assert [probe.function for probe in probes(actions)] == ["f"]


# Guards against unanswered probes that take all exchanges which the connections to a worker allow.
def test_pending_probes_at_one_worker_are_limited():
    harness = DecisionHarness(workers=1)

    for number in range(2 * MAX_PENDING_AT_WORKER):
        harness.request(f"r{number}", f"f{number}")

    assert len(probes(harness.all_actions())) == MAX_PENDING_AT_WORKER


# Guards against a flood that starts instances at once where its probes are not allowed any more.
def test_start_waits_for_the_time_of_a_probe_that_is_not_allowed():
    harness = DecisionHarness(max_pending_probes=0)

    at_once = harness.request("r", "f")
    later = harness.run_timer_until(harness.now_ms + 40.0)

    assert (start_orders(at_once), len(start_orders(later))) == ([], 1)
