"""Slow start at one router: what it sent before it was notified of the start counts, too."""

from helpers.decision_harness import DecisionHarness

from function_router.decisions.events import Endpoint, EndpointsChanged

TENANT = "t"
QUOTA_RPS = 100.0
WORKERS = 4
WINDOW_MS = 3_000.0
OVERLOAD_MULTIPLE = 4.0
SLOW_START_INITIAL = 0.2


def serving_harness():
    """A router that is alone and serves at half of the quota from warm instances."""
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
    """Serve requests at half of the quota; the worker of each send."""
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
    assert before.count(busiest) > budget  # spent before anybody knew
    assert after.count(busiest) == 0


def test_lone_router_sends_a_single_request_to_a_worker_that_has_just_started():
    unserved = []
    for seed in range(20):
        harness = DecisionHarness(workers=1, seed=seed, slow_start_ms=14_000.0, overload_window_ms=WINDOW_MS)
        harness.now_ms = 60_000.0
        harness.feed(EndpointsChanged([Endpoint(1, started_at_ms=harness.now_ms)], is_complete=True))
        harness.now_ms += 100.0
        if not harness.complete_starts(harness.request("r")):
            unserved.append(seed)

    assert unserved == []
