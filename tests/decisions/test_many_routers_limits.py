"""Many routers: what each one starts, holds unresponsive and keeps in flight on its own."""

from helpers.decision_harness import actions_of, one_of_many_routers, probes

from function_router.decisions.actions import EnsureInstances, RejectRequest
from function_router.decisions.records import Function
from function_router.decisions.types import Outcome
from function_router.hashing import hash64


def test_speculation_stops_when_an_instance_idles_longer_than_a_run():
    harness = one_of_many_routers(40)
    function = Function("f", "idempotent", 2, None, hash64("f"))
    harness.router.fleet.durations.run_times.add(0.0, 100.0)
    function.idle_before_use_ms = 150.0

    assert not harness.router.speculation.update(function, harness.now_ms)


def test_silent_worker_is_passed_over_before_it_is_probed():
    harness = one_of_many_routers(40)
    for _ in range(5):
        harness.router.fleet.durations.run_times.add(0.0, 200.0)
    [send] = harness.complete_starts(harness.request("long"))
    worker = harness.worker(send.worker_id)
    worker.sends.reset(harness.now_ms)

    actions = harness.run_timer_until(harness.now_ms + 540)
    assert not probes(actions)
    assert harness.router.fleet.placement.has_headroom(worker, harness.now_ms)

    actions = harness.run_timer_until(harness.now_ms + 200)  # silent for three runs
    assert not probes(actions)
    assert not harness.router.fleet.placement.has_headroom(worker, harness.now_ms)

    actions = harness.run_timer_until(harness.now_ms + 1000)  # for eight
    assert probes(actions)
    assert not harness.router.fleet.placement.has_headroom(worker, harness.now_ms)


def test_worker_is_not_silent_while_a_start_takes_its_time():
    harness = one_of_many_routers(40)
    actions = harness.answer_probes(harness.request("r", expected_start_ms=800.0))
    orders = actions_of(actions, EnsureInstances)

    actions = harness.run_timer_until(harness.now_ms + 900)

    assert [order.instances for order in orders] == [1]
    assert not actions_of(actions, EnsureInstances)


def test_in_flight_limit_shrinks_with_the_responsive_workers():
    harness = one_of_many_routers(40)
    fleet = harness.router.fleet
    fleet.capacity.refresh(harness.now_ms)
    limit_of_all_workers = fleet.capacity.max_in_flight

    for worker in fleet.workers.ready[:10]:
        fleet.health.mark_unresponsive(worker, harness.now_ms)
    fleet.capacity.refresh(harness.now_ms)

    assert fleet.capacity.many_routers
    assert fleet.capacity.max_in_flight == limit_of_all_workers / 2


def test_late_request_without_an_attempt_in_flight_is_rejected_before_its_deadline():
    harness = one_of_many_routers(40)
    [send] = harness.complete_starts(harness.request("r", timeout_ms=2500.0))
    for worker in harness.router.fleet.workers.ready:  # no other worker can take it
        worker.max_in_flight = 0.0

    harness.end_attempt(send, Outcome.ERROR, is_answered=False)
    harness.run_timer_until(2500.0)

    [rejection] = harness.logged(RejectRequest)
    assert rejection.time_ms <= 1300.0


def test_attempts_past_the_latency_objective_do_not_count_against_the_in_flight_limit():
    harness = one_of_many_routers(100)
    limit = harness.router.fleet.capacity.max_in_flight
    for number in range(12):
        harness.complete_starts(harness.request(f"r{number}", function=f"f{number}"))
    in_flight_count = len(harness.router.requests.recent_attempts)
    assert in_flight_count <= limit + 1
    assert limit + 1 < 12

    harness.run_timer_until(harness.now_ms + 1200)

    recent_attempts = harness.router.requests.recent_attempts
    assert not any(harness.now_ms - attempt.sent_ms > 1100 for attempt in recent_attempts)
