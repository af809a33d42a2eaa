"""Enumerations that are shared by events and settings. This module contains no decision logic."""

from enum import Enum, IntEnum


class RetrySafety(Enum):
    """Whether a request may run twice. The values are those of the configuration."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class DeduplicationScope(Enum):
    """The set of workers that deduplicate a request by its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(IntEnum):
    """A worker's state in the endpoint list. The values are those of the simulator protocol."""

    READY = 1
    DRAINING = 2
    REMOVED = 3


class Readiness(Enum):
    """A worker's answer to a health check."""

    READY = "ready"
    DRAINING = "draining"
    UNKNOWN = "unknown"  # no usable answer


class LeaseKind(Enum):
    """The lease by which new work may go to a worker."""

    LIST = "list"  # the lease on the endpoint list
    BOTH = "list and health check"  # both of the lease on the list and the worker's own
    NONE = "no lease"


class Outcome(Enum):
    """Result of an attempt, start order, probe or health check.

    The values are those of the simulator protocol.
    """

    OK = "GOOD"
    ERROR = "BAD"
    QUEUE_FULL = "FULL"
    TIMEOUT = "LATE"
    CONNECT_FAILED = "NOCONN"
    RESET = "RST"
    CANCELLED = "CXL"
    NOT_SENT = "NOP"
    NOT_LOADED = "MISS"

    @property
    def may_have_run(self) -> bool:
        """Whether the worker may have run the request. False if the outcome proves that it did not."""
        return self not in _NEVER_RAN


_NEVER_RAN = (Outcome.QUEUE_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.NOT_LOADED)


class StartKind(IntEnum):
    """How a request got its instance. UNKNOWN if the answer doesn't say.

    The values are those of the simulator protocol.
    """

    UNKNOWN = 0
    WARM = 1
    COLD_START = 2
    JOINED_COLD_START = 3
    START_FAILED = 4
