"""Run-time checks of the rules that a router has to keep: violations are counted and logged.

A check concerns what has happened, not what was decided, and changes nothing. A violation is a fault of the
program; the log and the counters show it, and the soak test counts it.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

# These log lines have a rate limit of their own.
LOG_SOURCE = "invariants"
LOG_PREFIX = "invariant violated"

# How long after its deadline an answer may leave, as an iteration of the event loop may stall.
MAX_LATENESS_MS = 400.0
# How much longer an attempt's timeout may be than its client's remaining time. The operator allows 150 ms.
MAX_TIMEOUT_EXCESS_MS = 100.0


class Invariant(StrEnum):
    """A rule that has to hold; the values are what the log calls it."""

    ONE_ANSWER = "each request gets one final answer"
    ANSWERED_IN_TIME = "the final answer leaves in time"
    ANSWERED_BEFORE_CLOSE = "a connection is closed with all its requests answered"
    SENT_ONLY_WHILE_ALLOWED = "the first byte of an exchange leaves only while it may start"
    TIMEOUT_WITHIN_DEADLINE = "a worker is sent no more time than the client has left"


class InvariantMonitor:
    """Counts and logs violations.

    Attributes:
        violations: the number of violations of each invariant since the start.
    """

    def __init__(self, log: Callable[[str, str], None]) -> None:
        """Write a line for each violation to `log`, which takes a text and its source."""
        self.violations: Counter[Invariant] = Counter()
        self._log = log

    def record(self, invariant: Invariant, detail: str) -> None:
        """Count and log a violation of the invariant."""
        self.violations[invariant] += 1
        self._log(f"{LOG_PREFIX}: {invariant}: {detail}", LOG_SOURCE)
