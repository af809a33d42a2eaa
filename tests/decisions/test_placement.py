"""Tests of placement: the order of workers, and the combined choices of many routers."""

from collections import Counter

import pytest
from helpers.decision_harness import DecisionHarness, actions_of, many_routers, one_of_many_routers

from function_router.decisions.actions import EnsureInstances, SendRequest
from function_router.decisions.placement import PROBE_SEND_SHARE_FACTOR
from function_router.decisions.records import Function
from function_router.hashing import hash64


def test_all_routers_start_a_function_at_the_same_worker():
    assert DecisionHarness().warm_up() == DecisionHarness().warm_up()


# --- many routers: how requests are distributed ----------------------------------------------------


def test_hot_function_is_spread_over_workers_by_routers_that_see_a_fraction_each():
    harnesses = many_routers(100)
    sends_by_worker = Counter()

    for turn in range(5):
        sends_by_worker.clear()  # only the sends of the last turn count
        for harness in harnesses:
            harness.now_ms += 1000.0
            for send in harness.complete_starts(harness.request(f"r{turn}", concurrency=2)):
                sends_by_worker[send.worker_id] += 1
                harness.now_ms += 100.0
                harness.end_attempt(send, in_flight=3)

    assert sum(sends_by_worker.values()) == 100
    assert len(sends_by_worker) >= 10
    assert sends_by_worker.most_common(1)[0][1] <= 30


def test_rare_function_keeps_to_one_worker_at_all_routers():
    harnesses = many_routers(50)

    workers = {
        harness.complete_starts(harness.request("r", concurrency=2))[0].worker_id for harness in harnesses
    }

    assert len(workers) == 1


def functions_with_the_same_first_worker(router):
    """Return the names of functions with the same first worker in hash order, and that worker."""
    hash_order = router.fleet.placement.hash_order
    names = (f"f{number}" for number in range(400))
    functions = [Function(name, "idempotent", 2, None, hash64(name)) for name in names]
    first_worker = hash_order(functions[0])[0]
    sharing = [function.name for function in functions if hash_order(function)[0] is first_worker]
    return sharing, first_worker


def test_functions_that_share_their_first_worker_use_others_above_its_share_of_the_sends():
    harness = one_of_many_routers(40)
    functions, first_worker = functions_with_the_same_first_worker(harness.router)
    sends_by_worker = Counter()

    for turn in range(60):
        harness.now_ms += 100.0
        for send in harness.complete_starts(harness.request(f"r{turn}", functions[turn % 5], concurrency=2)):
            sends_by_worker[send.worker_id] += 1
            harness.end_attempt(send)

    assert len(functions) >= 5
    assert sum(sends_by_worker.values()) >= 60
    assert sends_by_worker[first_worker.id] <= 60 / 20 * PROBE_SEND_SHARE_FACTOR + 2


# --- many routers: probes --------------------------------------------------------------------------


def test_router_without_a_known_instance_probes_the_worker_with_headroom_that_all_routers_probe_first():
    harness = one_of_many_routers(40)
    for turn in range(40):  # enough requests for a fan-out of more than one worker
        harness.now_ms += 100.0
        for send in harness.complete_starts(harness.request(f"r{turn}", "hot", concurrency=2)):
            harness.end_attempt(send)
    function = harness.function("hot")
    function.pools.clear()
    function.workers_with_pool = None
    placement = harness.fleet.placement
    first_worker = next(
        worker for worker in placement.hash_order(function) if placement.has_headroom(worker, harness.now_ms)
    )

    orders = actions_of(harness.request("next", "hot", concurrency=2), EnsureInstances)

    assert function.fanout > 1
    assert [order.worker_id for order in orders] == [first_worker.id]


def test_worker_with_headroom_that_is_presumed_warm_is_not_probed_as_other_routers_renew_its_instance():
    harness = one_of_many_routers(40, instance_keep_alive_ms=8_000.0)
    first_send = harness.complete_starts(harness.request("first", concurrency=2))[0]
    harness.end_attempt(first_send)
    harness.now_ms += 20_000.0  # longer than the keep-alive time, but other routers use the instance

    actions = harness.request("second", concurrency=2)

    assert not actions_of(actions, EnsureInstances)
    assert {send.worker_id for send in actions_of(actions, SendRequest)} == {first_send.worker_id}


@pytest.mark.parametrize(
    ("sends_to_worker", "are_others_probed"),
    [
        pytest.param(4.5, False, id="past-its-share"),
        pytest.param(8.0, True, id="far-past-its-share"),
    ],
)
def test_worker_above_its_share_has_no_headroom_but_others_are_probed_only_far_above_it(
    sends_to_worker, are_others_probed
):
    harness = one_of_many_routers(40)
    [first_send] = harness.complete_starts(harness.request("first", concurrency=2))
    harness.end_attempt(first_send)
    placement = harness.fleet.placement
    worker = harness.worker(first_send.worker_id)
    worker.sends.reset(harness.now_ms, sends_to_worker)
    placement.sends.reset(harness.now_ms, 60.0)  # a fair share of three sends per worker

    has_headroom = placement.has_headroom(worker, harness.now_ms)
    actions = harness.request("next", concurrency=2)

    assert not has_headroom
    assert bool(actions_of(actions, EnsureInstances)) is are_others_probed
