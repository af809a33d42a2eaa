"""Whether a worker's answer to a health check has contradicted the endpoint list.

A worker that answers a health check with ready may only say that it still accepts work: no protocol states
how soon after the publication of its drain it answers otherwise. So one of the workers that drain according
to the list gets a health check some time later. If it answers with ready, the workers' answers prove nothing.

The list may show the drain some seconds late, when a new process has taken the worker's address. Only an
answer on a connection from long before the drain arrived is that of the process that drains.
"""

import math

from msgspec import Struct

from function_router.decisions.events import HealthChecked
from function_router.decisions.records import Worker
from function_router.decisions.types import Readiness, WorkerState

# Minimum interval of the health checks of draining workers, which are only for this component.
VERIFICATION_INTERVAL_MS = 2_000.0

# Maximum time from the drain of a worker until the list shows it.
MAX_LIST_LAG_MS = 10_000.0


class ListedDrain(Struct, frozen=True):
    """A drain that the list has shown.

    Attributes:
        worker: The worker.
        arrived_ms: When it arrived.
    """

    worker: Worker
    arrived_ms: float


class DrainReports:
    """Owns the drains that are to be verified by a health check, and what the answers have shown.

    Attributes:
        are_contradicted: Whether a worker was ready although the list showed its drain.
    """

    def __init__(self, max_lag_ms: float) -> None:
        """Create the component.

        Args:
            max_lag_ms: Maximum time from the publication of a drain to when the worker reports it.
        """
        self._max_lag_ms = max_lag_ms
        self._verified: ListedDrain | None = None  # the drain that is being verified
        self._started_ms = -math.inf  # when the last verification began
        self.are_contradicted = False

    def record_drains(self, draining: list[Worker], now_ms: float) -> None:
        """Select one of the workers whose drain has just arrived for verification, unless it is too soon."""
        if draining and not self.are_contradicted and now_ms - self._started_ms >= VERIFICATION_INTERVAL_MS:
            self._started_ms = now_ms
            self._verified = ListedDrain(draining[0], now_ms)

    def worker_to_check(self, now_ms: float) -> Worker | None:
        """Return the worker that is due for a health check now; None if there is none."""
        drain = self._verified
        if drain is None or now_ms - drain.arrived_ms < self._max_lag_ms:
            return None
        if drain.worker.endpoint.state is not WorkerState.DRAINING:
            self._verified = None
            return None
        return drain.worker

    def record_answer(self, worker: Worker, event: HealthChecked) -> bool:
        """Record the answer to a health check.

        Returns:
            Whether it contradicts the list, and is the first answer that does.
        """
        drain = self._verified
        if drain is None or drain.worker is not worker:
            return False
        if event.sent_at_ms - drain.arrived_ms < self._max_lag_ms:
            return False
        self._verified = None
        is_draining = worker.endpoint.state is WorkerState.DRAINING
        is_same_process = drain.arrived_ms - event.connected_at_ms >= MAX_LIST_LAG_MS
        self.are_contradicted = is_draining and is_same_process and event.readiness is Readiness.READY
        return self.are_contradicted
