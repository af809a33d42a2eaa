"""Tests of `send_checks`."""

from types import SimpleNamespace

import pytest
from helpers.exchanges import attempt, start_order
from msgspec.structs import replace

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import DeduplicationScope, RetrySafety, WorkerState
from function_router.net.invariants import Invariant
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pending_request import PossibleRun
from function_router.net.send_checks import (
    IDEMPOTENCY_WINDOW_MARGIN_MS,
    SendConditions,
    check_exchange,
    check_readiness,
    check_request,
    check_worker,
    find_send_violations,
    possible_runs,
)
from function_router.net.write_queue import PendingWrite

NOW_MS = 10_000.0
WINDOW_MS = 1_500.0
USABLE_WINDOW_MS = WINDOW_MS - IDEMPOTENCY_WINDOW_MARGIN_MS
KEYED_CLASS = RequestClass("save", retry_safety=RetrySafety.IDEMPOTENCY_KEY, idempotency_window_ms=WINDOW_MS)


SCOPED_CLASS = replace(KEYED_CLASS, deduplication_scope=DeduplicationScope.CELL)


def pending(*, first_run_at_ms=None, is_client_connected=True):
    """Return a stand-in for a pending request, with the attributes that the checks read."""
    client_request = SimpleNamespace(is_client_connected=lambda: is_client_connected)
    first_run = None if first_run_at_ms is None else PossibleRun(first_run_at_ms, 7, 0.0, is_started=True)
    return SimpleNamespace(first_run=first_run, client_request=client_request)


def check_attempt(request, request_class, *others, is_process_known=True):
    """Check the attempt of a request that comes after `others`, which are in flight."""
    runs = possible_runs(request, enumerate(others), len(others))
    return check_request(request, request_class, runs, NOW_MS, lambda *_run: is_process_known)


def attempt_created_at(created_at_ms, *, is_started):
    """Return an attempt in flight."""
    in_flight = attempt(7, [])
    in_flight.created_at_ms = created_at_ms
    in_flight.pending_write = PendingWrite(b"frame", written=int(is_started))
    return in_flight


# --- the state of the worker


@pytest.mark.parametrize(
    ("state", "new_work", "probe"),
    [
        (WorkerState.READY, None, None),
        (WorkerState.DRAINING, NotSentReason.WORKER_DRAINING, None),
        (WorkerState.REMOVED, NotSentReason.WORKER_REMOVED, NotSentReason.WORKER_REMOVED),
    ],
)
def test_worker_state_decides_which_exchanges_may_be_sent(state, new_work, probe):
    assert check_worker(attempt(7, []), state) is new_work
    assert check_worker(start_order(7, [], instances=1), state) is new_work
    assert check_worker(start_order(7, [], instances=0), state) is probe


def test_check_of_the_exchange_runs_only_if_the_worker_state_allows_it():
    limited = start_order(7, [])
    asked = []

    def reason_not_to_send():
        asked.append(True)
        return NotSentReason.START_ORDER_LIMIT_REACHED

    limited.reason_not_to_send = reason_not_to_send

    assert check_exchange(limited, WorkerState.REMOVED) is NotSentReason.WORKER_REMOVED
    assert asked == []
    assert check_exchange(limited, WorkerState.READY) is NotSentReason.START_ORDER_LIMIT_REACHED


# --- the request


def test_request_of_a_disconnected_client_is_not_sent():
    gone = pending(is_client_connected=False)

    assert check_attempt(gone, KEYED_CLASS) is NotSentReason.CLIENT_GONE


@pytest.mark.parametrize(
    ("elapsed_ms", "reason"),
    [(USABLE_WINDOW_MS - 1.0, None), (USABLE_WINDOW_MS, NotSentReason.IDEMPOTENCY_WINDOW_PASSED)],
    ids=["inside", "past"],
)
def test_attempt_is_repeated_only_inside_the_idempotency_window(elapsed_ms, reason):
    started = attempt_created_at(NOW_MS - elapsed_ms, is_started=True)
    ended = pending(first_run_at_ms=NOW_MS - elapsed_ms)

    assert check_attempt(pending(), KEYED_CLASS, started) is reason
    assert check_attempt(ended, KEYED_CLASS) is reason


def test_unwritten_attempt_starts_no_idempotency_window():
    unwritten = attempt_created_at(NOW_MS - 2 * WINDOW_MS, is_started=False)

    assert check_attempt(pending(), KEYED_CLASS, unwritten) is None


@pytest.mark.parametrize("request_class", [None, RequestClass("view", retry_safety=RetrySafety.IDEMPOTENT)])
def test_class_without_idempotency_keys_has_no_window(request_class):
    ended = pending(first_run_at_ms=NOW_MS - 2 * WINDOW_MS)

    assert check_attempt(ended, request_class) is None


# --- the deduplication scope


@pytest.mark.parametrize("request_class", [KEYED_CLASS, SCOPED_CLASS], ids=["all", "cell"])
@pytest.mark.parametrize("is_started", [True, False], ids=["started", "assigned before"])
def test_request_that_may_run_at_an_unknown_process_is_not_repeated_in_a_scope(request_class, is_started):
    other = attempt_created_at(NOW_MS - 1.0, is_started=is_started)

    reason = check_attempt(pending(), request_class, other, is_process_known=False)

    assert reason is (NotSentReason.PROCESS_UNKNOWN if request_class is SCOPED_CLASS else None)
    assert check_attempt(pending(), request_class, other) is None


def test_attempt_is_no_repeat_of_a_later_one_that_is_not_written_yet():
    later = attempt_created_at(NOW_MS - 1.0, is_started=False)

    assert possible_runs(pending(), [(1, later)], 0) == []


def test_repeat_in_a_scope_needs_a_connection_to_a_known_process():
    repeat = attempt(7, [])
    repeat.is_scoped_repeat = lambda: True

    assert check_readiness(repeat, 10.0, 9.0) is NotSentReason.PROCESS_UNKNOWN
    assert check_readiness(repeat, 10.0, 10.0) is None
    assert check_readiness(attempt(7, []), 10.0, 9.0) is NotSentReason.READINESS_UNPROVEN


def test_repeat_that_is_written_to_an_unknown_process_violates_an_invariant():
    repeat = attempt(7, [])
    repeat.is_scoped_repeat = lambda: True

    def violations(*, is_process_known):
        return [
            violation.invariant
            for violation in find_send_violations(
                repeat,
                SendConditions(
                    WorkerState.READY, NOW_MS, is_in_drain_grace=True, is_process_known=is_process_known
                ),
            )
        ]

    assert violations(is_process_known=False) == [Invariant.REPEATED_IN_SCOPE]
    assert violations(is_process_known=True) == []
