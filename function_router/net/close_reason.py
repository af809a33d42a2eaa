"""Why a connection, or an exchange on it, ended, and the outcome that the decision module sees."""

import errno
from dataclasses import dataclass
from enum import Enum, auto

from function_router.decisions.types import Outcome


class CloseReason(Enum):
    """Why a connection, or an exchange on it, ended without a reply."""

    CONNECTION_REFUSED = auto()  # the peer's host refused the connection
    UNREACHABLE = auto()  # connecting failed in some other way
    CONNECT_TIMEOUT = auto()  # connecting took too long
    NO_FILE_DESCRIPTOR = auto()  # this process has no room for another connection
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

_NO_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_CONNECTION_BROKEN = frozenset({errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED})


def outcome_of(end: CloseReason, begun: bool) -> Outcome:
    """The outcome of an attempt or start order that ended; `begun` once a byte of it was written."""
    outcomes = OUTCOMES[end]
    return outcomes.if_begun if begun else outcomes.if_unwritten


def reason_of_os_error(error: OSError) -> CloseReason:
    """The close reason that an error of a socket call stands for."""
    if error.errno == errno.ECONNREFUSED:
        return CloseReason.CONNECTION_REFUSED
    if error.errno in _NO_RESOURCES:
        return CloseReason.NO_FILE_DESCRIPTOR
    if error.errno in _CONNECTION_BROKEN:
        return CloseReason.RESET_BY_PEER
    return CloseReason.UNREACHABLE
