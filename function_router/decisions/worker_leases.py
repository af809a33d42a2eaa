"""Leases of single workers: their answers to health checks, and what these say about drains and restarts.

A health check that is answered with ready grants the worker a lease, which starts when the check is sent. It
ends before the drain grace, which is how long new work may still go to a worker after its drain is announced,
by so much that the worker may report its drain later than the log. (Leases: Gray and Cheriton, "Leases: An
Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.)

A lease covers the process that the list names. A worker may restart, and be ready before the list shows it
as ready again. If it has drained, become unresponsive or lost a connection, and then answers on a newer
connection than before, its answer counts only once the list is current. If it has reported its drain, the
list has to show it as started again.
"""

import math

from function_router.decisions.actions import CheckHealth, LogMessage
from function_router.decisions.events import HealthChecked
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import RECHECK_INTERVAL_MS, Worker
from function_router.decisions.types import Readiness, WorkerState
from function_router.decisions.workers import WorkerTable

# How long before the end of the drain grace a lease ends. This allows for the transfer of a frame to the
# worker, and for a stall of the process between the check of the lease and the write.
LEASE_MARGIN_MS = 100.0

# Maximum time by which a worker may report its drain later than the log has it, as a fraction of the drain
# grace.
REPORT_LAG_FRACTION = 0.4

# Minimum duration of a lease, as a fraction of the drain grace, however short the drain grace is.
MIN_LEASE_FRACTION = 0.5

# After this time, a health check no longer counts as pending. Its end will never be reported, for example
# because an exception has prevented that.
CHECK_EXPIRY_MS = 5_000.0

# Maximum interval between health checks of a worker that doesn't answer or is draining. The interval begins
# at RECHECK_INTERVAL_MS and doubles with each check.
MAX_RECHECK_INTERVAL_MS = 4_000.0

# Interval of the health checks of workers while the list is out of date.
KNOWN_CHECK_INTERVAL_MS = 500.0

# How long a worker's own report of its drain remains valid, even if a current list contradicts it. The list
# may show changes 9 s late.
DRAIN_REPORT_TTL_MS = 15_000.0


class WorkerLeases:
    """Owns the leases of workers, which are stored in their records, and the drains that they report."""

    def __init__(self, drain_grace_ms: float, workers: WorkerTable, outbox: Outbox) -> None:
        report_lag_ms = REPORT_LAG_FRACTION * drain_grace_ms
        min_lease_ms = MIN_LEASE_FRACTION * drain_grace_ms
        self._lease_ms = max(min_lease_ms, drain_grace_ms - LEASE_MARGIN_MS - report_lag_ms)
        self._workers = workers
        self._outbox = outbox
        self._next_check_of_known_ms = -math.inf
        # By id, the workers that have reported a drain which the list has not superseded yet.
        self._draining: dict[int, Worker] = {}

    def expires_ms(self, worker: Worker) -> float:
        """Return when the lease of a worker ends; minus infinity if it has none."""
        return worker.lease.ready_as_of_ms + self._lease_ms

    def revoke(self, worker: Worker, now_ms: float) -> None:
        """Revoke the lease of a worker until it has answered a health check that is sent later.

        It may run a different process by now, or may drain.
        """
        worker.lease.ready_as_of_ms = -math.inf
        worker.lease.revoked_ms = now_ms

    def clear_outdated(self, as_of_ms: float) -> None:
        """Clear the drains that the list should have shown at `as_of_ms`."""
        for worker in list(self._draining.values()):
            drain_reported_ms = worker.lease.drain_reported_ms
            if drain_reported_ms is not None and as_of_ms - drain_reported_ms > DRAIN_REPORT_TTL_MS:
                self._workers.set_drain_reported(worker, None)
            if worker.lease.drain_reported_ms is None:
                del self._draining[worker.id]

    def remove_worker(self, worker: Worker) -> None:
        """Drop a worker whose record is evicted."""
        self._draining.pop(worker.id, None)

    # --- health checks --------------------------------------------------------------------------

    def send_check(self, worker: Worker, function: str, now_ms: float) -> None:
        """Send a health check, unless one is pending or it is too soon for another one.

        Args:
            worker: The worker.
            function: Name of the function to whose traces the health check is added; may be empty.
            now_ms: The current time.
        """
        lease = worker.lease
        is_pending = lease.pending_check_ms is not None and now_ms - lease.pending_check_ms < CHECK_EXPIRY_MS
        if is_pending or now_ms < lease.next_check_ms:
            return
        lease.pending_check_ms = now_ms
        self._outbox.add(CheckHealth(worker.id, function))

    def check_known(self, now_ms: float) -> None:
        """Send health checks to all workers that have answered one, each at an interval.

        Their answers show drains that the list does not show.
        """
        if now_ms < self._next_check_of_known_ms:
            return
        self._next_check_of_known_ms = now_ms + KNOWN_CHECK_INTERVAL_MS
        for worker in self._workers.ready:
            if worker.lease.process_seen_ms > -math.inf:
                self.send_check(worker, "", now_ms)

    def recheck_draining(self, now_ms: float) -> None:
        """Send health checks to the workers that have reported a drain, each at its own interval.

        They get no requests, so nothing else would show that one of them is ready again.
        """
        for worker in self._draining.values():
            is_listed_ready = worker.endpoint.state == WorkerState.READY
            if is_listed_ready and worker.lease.drain_reported_ms is not None:
                self.send_check(worker, "", now_ms)

    # --- answers --------------------------------------------------------------------------------

    def record_answer(
        self, worker: Worker, event: HealthChecked, now_ms: float, listed_until_ms: float
    ) -> bool:
        """Record the end of a health check.

        Args:
            worker: The worker.
            event: The end of the health check.
            now_ms: The current time.
            listed_until_ms: Until when the list shows the restarts of workers.

        Returns:
            Whether the set of ready workers has changed.
        """
        ready = self._workers.ready
        worker.lease.pending_check_ms = None
        if worker.endpoint.state is not WorkerState.READY:
            return False
        if event.readiness is Readiness.READY and not self._may_have_restarted(
            worker, event, listed_until_ms
        ):
            self._record_ready(worker, event)
        elif event.readiness is not Readiness.UNKNOWN or listed_until_ms < now_ms:
            self._delay_next_check(worker, now_ms)
        if event.readiness is Readiness.DRAINING:
            self._record_draining(worker, now_ms)
        return self._workers.ready is not ready

    def _may_have_restarted(self, worker: Worker, event: HealthChecked, listed_until_ms: float) -> bool:
        """Return whether a worker has answered on a connection that may lead to a new process, and log it.

        A connection that is no newer than the last evidence of the current process leads to that process. A
        newer one may lead to a new process if the worker has drained, become unresponsive or lost a
        connection since that evidence.
        """
        drain_reported_ms = worker.lease.drain_reported_ms
        if drain_reported_ms is not None:
            # The list may be some seconds behind, so it is no evidence against the worker's own report.
            may_have_restarted = event.connected_at_ms > drain_reported_ms
        else:
            seen_ms = max(worker.lease.process_seen_ms, listed_until_ms)
            disruptions_ms = [event.connection_lost_at_ms, worker.unresponsive_since_ms]
            was_disrupted = any(time_ms is not None and time_ms > seen_ms for time_ms in disruptions_ms)
            may_have_restarted = event.connected_at_ms > seen_ms and was_disrupted
        if may_have_restarted:
            self._outbox.add(LogMessage(f"worker {worker.id} is ready, perhaps restarted"))
        return may_have_restarted

    def _delay_next_check(self, worker: Worker, now_ms: float) -> None:
        lease = worker.lease
        lease.next_check_ms = now_ms + lease.recheck_interval_ms
        lease.recheck_interval_ms = min(MAX_RECHECK_INTERVAL_MS, 2 * lease.recheck_interval_ms)

    def _record_draining(self, worker: Worker, now_ms: float) -> None:
        self.revoke(worker, now_ms)
        if worker.lease.drain_reported_ms is None:
            self._outbox.add(LogMessage(f"worker {worker.id} says that it is draining"))
        self._draining[worker.id] = worker
        self._workers.set_drain_reported(worker, now_ms)

    def _record_ready(self, worker: Worker, event: HealthChecked) -> None:
        """Grant a lease, unless the last one was revoked after the health check was sent."""
        lease = worker.lease
        if lease.drain_reported_ms is not None:
            self._outbox.add(LogMessage(f"worker {worker.id} is ready again"))
        if event.sent_at_ms > lease.revoked_ms:
            lease.ready_as_of_ms = max(lease.ready_as_of_ms, event.sent_at_ms)
        lease.process_seen_ms = max(lease.process_seen_ms, event.sent_at_ms)
        lease.next_check_ms = -math.inf
        lease.recheck_interval_ms = RECHECK_INTERVAL_MS
        self._workers.set_drain_reported(worker, None)
