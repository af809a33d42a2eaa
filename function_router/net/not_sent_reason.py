"""Why an exchange with a worker may not send its first byte."""

from enum import Enum, auto


class NotSentReason(Enum):
    """Why an exchange may not send its first byte; `function_router.net.send_checks` has the rules."""

    WORKER_UNKNOWN = auto()  # the endpoint list does not name the worker, or no longer does
    WORKER_REMOVED = auto()
    WORKER_DRAINING = auto()  # it accepts no new work
    READINESS_UNPROVEN = auto()  # the endpoint list is out of date, and the worker has not proven to be ready
    DEADLINE_PASSED = auto()  # no time is left for an answer
    REQUEST_FINISHED = auto()  # its request has its final answer, or was cancelled
    CLIENT_GONE = auto()  # its client has closed the connection, even if this has not been read yet
    IDEMPOTENCY_WINDOW_PASSED = auto()  # workers may have forgotten the previous attempt
    START_ORDER_LIMIT_REACHED = auto()  # one more start order would exceed the rate limit
