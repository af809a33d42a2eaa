"""Tests of `limits`."""

import pytest

from function_router.limits import AdaptiveLimit, CircuitBreaker, TokenBucket


def test_token_bucket_gives_its_tokens_and_refills_at_the_rate():
    bucket = TokenBucket(now_ms=0.0, tokens=2.0)

    taken_at_once = [bucket.try_take(0.0, rate_per_s=10.0, capacity=5.0) for _ in range(3)]
    taken_later = [bucket.try_take(now_ms, rate_per_s=10.0, capacity=5.0) for now_ms in (99.0, 101.0, 102.0)]

    assert taken_at_once == [True, True, False]
    assert taken_later == [False, True, False]


def test_token_bucket_holds_no_more_than_its_capacity():
    bucket = TokenBucket(now_ms=0.0, tokens=0.0)

    taken = [bucket.try_take(60_000.0, rate_per_s=10.0, capacity=3.0) for _ in range(4)]

    assert taken == [True, True, True, False]


@pytest.mark.parametrize(
    ("start", "maximum", "raised", "lowered"),
    [(4.0, 10.0, 4.25, 2.125), (2.5, 2.6, 2.6, 2.0)],
    ids=["inside its bounds", "kept to its bounds"],
)
def test_adaptive_limit_rises_by_one_over_itself_and_falls_by_a_fraction(start, maximum, raised, lowered):
    limit = AdaptiveLimit(start, 2.0, maximum, 0.5)

    limit.record(success=True)
    value_after_success = limit.value
    limit.record(success=False)

    assert value_after_success == raised
    assert limit.value == lowered


def breaker_with_failures(count, now_ms=0.0):
    breaker = CircuitBreaker(threshold=2.0, decay_factor=0.5, open_ms=100.0, max_open_ms=300.0)
    for _ in range(count):
        breaker.record_failure(now_ms)
    return breaker


@pytest.mark.parametrize(("failures", "is_open"), [(0, False), (1, False), (2, True), (3, True)])
def test_circuit_breaker_opens_at_its_threshold(failures, is_open):
    breaker = breaker_with_failures(failures)

    assert breaker.is_tripped is is_open
    assert breaker.is_open(99.0) is is_open
    assert not breaker.is_open(100.0)


def test_trial_of_a_tripped_circuit_breaker_doubles_its_time_up_to_the_maximum():
    breaker = breaker_with_failures(2)

    waits = []
    for _ in range(3):
        breaker.record_trial(1000.0)
        waits.append([ms for ms in (150.0, 250.0, 350.0) if breaker.is_open(1000.0 + ms)])

    assert waits == [[150.0], [150.0, 250.0], [150.0, 250.0]]


def test_trial_of_a_closed_circuit_breaker_changes_nothing():
    breaker = breaker_with_failures(1)

    breaker.record_trial(0.0)
    breaker.record_failure(0.0)

    assert breaker.is_open(99.0)
    assert not breaker.is_open(100.0)


def test_success_decays_the_failure_count():
    breaker = breaker_with_failures(3)

    breaker.record_success(was_counted_as_failure=False)

    assert not breaker.is_tripped
    assert not breaker.is_clear
    breaker.record_success(was_counted_as_failure=False)
    assert breaker.is_clear


def test_late_success_takes_back_only_the_failure_that_it_was_counted_as():
    breaker = breaker_with_failures(3)

    breaker.record_success(was_counted_as_failure=True)

    assert breaker.is_tripped
    breaker.record_success(was_counted_as_failure=True)
    assert not breaker.is_tripped
    assert not breaker.is_clear


def test_circuit_breaker_has_open_time_left_until_its_end():
    breaker = breaker_with_failures(2, now_ms=50.0)

    assert breaker.has_open_time_left(149.0)
    assert not breaker.has_open_time_left(150.0)
    assert not breaker_with_failures(1).has_open_time_left(0.0)
