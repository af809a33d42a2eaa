"""Tests of slow start: the budget of sends to a worker that has just started."""

from collections import Counter

import pytest
from helpers.decision_harness import (
    MANY_ROUTERS_QUOTA_RPS,
    MANY_ROUTERS_WORKERS,
    DecisionHarness,
    actions_of,
    many_routers,
    one_of_many_routers,
)

from function_router.decisions.actions import SendRequest
from function_router.decisions.events import Endpoint, EndpointsChanged
from function_router.decisions.router import Router
from function_router.decisions.types import Outcome

TENANT = "t"
QUOTA_RPS = 100.0
WORKERS = 4
WINDOW_MS = 3_000.0
OVERLOAD_MULTIPLE = 4.0
SLOW_START_INITIAL = 0.2

# --- one router ------------------------------------------------------------------------------------


def test_worker_in_slow_start_gets_no_more_than_its_budget_in_any_window():
    harness = DecisionHarness(
        workers=1,
        slow_start_ms=10_000.0,
        slow_start_initial=0.2,
        overload_window_ms=1000.0,
        overload_multiple=2.0,
    )
    harness.now_ms = 20_000.0
    harness.feed(EndpointsChanged([Endpoint(1, started_at_ms=20_000.0)], is_complete=False))
    harness.request("r")
    harness.now_ms += 1
    for send in actions_of(harness.report_instances(1, 16), SendRequest):
        harness.end_attempt(send)

    for number in range(200):
        harness.now_ms += 10
        for send in actions_of(harness.request(f"r{number}"), SendRequest):
            harness.now_ms += 1
            harness.end_attempt(send)
            harness.report_instances(1, 16)

    sent_ms = [entry.time_ms for entry in harness.logged(SendRequest)]
    most_in_a_window = max(sum(start <= time < start + 1000 for time in sent_ms) for start in sent_ms)
    # 100 requests per second arrive. The overload multiple is 2, and the capacity of the single worker grows
    # from 0.2 to 0.36 of that rate. The bound is its limit at a capacity of 0.3: 2 x 0.3 x 100.
    assert 1 <= most_in_a_window <= 60


def serving_harness():
    """Return a single router that serves requests at half of the quota from warm instances."""
    harness = DecisionHarness(
        workers=WORKERS,
        tenant=TENANT,
        tenant_quotas_rps={TENANT: QUOTA_RPS},
        slow_start_ms=14_000.0,
        slow_start_initial=SLOW_START_INITIAL,
        overload_window_ms=WINDOW_MS,
        overload_multiple=OVERLOAD_MULTIPLE,
    )
    serve(harness, 10_000.0)
    return harness


def serve(harness, for_ms):
    """Serve requests at half of the quota, and return the worker of each send."""
    sent_to = []
    end_ms = harness.now_ms + for_ms
    while harness.now_ms < end_ms:
        harness.now_ms += 2_000.0 / QUOTA_RPS
        request_id = f"r{harness.now_ms:.0f}"
        for send in harness.complete_starts(harness.request(request_id)):
            sent_to.append(send.worker_id)
            harness.end_attempt(send)
    return sent_to


def test_sends_before_the_notification_of_a_start_count_towards_its_budget():
    harness = serving_harness()
    before = serve(harness, WINDOW_MS)
    busiest = max(set(before), key=before.count)
    started_ms = harness.now_ms - 2_000.0

    harness.feed(EndpointsChanged([Endpoint(busiest, started_at_ms=started_ms)], is_complete=False))
    after = serve(harness, 500.0)

    capacity_rps = QUOTA_RPS / WORKERS
    budget = OVERLOAD_MULTIPLE * SLOW_START_INITIAL * (WINDOW_MS / 1000) * capacity_rps
    assert before.count(busiest) > budget  # the budget was used up before the start was announced
    assert after.count(busiest) == 0


def test_single_router_sends_one_request_to_a_worker_that_has_just_started():
    unserved = []
    for seed in range(20):
        harness = DecisionHarness(workers=1, seed=seed, slow_start_ms=14_000.0, overload_window_ms=WINDOW_MS)
        harness.now_ms = 60_000.0
        harness.feed(EndpointsChanged([Endpoint(1, started_at_ms=harness.now_ms)], is_complete=True))
        harness.now_ms += 100.0
        if not harness.complete_starts(harness.request("r")):
            unserved.append(seed)

    assert unserved == []


# --- many routers, whose sends together stay within the budget -------------------------------------


SLOW_START = {
    "slow_start_ms": 10_000.0,
    "slow_start_initial": 0.2,
    "overload_window_ms": 3000.0,
    "overload_multiple": 4.0,
}


def list_of_restarted_workers(workers, now_ms):
    """Return a complete endpoint list with this many workers, which have all just started."""
    endpoints = [Endpoint(worker_id, started_at_ms=now_ms) for worker_id in range(1, workers + 1)]
    return EndpointsChanged(endpoints, is_complete=True)


def send_request(harness, request_id, function="f"):
    """Let a request arrive and complete all starts; return the sends of the request."""
    return harness.complete_starts(harness.request(request_id, function))


def serve_ten_functions(harness, interval_ms):
    for number in range(10):
        harness.now_ms += interval_ms
        for send in send_request(harness, f"a{number}", f"f{number}"):
            harness.end_attempt(send)


def most_sends_to_a_worker(worker_ids):
    return Counter(worker_ids).most_common(1)[0][1]


def max_sends_in_the_window(requests_per_second):
    """Return how many sends a worker can take in a window at this rate, with an allowance for sampling noise.

    The capacity is that at the end of the first window of its slow start.
    """
    capacity_part = 0.2 + 0.8 * 0.3
    allowed = 4.0 * capacity_part * 3.0 * requests_per_second / MANY_ROUTERS_WORKERS
    return allowed + 2 * allowed**0.5 + 2


def test_routers_keep_the_budget_of_a_worker_in_slow_start_together():
    harnesses = many_routers(
        100, slow_start_ms=10_000.0, slow_start_initial=0.2, overload_window_ms=1000.0, overload_multiple=2.0
    )
    sent_to = []

    for harness in harnesses:
        harness.now_ms = 20_000.0
        harness.feed(list_of_restarted_workers(MANY_ROUTERS_WORKERS, 20_000.0))
        for number in range(10):
            harness.now_ms += 100.0
            sent_to += [send.worker_id for send in send_request(harness, f"r{number}")]

    # 100 routers send ten requests each to 20 workers within one second. At the end of that second, the
    # capacity of a worker is 0.2 + 0.8 x 1 s / 10 s = 0.28, and the overload multiple is 2.
    requests_per_worker = 100 * 10 / 20
    assert 0 < most_sends_to_a_worker(sent_to) <= 2.0 * 0.28 * requests_per_worker


@pytest.mark.parametrize(
    # The rate is that of each router, whose share of the quota is 1 request per second.
    ("requests_per_second", "workers_left"),
    [
        pytest.param(6, 20, id="burst"),
        pytest.param(2, 5, id="most-workers-removed"),
    ],
)
def test_neither_a_burst_nor_removed_workers_raise_the_budget_of_a_worker_in_slow_start(
    requests_per_second, workers_left
):
    harnesses = many_routers(100, **SLOW_START)
    sent_to = []

    for harness in harnesses:
        serve_ten_functions(harness, interval_ms=2000.0)
        harness.feed(list_of_restarted_workers(workers_left, harness.now_ms))
        for number in range(3 * requests_per_second):
            harness.now_ms += 1000.0 / requests_per_second
            for send in send_request(harness, f"r{number}", f"f{number % 10}"):
                sent_to.append(send.worker_id)
                harness.end_attempt(send)

    assert 0 < most_sends_to_a_worker(sent_to) <= max_sends_in_the_window(MANY_ROUTERS_QUOTA_RPS)


@pytest.mark.parametrize("router_count", [30, 100])
def test_routers_that_restart_keep_the_budget_of_a_worker_in_slow_start_together(router_count):
    sent_to = []

    for index, harness in enumerate(many_routers(router_count, **SLOW_START)):
        serve_ten_functions(harness, interval_ms=1000.0)
        restarted_workers = list_of_restarted_workers(MANY_ROUTERS_WORKERS, harness.now_ms)
        harness.feed(restarted_workers)
        for number in range(9):
            if number == 4 and index % 2:  # half of the routers restart and lose the record of their sends
                harness.router = Router(harness.router.settings, index * 31 + 7)
                harness.feed(restarted_workers)
            harness.now_ms += 3000.0 / 9
            for send in send_request(harness, f"r{number}", f"f{number % 10}"):
                sent_to.append(send.worker_id)
                actions = harness.end_attempt(send, Outcome.ERROR, is_answered=False)
                sent_to += [retry.worker_id for retry in harness.complete_starts(actions)]

    requests_per_second = router_count * 3
    assert 0 < most_sends_to_a_worker(sent_to) <= max_sends_in_the_window(requests_per_second)


def test_sends_to_a_worker_are_not_kept_once_its_slow_start_is_over():
    harness = one_of_many_routers(40, slow_start_ms=1000.0)
    harness.feed(list_of_restarted_workers(MANY_ROUTERS_WORKERS, 1.0))

    for number in range(50):
        harness.now_ms += 2000.0
        for send in send_request(harness, f"r{number}"):
            harness.end_attempt(send)

    assert not any(worker.slow_start_sends for worker in harness.fleet.workers.ready)
