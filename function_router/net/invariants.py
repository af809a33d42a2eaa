"""Run-time checks of the rules that a router has to keep: violations are counted and logged.

A check looks at what has happened, not at what was decided. It changes nothing: a violation is a fault of the
program, which its log and its counters show and the soak test counts.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

LOG_SOURCE = "invariants"  # these lines have a rate limit of their own
LOG_PREFIX = "invariant violated"

# How much later than its deadline an answer may leave: a turn that was held up. Later ones are counted.
MAX_LATENESS_MS = 400.0
# How much more time than its client has left an attempt may state; the operator's slack is 150 ms.
MAX_TIMEOUT_EXCESS_MS = 100.0


class Invariant(StrEnum):
    """What has to hold."""

    ONE_ANSWER = "each request gets one final answer"
    ANSWERED_IN_TIME = "the final answer leaves in time"
    CLOSED_WITH_ANSWERS = "a connection is closed with all its requests answered"
    STARTED_BY_THE_RULES = "the first byte of an exchange leaves only while it may start"
    TIMEOUT_PASSED_ON = "a worker is sent no more time than the client has left"


class InvariantMonitor:
    """Counts and logs violations.

    Attributes:
        violations: how many there were of each invariant since the start.
    """

    def __init__(self, log: Callable[[str, str], None]) -> None:
        """Write a line for each violation to `log`, which takes a text and its source."""
        self.violations: Counter[Invariant] = Counter()
        self._log = log

    def record(self, invariant: Invariant, detail: str) -> None:
        """Count and log a violation of the invariant."""
        self.violations[invariant] += 1
        self._log(f"{LOG_PREFIX}: {invariant}: {detail}", LOG_SOURCE)
