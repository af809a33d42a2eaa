"""Enumerations that events and settings share. Nothing is decided here."""

from enum import Enum, IntEnum


class RetrySafety(Enum):
    """What happens if a request is run twice; the values are those of the configuration."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class DeduplicationScope(Enum):
    """The workers among which a second run of a request with an idempotency key is suppressed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(IntEnum):
    """A worker's state in the endpoint list; the values are those of the simulator's wire."""

    READY = 1
    DRAINING = 2
    REMOVED = 3


class Readiness(Enum):
    """What a worker answers to a health check."""

    READY = "ready"
    DRAINING = "draining"
    UNKNOWN = "unknown"  # it gave no usable answer


class Outcome(Enum):
    """How an attempt, a start order or a probe ended; the values are those of the simulator's wire."""

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
        """Whether the worker may have run the request; False where the outcome proves that it did not."""
        return self not in _NEVER_RAN


_NEVER_RAN = (Outcome.QUEUE_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.NOT_LOADED)


class StartKind(IntEnum):
    """How the instance that served a request was found; UNKNOWN if the answer doesn't say.

    The values are those of the simulator's wire.
    """

    UNKNOWN = 0
    WARM = 1
    COLD_START = 2
    JOINED_COLD_START = 3
    START_FAILED = 4
