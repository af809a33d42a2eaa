"""The reasons why the first byte of an exchange with a worker may not be sent."""

from enum import Enum, auto


class NotSentReason(Enum):
    """The reason why the first byte of an exchange may not be sent; see `function_router.net.send_checks`."""

    WORKER_UNKNOWN = auto()  # the endpoint list does not name the worker, or no longer does
    WORKER_REMOVED = auto()
    WORKER_DRAINING = auto()  # the worker accepts no new work
    READINESS_UNPROVEN = auto()  # a lease is missing: that on the endpoint list, or that of the worker
    PROCESS_UNKNOWN = auto()  # a repeat needs processes whose zone or cell is known; see `check_request`
    DEADLINE_PASSED = auto()  # no time is left for an answer
    REQUEST_FINISHED = auto()  # the request has its final answer, or was cancelled
    CLIENT_GONE = auto()  # the client has closed its connection, even if the router has not read this yet
    IDEMPOTENCY_WINDOW_PASSED = auto()  # workers may no longer recognize a repetition of the first attempt
    START_ORDER_LIMIT_REACHED = auto()  # one more start order would exceed the rate limit
