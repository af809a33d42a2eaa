"""Run-time checks of a router's invariants: violations are counted and logged.

A check examines what the router did, not what it decided, and has no effect on requests. A violation is a bug
of the router; the log and the counters show violations, and the soak test counts them.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

# Source of the log lines about violations. The log limits the rate of its lines per source.
LOG_SOURCE = "invariants"
LOG_PREFIX = "invariant violated"

# Maximum lateness of an answer. An answer may leave after its deadline, as a turn of the event loop may
# stall.
MAX_LATENESS_MS = 400.0
# Maximum time by which an attempt's timeout may exceed its client's remaining time. The operator allows
# 150 ms.
MAX_TIMEOUT_EXCESS_MS = 100.0


class Invariant(StrEnum):
    """An invariant of the router; the values are the texts in the log."""

    ONE_ANSWER = "each request gets one final answer"
    ANSWERED_IN_TIME = "the final answer leaves in time"
    ANSWERED_BEFORE_CLOSE = "a connection is closed with all its requests answered"
    SENT_ONLY_WHILE_ALLOWED = "the first byte of an exchange leaves only while it may start"
    REPEATED_IN_SCOPE = "a request that may have run is repeated only where its idempotency key is known"
    TIMEOUT_WITHIN_DEADLINE = "a worker is sent no more time than the client has left"


class InvariantMonitor:
    """Counts and logs violations.

    Attributes:
        violations: The number of violations of each invariant since the router started.
    """

    def __init__(self, log: Callable[[str, str], None]) -> None:
        """Log each violation with `log`, which takes the text of a log line and its source."""
        self.violations: Counter[Invariant] = Counter()
        self._log = log

    def record(self, invariant: Invariant, detail: str) -> None:
        """Count and log a violation of the invariant."""
        self.violations[invariant] += 1
        self._log(f"{LOG_PREFIX}: {invariant}: {detail}", LOG_SOURCE)
