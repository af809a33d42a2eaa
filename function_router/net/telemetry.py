"""Telemetry of a router: the log, counters that are logged periodically, and run-time checks."""

from collections import Counter

from function_router.net.invariants import InvariantMonitor
from function_router.net.log import RateLimitedLog

# Names of the counters, as they are logged. A counter with a detail is counted separately for each detail.
# ATTEMPTS, START_ORDERS and PROBES are counted before the exchange is passed to a worker's connections, so
# they include exchanges that are counted as NOT_SENT afterwards.
ATTEMPTS = "attempts"
START_ORDERS = "start orders"
PROBES = "probes"
SENT = "sent by"  # attempts and start orders of which a byte was written; detail: the lease
HEALTH_CHECKS = "health checks"  # ended health checks; detail: the readiness, or the outcome on failure
WITHHELD = "withheld"  # requests not sent to a worker without a valid lease, once per request and worker
ENDPOINT_LOG_REQUESTS = "endpoint log requests"  # further connections; detail: answered, if followed
WORKER_CONNECTS = "connects"  # started connections to workers
WORKER_CONNECTIONS_CLOSED = "closed"  # closed connections to workers; detail: the close reason
NOT_SENT = "not sent"  # exchanges that were not sent; detail: the reason
CLIENTS_ACCEPTED = "clients accepted"
CLIENTS_CLOSED = "clients closed"  # closed connections of clients; detail: the close reason
READING_PAUSED = "reading paused"  # clients that are not read for want of memory; detail: the share
CLIENTS_OVER_SHARE = "clients closed over share"  # clients that used too much memory; detail: the share
REJECTED = "rejected"  # requests that were not admitted; detail: the limit that was reached
ANSWERS = "answers"  # final answers to admitted requests; detail: the kind of answer
VIOLATIONS = "invariants violated"  # violations since the start


class Telemetry:
    """Collects the log lines, counters and run-time checks of all components of the router.

    Attributes:
        log: Writes the log lines.
        counters: The counters since they were last logged.
        invariants: The run-time checks, which write to the same log.
    """

    __slots__ = ("_taken", "counters", "invariants", "log")

    def __init__(self, log: RateLimitedLog) -> None:
        self.log = log
        self.counters: Counter[str] = Counter()
        self._taken: Counter[str] = Counter()  # those that were logged
        self.invariants = InvariantMonitor(log)

    def count(self, name: str, detail: str = "") -> None:
        """Add one to a counter; `detail` distinguishes counters of the same name."""
        self.counters[f"{name} {detail}" if detail else name] += 1

    def total(self, name: str) -> int:
        """Return the value of a counter without a detail since the start."""
        return self._taken[name] + self.counters[name]

    def take_counters(self) -> str:
        """Return the counters as one line and reset them; the line is empty if nothing was counted."""
        counters = dict(self.counters)
        self._taken.update(self.counters)
        self.counters.clear()
        if violations := self.invariants.violations.total():
            counters[VIOLATIONS] = violations
        return ", ".join(f"{name} {count}" for name, count in sorted(counters.items()))
