"""Tests of `send_checks`."""

import math
from types import SimpleNamespace

import pytest
from helpers.exchanges import attempt, start_order

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import RetrySafety, WorkerState
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.send_checks import (
    IDEMPOTENCY_WINDOW_MARGIN_MS,
    check_exchange,
    check_request,
    check_worker,
)
from function_router.net.write_queue import PendingWrite

NOW_MS = 10_000.0
WINDOW_MS = 1_500.0
USABLE_WINDOW_MS = WINDOW_MS - IDEMPOTENCY_WINDOW_MARGIN_MS
KEYED_CLASS = RequestClass("save", retry_safety=RetrySafety.IDEMPOTENCY_KEY, idempotency_window_ms=WINDOW_MS)


def pending(*, first_run_at_ms=math.inf, is_client_connected=True):
    """Return a stand-in for a pending request, with the attributes that the checks read."""
    client_request = SimpleNamespace(is_client_connected=lambda: is_client_connected)
    return SimpleNamespace(first_run_at_ms=first_run_at_ms, client_request=client_request)


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

    assert check_request(gone, KEYED_CLASS, [], NOW_MS) is NotSentReason.CLIENT_GONE


@pytest.mark.parametrize(
    ("elapsed_ms", "reason"),
    [(USABLE_WINDOW_MS - 1.0, None), (USABLE_WINDOW_MS, NotSentReason.IDEMPOTENCY_WINDOW_PASSED)],
    ids=["inside", "past"],
)
def test_attempt_is_repeated_only_inside_the_idempotency_window(elapsed_ms, reason):
    started = attempt_created_at(NOW_MS - elapsed_ms, is_started=True)
    ended = pending(first_run_at_ms=NOW_MS - elapsed_ms)

    assert check_request(pending(), KEYED_CLASS, [started], NOW_MS) is reason
    assert check_request(ended, KEYED_CLASS, [], NOW_MS) is reason


def test_unwritten_attempt_starts_no_idempotency_window():
    unwritten = attempt_created_at(NOW_MS - 2 * WINDOW_MS, is_started=False)

    assert check_request(pending(), KEYED_CLASS, [unwritten], NOW_MS) is None


@pytest.mark.parametrize("request_class", [None, RequestClass("view", retry_safety=RetrySafety.IDEMPOTENT)])
def test_class_without_idempotency_keys_has_no_window(request_class):
    ended = pending(first_run_at_ms=NOW_MS - 2 * WINDOW_MS)

    assert check_request(ended, request_class, [], NOW_MS) is None
