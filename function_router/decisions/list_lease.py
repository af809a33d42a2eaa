"""The lease on the endpoint list, which the heartbeats of the endpoint log renew.

A heartbeat shows that the list was complete when it was sent. If it arrives late, it shows only that the list
was complete some time ago. The first heartbeat starts the lease, as nobody knows how old the list in the
configuration of a new process is.

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

# Maximum lateness of a heartbeat that renews the lease. If the log is later, restarts of workers are as
# unknown as their drains.
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
    def known_as_of_ms(self) -> float:
        """The time of the list's events: that of the last confirmation or, without one, of the startup."""
        return self._followed_since_ms if self.complete_as_of_ms is None else self.complete_as_of_ms

    @property
    def expires_ms(self) -> float:
        """The time at which the lease ends unless it is renewed.

        A list that the log has never confirmed has no lease, nor has one while the log is late.
        """
        if self.complete_as_of_ms is None:
            return -math.inf if self._followed_since_ms < math.inf else math.inf
        if self._is_late:
            return -math.inf
        return min(self._interrupted_ms + self._interrupted_lease_ms, self.complete_as_of_ms + self._lease_ms)

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the lease is valid."""
        return now_ms < self.expires_ms

    def record_confirmed(self, confirmation: EndpointListConfirmed, now_ms: float) -> bool:
        """Renew the lease, unless the log is late.

        Returns:
            Whether the list is up to date, so that it supersedes what workers have reported.
        """
        as_of_ms = confirmation.as_of_ms
        if self.complete_as_of_ms is None or as_of_ms > self.complete_as_of_ms:
            self.complete_as_of_ms = as_of_ms
        self._interrupted_ms = math.inf
        self._is_late = confirmation.arrived_ms - as_of_ms > MAX_LATENESS_MS
        return not self._is_late and now_ms - as_of_ms <= MAX_UP_TO_DATE_AGE_MS

    def record_interrupted(self, now_ms: float) -> None:
        """Let the lease expire, as the router is not connected to the log.

        Its remaining time counts from the first interruption since the last confirmation.
        """
        self._interrupted_ms = min(self._interrupted_ms, now_ms)
        self._followed_since_ms = min(self._followed_since_ms, now_ms)
