"""Reasons for the end of a connection or an exchange, and the outcomes reported to the decision module."""

import errno
from enum import Enum, auto

from msgspec import Struct

from function_router.decisions.types import Outcome
from function_router.net.transient_errors import TRANSIENT_ERRORS


class CloseReason(Enum):
    """The reason why a connection, or an exchange on a connection, ended without an answer."""

    CONNECTION_REFUSED = auto()  # the peer's host refused the connection
    UNREACHABLE = auto()  # the connect failed with an error that no other member stands for
    CONNECT_TIMEOUT = auto()  # the connect took too long
    NO_FILE_DESCRIPTOR = auto()  # this process or this machine has no file descriptor left
    CONNECTION_LIMIT = auto()  # as many connections as the limits allow are open
    LOCAL_FAILURE = auto()  # a system call failed for a reason that says nothing about the peer
    CLOSED_BY_PEER = auto()  # the peer closed the connection
    RESET_BY_PEER = auto()  # the connection broke
    PROTOCOL_ERROR = auto()  # the peer violated the protocol
    WRITE_BUFFER_FULL = auto()  # the peer doesn't read, and too many bytes are queued for it
    MEMORY_FULL = auto()  # too many bytes of incomplete messages were kept, most of them of this peer
    READ_TIMEOUT = auto()  # nothing was received for too long
    IDLE = auto()  # this router closed the connection, with nothing pending on it
    ENDPOINT_REPLACED = auto()  # this router closed it as the worker was removed, moved or restarted
    DRAINING = auto()  # the worker is draining or was removed: the exchange must not be sent
    NOT_SENT = auto()  # no byte was written, for a reason that is unrelated to the connection
    CANCELLED = auto()  # the decision module cancelled the exchange
    DEADLINE_EXCEEDED = auto()  # no answer arrived in time
    SHUTDOWN = auto()  # this router is stopping


class ReportedOutcomes(Struct, frozen=True):
    """The outcomes that are reported to the decision module for exchanges that end without an answer.

    Attributes:
        if_started: The outcome if some bytes of the exchange were written: the worker may have run it.
        if_not_started: The outcome if no byte of the exchange was written: the worker cannot have run it.
    """

    if_started: Outcome
    if_not_started: Outcome


_CLOSED_LOCALLY = ReportedOutcomes(if_started=Outcome.RESET, if_not_started=Outcome.NOT_SENT)
_FAILED_AT_PEER = ReportedOutcomes(if_started=Outcome.RESET, if_not_started=Outcome.CONNECT_FAILED)

OUTCOMES: dict[CloseReason, ReportedOutcomes] = {
    CloseReason.CONNECTION_REFUSED: _FAILED_AT_PEER,
    CloseReason.UNREACHABLE: _FAILED_AT_PEER,
    CloseReason.CONNECT_TIMEOUT: _FAILED_AT_PEER,
    CloseReason.NO_FILE_DESCRIPTOR: _CLOSED_LOCALLY,
    CloseReason.CONNECTION_LIMIT: _CLOSED_LOCALLY,
    CloseReason.LOCAL_FAILURE: _CLOSED_LOCALLY,
    CloseReason.CLOSED_BY_PEER: _FAILED_AT_PEER,
    CloseReason.RESET_BY_PEER: _FAILED_AT_PEER,
    CloseReason.PROTOCOL_ERROR: _FAILED_AT_PEER,
    CloseReason.WRITE_BUFFER_FULL: _FAILED_AT_PEER,
    CloseReason.MEMORY_FULL: _CLOSED_LOCALLY,
    CloseReason.READ_TIMEOUT: _FAILED_AT_PEER,
    CloseReason.IDLE: _CLOSED_LOCALLY,
    CloseReason.ENDPOINT_REPLACED: _CLOSED_LOCALLY,
    CloseReason.DRAINING: _CLOSED_LOCALLY,
    CloseReason.NOT_SENT: _CLOSED_LOCALLY,
    CloseReason.CANCELLED: ReportedOutcomes(if_started=Outcome.CANCELLED, if_not_started=Outcome.CANCELLED),
    CloseReason.DEADLINE_EXCEEDED: ReportedOutcomes(
        if_started=Outcome.TIMEOUT, if_not_started=Outcome.NOT_SENT
    ),
    CloseReason.SHUTDOWN: _CLOSED_LOCALLY,
}

_DESCRIPTOR_LIMIT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})
# connect(2) and epoll_ctl(2) fail at once with these errors because of the memory, ports, routes or firewall
# rules of this machine.
_LOCAL_ERRORS = TRANSIENT_ERRORS | {
    errno.EACCES,
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENOSPC,
    errno.EPERM,
}
# A read or write fails with one of these errors if the established connection is broken.
_BROKEN_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EPIPE,
        errno.ETIMEDOUT,
    }
)


# Reasons with a cause outside this router: the peer's process or machine may have terminated.
_CONNECTION_LOSSES = frozenset(
    {
        CloseReason.CONNECTION_REFUSED,
        CloseReason.UNREACHABLE,
        CloseReason.CONNECT_TIMEOUT,
        CloseReason.CLOSED_BY_PEER,
        CloseReason.RESET_BY_PEER,
        CloseReason.READ_TIMEOUT,
    }
)


def is_connection_loss(reason: CloseReason) -> bool:
    """Return whether a connection was lost, or could not be established, for a cause outside this router."""
    return reason in _CONNECTION_LOSSES


def outcome_without_answer(reason: CloseReason, *, is_started: bool) -> Outcome:
    """Return the outcome of an exchange that ended without an answer.

    Args:
        reason: Why the exchange ended.
        is_started: Whether some bytes of the exchange were written.
    """
    outcomes = OUTCOMES[reason]
    return outcomes.if_started if is_started else outcomes.if_not_started


def reason_of_immediate_error(error: OSError) -> CloseReason:
    """Return the close reason of a connect that failed at once, before it was in progress."""
    if error.errno in _DESCRIPTOR_LIMIT_ERRORS:
        return CloseReason.NO_FILE_DESCRIPTOR
    if error.errno in _LOCAL_ERRORS:
        return CloseReason.LOCAL_FAILURE
    return reason_of_connect_error(error)


def reason_of_connect_error(error: OSError) -> CloseReason:
    """Return the close reason of a connect that was in progress when it failed."""
    if error.errno == errno.ECONNREFUSED:
        return CloseReason.CONNECTION_REFUSED
    if error.errno in (errno.ECONNRESET, errno.ECONNABORTED):
        return CloseReason.RESET_BY_PEER
    return CloseReason.UNREACHABLE


def reason_of_broken_connection(error: OSError) -> CloseReason:
    """Return the close reason of an established connection on which a read or a write failed."""
    if error.errno in _BROKEN_CONNECTION_ERRORS:
        return CloseReason.RESET_BY_PEER
    return CloseReason.LOCAL_FAILURE
