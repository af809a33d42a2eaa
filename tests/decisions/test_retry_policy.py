"""Tests of the retry policy: whether another attempt is allowed, and at which workers."""

import pytest
from helpers.decision_harness import IDEMPOTENCY_KEY, IDEMPOTENT

from function_router.decisions.events import Endpoint
from function_router.decisions.process_identity import ProcessIdentity
from function_router.decisions.records import Attempt, Function, Request, Worker
from function_router.decisions.retry_policy import IDEMPOTENCY_MARGIN_MS, RetryPolicy
from function_router.decisions.settings import RequestClass, Settings
from function_router.decisions.types import DeduplicationScope, RetrySafety

FIRST = Worker(1, Endpoint(1, zone="a", cell=1), hash=1)
SAME_CELL = Worker(2, Endpoint(2, zone="a", cell=1), hash=2)
SAME_ZONE = Worker(3, Endpoint(3, zone="a", cell=2), hash=3)
OTHER_ZONE = Worker(4, Endpoint(4, zone="b", cell=3), hash=4)


def retry_policy(max_attempts=4, **settings):
    """Return a retry policy without evidence about connections, so that all processes are known."""
    return RetryPolicy(Settings(max_attempts=max_attempts, **settings), ProcessIdentity())


def request_after_one_attempt(request_class, *, in_flight=False, may_have_run=True):
    """Return a request with one attempt at the first worker, sent at 0 ms."""
    function = Function("f", request_class.name, 1, None, hash=5)
    request = Request(
        "r", function, request_class, 0.0, 2500.0, False, 0.0, number=1, random_bits=0, concurrency=1
    )
    attempt = Attempt(
        "r", FIRST, FIRST.endpoint, function, request_class.name, 0.0, True, 1, in_flight=in_flight
    )
    attempt.may_have_run = may_have_run
    request.attempts.append(attempt)
    return request


def test_attempts_are_limited_by_the_settings():
    request = request_after_one_attempt(IDEMPOTENT)

    assert retry_policy(max_attempts=2).allows_attempt(request, now_ms=1.0)
    assert not retry_policy(max_attempts=1).allows_attempt(request, now_ms=1.0)


@pytest.mark.parametrize("can_hedge", [True, False])
def test_second_attempt_in_flight_needs_hedges_to_be_allowed(can_hedge):
    request = request_after_one_attempt(IDEMPOTENT, in_flight=True)
    policy = retry_policy(can_hedge=can_hedge)

    assert policy.allows_attempt(request, now_ms=1.0) is can_hedge


@pytest.mark.parametrize("may_have_run", [True, False])
def test_at_most_once_request_is_sent_again_only_if_it_has_not_run(may_have_run):
    request_class = RequestClass("at-most-once", retry_safety=RetrySafety.AT_MOST_ONCE)
    request = request_after_one_attempt(request_class, may_have_run=may_have_run)
    policy = retry_policy()

    assert policy.allows_attempt(request, now_ms=1.0) is not may_have_run
    assert policy.allows_worker(request, OTHER_ZONE, now_ms=1.0) is not may_have_run


def test_retry_with_an_idempotency_key_must_arrive_within_its_window():
    request = request_after_one_attempt(IDEMPOTENCY_KEY)
    end_ms = IDEMPOTENCY_KEY.idempotency_window_ms - IDEMPOTENCY_MARGIN_MS
    policy = retry_policy()

    assert policy.allows_attempt(request, now_ms=end_ms - 1.0)
    assert not policy.allows_attempt(request, now_ms=end_ms)


@pytest.mark.parametrize(
    ("scope", "allowed"),
    [
        (DeduplicationScope.CELL, [SAME_CELL]),
        (DeduplicationScope.ZONE, [SAME_CELL, SAME_ZONE]),
        (DeduplicationScope.ALL, [SAME_CELL, SAME_ZONE, OTHER_ZONE]),
    ],
    ids=lambda value: value.name if isinstance(value, DeduplicationScope) else "",
)
def test_retry_with_an_idempotency_key_stays_in_its_deduplication_scope(scope, allowed):
    request_class = RequestClass(
        "keyed",
        retry_safety=RetrySafety.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        idempotency_window_ms=2500.0,
    )
    request = request_after_one_attempt(request_class)
    policy = retry_policy()

    workers = [FIRST, SAME_CELL, SAME_ZONE, OTHER_ZONE]
    assert [worker for worker in workers if policy.allows_worker(request, worker, now_ms=1.0)] == allowed


@pytest.mark.parametrize("scope", DeduplicationScope)
def test_client_may_retry_with_an_idempotency_key_only_if_all_workers_share_it(scope):
    request_class = RequestClass("keyed", retry_safety=RetrySafety.IDEMPOTENCY_KEY, deduplication_scope=scope)
    request = request_after_one_attempt(request_class)

    is_safe = retry_policy().is_client_retry_safe(request)

    assert is_safe is (scope is DeduplicationScope.ALL)
