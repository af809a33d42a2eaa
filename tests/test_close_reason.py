"""Tests of `close_reason`."""

import errno

import pytest

from function_router.decisions.types import Outcome
from function_router.net.close_reason import CloseReason, outcome_of, reason_of_os_error
from function_router.net.endpoint_registry import worker_id_of

PROOF_OF_NOT_RUN = {Outcome.NOT_SENT, Outcome.CONNECT_FAILED}


@pytest.mark.parametrize("reason", CloseReason)
def test_exchange_that_was_begun_is_never_reported_as_not_run(reason):
    assert outcome_of(reason, begun=True) not in PROOF_OF_NOT_RUN


@pytest.mark.parametrize("reason", [reason for reason in CloseReason if reason is not CloseReason.CANCELLED])
def test_exchange_without_a_byte_written_is_reported_as_not_run(reason):
    assert outcome_of(reason, begun=False) in PROOF_OF_NOT_RUN


@pytest.mark.parametrize("begun", [False, True])
def test_cancelled_exchange_is_reported_as_cancelled(begun):
    assert outcome_of(CloseReason.CANCELLED, begun=begun) is Outcome.CANCELLED


@pytest.mark.parametrize(
    ("error_number", "reason"),
    [
        (errno.ECONNREFUSED, CloseReason.CONNECTION_REFUSED),
        (errno.EMFILE, CloseReason.NO_FILE_DESCRIPTOR),
        (errno.ENFILE, CloseReason.NO_FILE_DESCRIPTOR),
        (errno.ENOBUFS, CloseReason.NO_FILE_DESCRIPTOR),
        (errno.ENOMEM, CloseReason.NO_FILE_DESCRIPTOR),
        (errno.ECONNRESET, CloseReason.RESET_BY_PEER),
        (errno.EPIPE, CloseReason.RESET_BY_PEER),
        (errno.ECONNABORTED, CloseReason.RESET_BY_PEER),
        (errno.EHOSTUNREACH, CloseReason.UNREACHABLE),
        (errno.ENETUNREACH, CloseReason.UNREACHABLE),
    ],
)
def test_socket_error_has_a_close_reason(error_number, reason):
    assert reason_of_os_error(OSError(error_number, "connect")) is reason


def test_worker_id_is_the_same_in_every_router():
    assert worker_id_of("s-00c41f7a") == 3020732781
