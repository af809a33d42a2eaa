"""The rules that a run has to keep, and the violations that the checker finds."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

MEASUREMENT_SLACK_S = 0.05  # delay of the observers, in addition to the slack of a rule
MAX_EXAMPLES = 3  # per rule in a report


class Rule(StrEnum):
    """The rules, each named after its violation; the values are texts of the report."""

    LOST = "request without its one answer in time"
    DUPLICATE = "second answer, or a body that no worker made"
    CLIENT_GONE = "attempt for a client that has gone"
    TIMEOUT = "worker sent more time than the client has left"
    RETRY = "attempt that the class does not allow"
    SCOPE = "repeat outside of the cell in which the request may have run"
    REJECTED_AFTER_RUN = "rejection of what may have run"
    DRAIN = "new work to a draining or removed worker"
    SLOW_START = "overload of a worker in slow start"
    START_ORDER_RATE = "more start orders than the rate limit allows"
    CRASH = "router that ended by itself"
    NOT_READY = "router that was not ready in time"
    BAD_CLIENT = "bad client without rejection, error or close"
    MEMORY = "router over its memory limit"
    LOGGED_ERROR = "error in a router's log"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule; `example` has the ids and times by which to find it in the records."""

    rule: Rule
    example: str


@dataclass
class CheckResult:
    """The result of checking a run.

    Attributes:
        violations: The number of violations of each rule.
        examples: The first violations of each rule.
        figures: Counts of observations for the report.
    """

    violations: Counter[Rule] = field(default_factory=Counter)
    examples: dict[Rule, list[str]] = field(default_factory=lambda: defaultdict(list))
    figures: Counter[str] = field(default_factory=Counter)

    def add(self, violations: Iterable[Violation]) -> None:
        """Count violations, and keep the first `MAX_EXAMPLES` of each rule."""
        for violation in violations:
            self.violations[violation.rule] += 1
            if len(self.examples[violation.rule]) < MAX_EXAMPLES:
                self.examples[violation.rule].append(violation.example)
