"""Why a connection, or an exchange on it, ended, and the outcome that the decision module sees."""

import errno
from dataclasses import dataclass
from enum import Enum, auto

from function_router.decisions.types import Outcome
from function_router.net.transient_errors import TRANSIENT_ERRORS


class CloseReason(Enum):
    """Why a connection, or an exchange on it, ended without a reply."""

    CONNECTION_REFUSED = auto()  # the peer's host refused the connection
    UNREACHABLE = auto()  # connecting failed in some other way
    CONNECT_TIMEOUT = auto()  # connecting took too long
    NO_FILE_DESCRIPTOR = auto()  # this process has no room for another connection
    LOCAL_FAILURE = auto()  # a system call failed for a reason that tells nothing about the peer
    CLOSED_BY_PEER = auto()  # the peer closed the connection
    RESET_BY_PEER = auto()  # the connection broke
    PROTOCOL_ERROR = auto()  # the peer sent what its protocol does not allow
    WRITE_BUFFER_FULL = auto()  # the peer does not read, and too much is queued for it
    READ_TIMEOUT = auto()  # nothing was received for too long
    IDLE = auto()  # closed by this router, with nothing pending on it
    ENDPOINT_REPLACED = auto()  # closed by this router, as the worker was removed or has restarted
    DRAINING = auto()  # the worker takes nothing new
    NOT_SENT = auto()  # the request had ended before, or the worker is unknown
    CANCELLED = auto()  # cancelled by the decision module
    DEADLINE_EXCEEDED = auto()  # no reply in time
    SHUTDOWN = auto()  # this router stops


@dataclass(frozen=True, slots=True)
class ReportedOutcomes:
    """What the decision module is notified of when an attempt or a start order ends without a reply."""

    if_unwritten: Outcome  # not one byte of it was written, so that the worker cannot have run it
    if_begun: Outcome  # some of it was written, so that the worker may have run it


_CLOSED_HERE = ReportedOutcomes(if_unwritten=Outcome.NOT_SENT, if_begun=Outcome.RESET)
_FAILED_AT_PEER = ReportedOutcomes(if_unwritten=Outcome.CONNECT_FAILED, if_begun=Outcome.RESET)

OUTCOMES: dict[CloseReason, ReportedOutcomes] = {
    CloseReason.CONNECTION_REFUSED: _FAILED_AT_PEER,
    CloseReason.UNREACHABLE: _FAILED_AT_PEER,
    CloseReason.CONNECT_TIMEOUT: _FAILED_AT_PEER,
    CloseReason.NO_FILE_DESCRIPTOR: _CLOSED_HERE,
    CloseReason.LOCAL_FAILURE: _CLOSED_HERE,
    CloseReason.CLOSED_BY_PEER: _FAILED_AT_PEER,
    CloseReason.RESET_BY_PEER: _FAILED_AT_PEER,
    CloseReason.PROTOCOL_ERROR: _FAILED_AT_PEER,
    CloseReason.WRITE_BUFFER_FULL: _FAILED_AT_PEER,
    CloseReason.READ_TIMEOUT: _FAILED_AT_PEER,
    CloseReason.IDLE: _CLOSED_HERE,
    CloseReason.ENDPOINT_REPLACED: _CLOSED_HERE,
    CloseReason.DRAINING: _CLOSED_HERE,
    CloseReason.NOT_SENT: _CLOSED_HERE,
    CloseReason.CANCELLED: ReportedOutcomes(if_unwritten=Outcome.CANCELLED, if_begun=Outcome.CANCELLED),
    CloseReason.DEADLINE_EXCEEDED: ReportedOutcomes(if_unwritten=Outcome.NOT_SENT, if_begun=Outcome.TIMEOUT),
    CloseReason.SHUTDOWN: _CLOSED_HERE,
}

_NO_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})
# Of connect(2) and epoll_ctl(2), where they fail at once: memory, ports, routes and rules of this machine.
_LOCAL_ERRORS = TRANSIENT_ERRORS | {
    errno.EACCES,
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENOSPC,
    errno.EPERM,
}
# The ways in which a connection that was established shows that it is broken.
_CONNECTION_BROKEN = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EPIPE,
        errno.ETIMEDOUT,
    }
)


def outcome_of(end: CloseReason, begun: bool) -> Outcome:
    """The outcome of an attempt or start order that ended; `begun` once a byte of it was written."""
    outcomes = OUTCOMES[end]
    return outcomes.if_begun if begun else outcomes.if_unwritten


def reason_of_local_error(error: OSError) -> CloseReason:
    """The close reason of a connection that could not be made, as a call on this machine failed at once."""
    if error.errno in _NO_DESCRIPTORS:
        return CloseReason.NO_FILE_DESCRIPTOR
    if error.errno in _LOCAL_ERRORS:
        return CloseReason.LOCAL_FAILURE
    return reason_of_connect_error(error)


def reason_of_connect_error(error: OSError) -> CloseReason:
    """The close reason of a connect that failed on its way to the peer."""
    if error.errno == errno.ECONNREFUSED:
        return CloseReason.CONNECTION_REFUSED
    if error.errno in (errno.ECONNRESET, errno.ECONNABORTED):
        return CloseReason.RESET_BY_PEER
    return CloseReason.UNREACHABLE


def reason_of_broken_connection(error: OSError) -> CloseReason:
    """The close reason of an established connection on which a read or a write failed."""
    if error.errno in _CONNECTION_BROKEN:
        return CloseReason.RESET_BY_PEER
    return CloseReason.LOCAL_FAILURE
