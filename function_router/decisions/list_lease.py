"""The lease on the endpoint list, which the endpoint log renews.

A heartbeat of the log, or its answer to a request, shows that the list was complete when it was sent. The
lease lasts from that time on, however late the line arrives. The first line starts the lease, as nobody knows
how old the list in the configuration of a new process is.

Restarts of workers have no grace. A list whose log is late shows them only up to when it was complete.

An event counts as published once it is in the log, so a heartbeat with the number of the last event shows
that no later event was published when it was sent.
"""

import math

from function_router.decisions.events import EndpointListConfirmed

# Interval of the heartbeats of the endpoint log.
HEARTBEAT_INTERVAL_MS = 1_000.0

# How long the lease lasts beyond the drain grace, or beyond the interval of heartbeats if that is longer, so
# that the next heartbeat may arrive some milliseconds late. On sockets, the operator allows each time limit
# 50 ms more.
LIST_LEASE_ALLOWANCE_MS = 40.0

# Maximum lateness of a heartbeat of a log that is in time, and therefore shows restarts of workers at once.
MAX_LATENESS_MS = 100.0

# Maximum age of the list at which it supersedes what workers have reported.
MAX_UP_TO_DATE_AGE_MS = 100.0


class ListLease:
    """Owns the time at which the list was last known to be complete, and when the lease on it ends.

    If no event about the log ever arrives, as in the simulator, the lease never ends.

    Attributes:
        complete_as_of_ms: The latest time at which the list is known to have been complete; None before the
            first confirmation.
    """

    def __init__(self, drain_grace_ms: float, interrupted_lease_ms: float) -> None:
        """Create the lease on a list that was never confirmed.

        Args:
            drain_grace_ms: How long new work may go to a worker after its drain is announced.
            interrupted_lease_ms: Maximum duration of the lease once the router does not follow the log.
        """
        self.complete_as_of_ms: float | None = None
        self._lease_ms = max(drain_grace_ms, HEARTBEAT_INTERVAL_MS) + LIST_LEASE_ALLOWANCE_MS
        self._interrupted_lease_ms = interrupted_lease_ms
        self._is_late = False  # whether the last confirmation arrived late
        self._interrupted_ms = math.inf  # time of the first interruption since the last confirmation
        self._followed_since_ms = math.inf  # time of the first interruption, which is reported at startup

    @property
    def expires_ms(self) -> float:
        """When the lease ends. A list that was never confirmed has no lease."""
        if self.complete_as_of_ms is None:
            return -math.inf if self._followed_since_ms < math.inf else math.inf
        return min(self._interrupted_ms + self._interrupted_lease_ms, self.complete_as_of_ms + self._lease_ms)

    @property
    def missing_since_ms(self) -> float:
        """When the lease ended or will end; after a start, when the first heartbeat was due."""
        if self.complete_as_of_ms is None:
            return self._followed_since_ms + HEARTBEAT_INTERVAL_MS
        return self.expires_ms

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the lease is valid."""
        return now_ms < self.expires_ms

    def shows_restarts_until_ms(self, now_ms: float) -> float:
        """Return until when the list shows the restarts of workers: now, if it is current and in time."""
        if self.is_valid(now_ms) and not self._is_late:
            return now_ms
        return self._followed_since_ms if self.complete_as_of_ms is None else self.complete_as_of_ms

    def record_confirmed(self, confirmation: EndpointListConfirmed, now_ms: float) -> bool:
        """Renew the lease from the time at which the list was complete.

        Returns:
            Whether the list is up to date, so that it supersedes what workers have reported.
        """
        as_of_ms = confirmation.as_of_ms
        if self.complete_as_of_ms is None or as_of_ms > self.complete_as_of_ms:
            self.complete_as_of_ms = as_of_ms
        self._is_late = confirmation.arrived_ms - as_of_ms > MAX_LATENESS_MS
        self._interrupted_ms = math.inf
        return now_ms - as_of_ms <= MAX_UP_TO_DATE_AGE_MS

    def record_interrupted(self, now_ms: float) -> None:
        """Let the lease expire, as the router is not connected to the log.

        Its remaining time counts from the first interruption since the last confirmation.
        """
        self._interrupted_ms = min(self._interrupted_ms, now_ms)
        self._followed_since_ms = min(self._followed_since_ms, now_ms)
