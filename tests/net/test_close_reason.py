"""Tests of `close_reason`."""

import errno

import pytest

from function_router.decisions.types import Outcome
from function_router.net.close_reason import (
    CloseReason,
    outcome_without_answer,
    reason_of_broken_connection,
    reason_of_connect_error,
    reason_of_immediate_error,
)
from function_router.net.endpoint_registry import worker_id_of

NOT_RUN_OUTCOMES = {Outcome.NOT_SENT, Outcome.CONNECT_FAILED}


@pytest.mark.parametrize("reason", CloseReason)
def test_started_exchange_is_never_reported_as_not_run(reason):
    assert outcome_without_answer(reason, is_started=True) not in NOT_RUN_OUTCOMES


@pytest.mark.parametrize("reason", [reason for reason in CloseReason if reason is not CloseReason.CANCELLED])
def test_exchange_that_was_not_started_is_reported_as_not_run(reason):
    assert outcome_without_answer(reason, is_started=False) in NOT_RUN_OUTCOMES


@pytest.mark.parametrize("is_started", [False, True])
def test_cancelled_exchange_is_reported_as_cancelled(is_started):
    assert outcome_without_answer(CloseReason.CANCELLED, is_started=is_started) is Outcome.CANCELLED


@pytest.mark.parametrize(
    ("error_number", "reason"),
    [
        (errno.ECONNREFUSED, CloseReason.CONNECTION_REFUSED),
        (errno.EMFILE, CloseReason.NO_FILE_DESCRIPTOR),
        (errno.ENFILE, CloseReason.NO_FILE_DESCRIPTOR),
        (errno.ENOBUFS, CloseReason.LOCAL_FAILURE),
        (errno.ENOMEM, CloseReason.LOCAL_FAILURE),
        (errno.EADDRNOTAVAIL, CloseReason.LOCAL_FAILURE),
        (errno.ENETUNREACH, CloseReason.LOCAL_FAILURE),
        (errno.EAGAIN, CloseReason.LOCAL_FAILURE),
        (errno.EHOSTUNREACH, CloseReason.UNREACHABLE),
    ],
)
def test_connect_that_fails_at_once_has_a_close_reason(error_number, reason):
    assert reason_of_immediate_error(OSError(error_number, "connect")) is reason


@pytest.mark.parametrize(
    ("error_number", "reason"),
    [
        (errno.ECONNREFUSED, CloseReason.CONNECTION_REFUSED),
        (errno.ECONNRESET, CloseReason.RESET_BY_PEER),
        (errno.ECONNABORTED, CloseReason.RESET_BY_PEER),
        (errno.EHOSTUNREACH, CloseReason.UNREACHABLE),
        (errno.ENETUNREACH, CloseReason.UNREACHABLE),
        (errno.ETIMEDOUT, CloseReason.UNREACHABLE),
    ],
)
def test_connect_that_fails_while_in_progress_has_a_close_reason(error_number, reason):
    assert reason_of_connect_error(OSError(error_number, "connect")) is reason


@pytest.mark.parametrize(
    ("error_number", "reason"),
    [
        (errno.ECONNRESET, CloseReason.RESET_BY_PEER),
        (errno.EPIPE, CloseReason.RESET_BY_PEER),
        (errno.ECONNABORTED, CloseReason.RESET_BY_PEER),
        (errno.ETIMEDOUT, CloseReason.RESET_BY_PEER),
        (errno.EHOSTUNREACH, CloseReason.RESET_BY_PEER),
        (errno.ENETUNREACH, CloseReason.RESET_BY_PEER),
        (errno.EIO, CloseReason.LOCAL_FAILURE),
    ],
)
def test_broken_connection_has_a_close_reason(error_number, reason):
    assert reason_of_broken_connection(OSError(error_number, "recv")) is reason


def test_worker_id_is_the_same_in_every_router():
    assert worker_id_of("s-00c41f7a") == 3020732781
