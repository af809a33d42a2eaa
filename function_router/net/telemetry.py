"""What a router reports about itself: the log, counters that are logged periodically, and run-time checks."""

from collections import Counter

from function_router.net.invariants import InvariantMonitor
from function_router.net.log import RateLimitedLog

# Names of the counters, in the log too. Those with a detail are counted for each detail.
ATTEMPTS = "attempts"
START_ORDERS = "start orders"
PROBES = "probes"
HEALTH_CHECKS = "health checks"  # detail: what the worker answered
WITHHELD = "withheld"  # requests from workers that are not proven to be ready, once for each of both
WORKER_CONNECTS = "connects"  # connections to workers that were begun
WORKER_CONNECTIONS_CLOSED = "closed"  # connections to workers; detail: the close reason
NOT_SENT = "not sent"  # exchanges; detail: the reason not to send
CLIENTS_ACCEPTED = "clients accepted"
CLIENTS_CLOSED = "clients closed"  # connections of clients; detail: the close reason
ANSWERS = "answers"  # final ones; detail: their kind
VIOLATIONS = "invariants violated"  # since the start


class Telemetry:
    """What all parts of the router report to.

    Attributes:
        log: where log lines go.
        counters: the counters since they were last logged.
        invariants: the run-time checks, which write to the same log.
    """

    __slots__ = ("counters", "invariants", "log")

    def __init__(self, log: RateLimitedLog) -> None:
        self.log = log
        self.counters: Counter[str] = Counter()
        self.invariants = InvariantMonitor(log)

    def count(self, name: str, detail: str = "") -> None:
        """Add one to a counter; `detail` distinguishes counters of the same name."""
        self.counters[f"{name} {detail}" if detail else name] += 1

    def take_counters(self) -> str:
        """Return the counters as one line and set them back to 0; empty where nothing was counted."""
        counters = dict(self.counters)
        self.counters.clear()
        if violations := self.invariants.violations.total():
            counters[VIOLATIONS] = violations
        return ", ".join(f"{name} {count}" for name, count in sorted(counters.items()))
