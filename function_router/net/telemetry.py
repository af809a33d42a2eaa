"""What a router reports of itself: the log, counters that are logged every few seconds, and invariants."""

from collections import Counter
from dataclasses import dataclass, field

from function_router.net.invariants import InvariantMonitor
from function_router.net.log import RateLimitedLog

# The names of the counters. Some have a reason's name behind them.
REQUESTS = "requests"
START_ORDERS = "start orders"
PROBES = "probes"
CONNECTS = "connects"
CLOSED = "closed"  # connections to workers; the close reason
NOT_STARTED = "not started"  # exchanges; the refusal
ACCEPTED = "clients accepted"
CLIENTS_CLOSED = "clients closed"  # connections of clients; the close reason
ANSWERS = "answers"  # final ones; which kind
VIOLATIONS = "invariants violated"  # since the start


@dataclass(slots=True)
class Telemetry:
    """The log, the counters since the last line that logged them, and the run-time checks."""

    log: RateLimitedLog
    counters: Counter[str] = field(default_factory=Counter)
    invariants: InvariantMonitor = field(init=False)

    def __post_init__(self) -> None:
        """Let the run-time checks write to the same log."""
        self.invariants = InvariantMonitor(self.log)

    def count(self, name: str, detail: str = "") -> None:
        """Count one more; `detail` distinguishes counters of the same name."""
        self.counters[f"{name} {detail}" if detail else name] += 1

    def take_counters(self) -> str:
        """The counters as one line, which begin again at 0; empty where nothing was counted."""
        counters = dict(self.counters)
        self.counters.clear()
        if violations := self.invariants.violations.total():
            counters[VIOLATIONS] = violations
        return ", ".join(f"{name} {count}" for name, count in sorted(counters.items()))
