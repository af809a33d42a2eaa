"""Every way in which a connection, or what travels on it, can end, and what the module is told."""

import errno
from enum import Enum, auto

from function_router.decisions.types import Outcome


class CloseReason(Enum):
    CONNECTION_REFUSED = auto()  # the dial was turned away
    UNREACHABLE = auto()  # the dial failed in some other way
    CONNECT_TIMEOUT = auto()
    NO_FILE_DESCRIPTOR = auto()  # this process has no room for another connection
    CLOSED_BY_PEER = auto()
    RESET_BY_PEER = auto()
    PROTOCOL_ERROR = auto()  # the peer sent what its protocol does not allow
    WRITE_BUFFER_FULL = auto()  # the peer does not read, and too much waits for it
    READ_TIMEOUT = auto()  # nothing came for too long
    IDLE = auto()  # closed here, with nothing open on it
    ENDPOINT_REPLACED = auto()  # closed here, as its scorer is gone or has started anew
    DRAINING = auto()  # the scorer may be sent nothing new
    NOT_SENT = auto()  # the request was over, or the scorer unknown
    CANCELLED = auto()  # cancelled by the module
    DEADLINE_EXCEEDED = auto()  # no answer in time
    SHUTDOWN = auto()  # this front end ends


_NONE, _FAILED, _RESET = Outcome.NOT_SENT, Outcome.CONNECT_FAILED, Outcome.RESET

# What the module is told of an attempt or order: first where not one byte of it was written, so that
# it can't have run; then where some were, so that it may have.
OUTCOMES: dict[CloseReason, tuple[Outcome, Outcome]] = {
    CloseReason.CONNECTION_REFUSED: (_FAILED, _RESET),
    CloseReason.UNREACHABLE: (_FAILED, _RESET),
    CloseReason.CONNECT_TIMEOUT: (_FAILED, _RESET),
    CloseReason.NO_FILE_DESCRIPTOR: (_NONE, _RESET),
    CloseReason.CLOSED_BY_PEER: (_FAILED, _RESET),
    CloseReason.RESET_BY_PEER: (_FAILED, _RESET),
    CloseReason.PROTOCOL_ERROR: (_FAILED, _RESET),
    CloseReason.WRITE_BUFFER_FULL: (_FAILED, _RESET),
    CloseReason.READ_TIMEOUT: (_FAILED, _RESET),
    CloseReason.IDLE: (_NONE, _RESET),
    CloseReason.ENDPOINT_REPLACED: (_NONE, _RESET),
    CloseReason.DRAINING: (_NONE, _RESET),
    CloseReason.NOT_SENT: (_NONE, _RESET),
    CloseReason.CANCELLED: (Outcome.CANCELLED, Outcome.CANCELLED),
    CloseReason.DEADLINE_EXCEEDED: (_NONE, Outcome.TIMEOUT),
    CloseReason.SHUTDOWN: (_NONE, _RESET),
}


def outcome_of(end: CloseReason, begun: bool) -> Outcome:
    return OUTCOMES[end][begun]


def reason_of_os_error(error: OSError) -> CloseReason:
    """The end that an error of the system stands for."""
    if error.errno == errno.ECONNREFUSED:
        return CloseReason.CONNECTION_REFUSED
    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
        return CloseReason.NO_FILE_DESCRIPTOR
    if error.errno in (errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED):
        return CloseReason.RESET_BY_PEER
    return CloseReason.UNREACHABLE
