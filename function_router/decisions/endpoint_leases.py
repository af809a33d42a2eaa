"""Leases: until when the endpoint list may be believed, and after that, which workers may get new work.

What the endpoint log says is a fact of the past. While the log is in reach, its heartbeats renew a lease on
the whole list. When that lease has expired, a worker may have drained or restarted without notice, so new
work goes only to workers with a lease of their own: they have just answered a health check that they are
ready. A lease counts from when its question was asked, and ends before the operator's grace for sends to a
draining worker does. (Leases: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
Distributed File Cache Consistency", 1989.)

A lease covers one process. A health check is answered on one connection; what connects later may reach
another process, which needs a proof of its own and, where the earlier one is known to have gone, is in slow
start.
"""

import math
from enum import Enum, auto

from function_router.decisions.actions import CheckHealth, LogMessage
from function_router.decisions.events import HealthChecked
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import Readiness, WorkerState
from function_router.decisions.workers import WorkerTable

# The network asks a log that is silent for this long again, and what the log has to say counts as notified
# from then on. Its heartbeats come each second.
MAX_LOG_SILENCE_MS = 2_000.0

# A lease ends this long before the grace for sends does: for the way of a frame to the worker, and for a
# stall of the process between the check of the lease and the write.
LEASE_MARGIN_MS = 100.0

# However short the grace is, a lease lasts for this fraction of it.
MIN_LEASE_FRACTION = 0.5

# A lease in use is renewed this long before it ends, so that requests rarely wait for a health check.
RENEWAL_LEAD_MS = 150.0

# Workers that get work are asked already this long before the lease on the list ends. It has to be short, as
# the list is often confirmed late where the log was only restarted or moved.
CHECK_LEAD_MS = 250.0

# After this time without an answer, requests look for another worker. It is several round trips.
CHECK_WAIT_MS = 60.0

# A health check whose end was not reported by then never will be: an exception may have prevented it.
CHECK_EXPIRY_MS = 5_000.0

# A worker that gave no answer, or is draining, is asked again after this time; the interval doubles up to the
# maximum.
RECHECK_INTERVAL_MS = 1_000.0
MAX_RECHECK_INTERVAL_MS = 4_000.0

# What a worker said of its drain is believed for this long, even if a list that is current says otherwise:
# the log may publish a drain 4 s late.
DRAIN_REPORT_TTL_MS = 5_000.0


class LeaseStatus(Enum):
    """Whether a worker may get new work now."""

    VALID = (
        auto()
    )  # the list says that it is ready and may be believed, or the worker has just said so itself
    PENDING = auto()  # it has just been asked
    MISSING = auto()


class EndpointLeases:
    """Owns the lease on the endpoint list, and those of single workers, which are in their records.

    Where the network reports nothing about the log, as in the simulator, the list is always believed.
    """

    def __init__(self, settings: Settings, workers: WorkerTable, outbox: Outbox) -> None:
        grace_ms = settings.drain_grace_ms
        self._lease_ms = max(grace_ms * MIN_LEASE_FRACTION, grace_ms - LEASE_MARGIN_MS)
        self._workers = workers
        self._outbox = outbox
        self._confirmed_ms: float | None = None  # as of when the list was last known to be complete
        self._interrupted_ms = math.inf  # the first interruption since then
        self._followed_since_ms = math.inf
        self._checked: dict[int, Worker] = {}  # by id: workers of which something may have to be forgotten

    # --- the list -------------------------------------------------------------------------------

    @property
    def list_expires_ms(self) -> float:
        """When the lease on the list ends, if it is not renewed."""
        expires_ms = self._interrupted_ms + self._lease_ms
        if self._confirmed_ms is None:
            return expires_ms
        return min(expires_ms, self._confirmed_ms + MAX_LOG_SILENCE_MS + self._lease_ms)

    def is_list_current(self, now_ms: float) -> bool:
        """Whether the lease on the list is valid."""
        return now_ms < self.list_expires_ms

    def record_confirmed(self, as_of_ms: float, now_ms: float) -> bool:
        """Renew the lease on the list, which is complete as of a moment, and forget what it now says better.

        Returns:
            Whether other workers are ready now.
        """
        ready = self._workers.ready
        self._confirmed_ms = max(as_of_ms, self._confirmed_ms or as_of_ms)
        self._interrupted_ms = math.inf
        if self.is_list_current(now_ms):
            self._clear_outdated_answers(now_ms)
        return self._workers.ready is not ready

    def _clear_outdated_answers(self, now_ms: float) -> None:
        """Forget what was assumed of workers, and drains that the list should have by now."""
        for worker in list(self._checked.values()):
            worker.assumed_started_ms = None
            lease = worker.lease
            if lease.drain_reported_ms is None or now_ms - lease.drain_reported_ms > DRAIN_REPORT_TTL_MS:
                self._workers.set_drain_reported(worker, None)
                del self._checked[worker.id]

    def record_interrupted(self, now_ms: float) -> None:
        """Have the lease on the list run out, as the log is not being followed; it may be already."""
        self._interrupted_ms = min(self._interrupted_ms, now_ms)
        self._followed_since_ms = min(self._followed_since_ms, now_ms)

    # --- workers --------------------------------------------------------------------------------

    def check_lease(self, worker: Worker, function: str, now_ms: float, *, may_check: bool) -> LeaseStatus:
        """Say whether a worker may get new work now, and ask it if that is in doubt or will soon be.

        Args:
            worker: A worker that the list has as ready.
            function: The function for which it would get work, for the traces of its requests.
            now_ms: The time.
            may_check: Whether the worker may be asked.
        """
        expires_ms = max(self.list_expires_ms - CHECK_LEAD_MS, self._expires_ms(worker) - RENEWAL_LEAD_MS)
        if now_ms < expires_ms:
            return LeaseStatus.VALID
        if may_check:
            self._send_check(worker, function, now_ms)
        if self.has_valid_lease(worker, now_ms):
            return LeaseStatus.VALID
        pending_check_ms = worker.lease.pending_check_ms
        is_check_pending = pending_check_ms is not None and now_ms - pending_check_ms < CHECK_WAIT_MS
        return LeaseStatus.PENDING if is_check_pending else LeaseStatus.MISSING

    def has_valid_lease(self, worker: Worker, now_ms: float) -> bool:
        """Whether the list may be believed or the worker has a valid lease."""
        return self.is_list_current(now_ms) or now_ms < self._expires_ms(worker)

    def latest_connection_ms(self, worker_id: int, now_ms: float) -> float:
        """Until when a connection to a worker must have been established to carry new work now.

        What was established later may lead to another process than the one that proved to be ready.

        Returns:
            The time; infinite if any connection may, and negative infinite if none may.
        """
        worker = self._workers.by_id.get(worker_id)
        if worker is not None and worker.lease.drain_reported_ms is not None:
            return -math.inf
        if self.is_list_current(now_ms):
            return math.inf
        if worker is None or now_ms >= self._expires_ms(worker):
            return -math.inf
        return worker.lease.ready_as_of_ms

    def is_within_grace(self, worker_id: int, at_ms: float) -> bool:
        """Whether new work that left at some time was within the operator's grace, by all that is known.

        This is the rule itself, without the margins with which the decisions keep it.
        """
        worker = self._workers.by_id.get(worker_id)
        expires_ms = self.list_expires_ms
        if worker is not None:
            expires_ms = max(expires_ms, worker.lease.process_seen_ms + self._lease_ms)
        return at_ms < expires_ms + LEASE_MARGIN_MS

    def revoke(self, worker: Worker) -> None:
        """End the lease of a worker, whose process may be another one by now."""
        worker.lease.ready_as_of_ms = -math.inf

    def _expires_ms(self, worker: Worker) -> float:
        return worker.lease.ready_as_of_ms + self._lease_ms

    def _send_check(self, worker: Worker, function: str, now_ms: float) -> None:
        """Send a health check, unless one is pending or it is too soon for another one."""
        lease = worker.lease
        is_pending = lease.pending_check_ms is not None and now_ms - lease.pending_check_ms < CHECK_EXPIRY_MS
        if is_pending or now_ms < lease.next_check_ms:
            return
        lease.pending_check_ms = now_ms
        self._outbox.add(CheckHealth(worker.id, function))

    # --- answers --------------------------------------------------------------------------------

    def record_answer(self, worker: Worker, event: HealthChecked, now_ms: float) -> bool:
        """Learn from the end of a health check.

        Returns:
            Whether other workers are ready now.
        """
        ready = self._workers.ready
        lease = worker.lease
        lease.pending_check_ms = None
        self._checked[worker.id] = worker
        if event.readiness is Readiness.READY:
            self._record_ready(worker, event)
        else:
            lease.next_check_ms = now_ms + lease.recheck_interval_ms
            lease.recheck_interval_ms = min(MAX_RECHECK_INTERVAL_MS, 2 * lease.recheck_interval_ms)
        if event.readiness is Readiness.DRAINING:
            self._record_draining(worker, now_ms)
        return self._workers.ready is not ready

    def _record_draining(self, worker: Worker, now_ms: float) -> None:
        self.revoke(worker)
        if worker.lease.drain_reported_ms is None:
            self._outbox.add(LogMessage(f"worker {worker.id} says that it is draining"))
        self._workers.set_drain_reported(worker, now_ms)

    def _record_ready(self, worker: Worker, event: HealthChecked) -> None:
        """Grant a lease; where the answer may be that of a new process, that one is in slow start."""
        lease = worker.lease
        if self._may_have_restarted(worker, event):
            worker.assumed_started_ms = event.connected_at_ms
            worker.recount_slow_start_sends()
            self._outbox.add(LogMessage(f"worker {worker.id} is ready, perhaps restarted"))
        elif lease.drain_reported_ms is not None:
            self._outbox.add(LogMessage(f"worker {worker.id} is ready again"))
        lease.ready_as_of_ms = max(lease.ready_as_of_ms, event.asked_at_ms)
        lease.process_seen_ms = max(lease.process_seen_ms, event.asked_at_ms)
        lease.next_check_ms = -math.inf
        lease.recheck_interval_ms = RECHECK_INTERVAL_MS
        self._workers.set_drain_reported(worker, None)

    def _may_have_restarted(self, worker: Worker, event: HealthChecked) -> bool:
        """Whether a worker has answered on a connection that may lead to a new process.

        One that is as old as the last sign of the present process leads to that. A later one may lead to a
        new process if the worker was draining, silent or cut off since that sign.
        """
        lease = worker.lease
        list_as_of_ms = self._followed_since_ms if self._confirmed_ms is None else self._confirmed_ms
        process_seen_ms = max(list_as_of_ms, lease.process_seen_ms)
        if event.connected_at_ms <= process_seen_ms:
            return False
        disruptions_ms = [event.connection_lost_at_ms, lease.drain_reported_ms, worker.unresponsive_since_ms]
        return any(time_ms is not None and time_ms > process_seen_ms for time_ms in disruptions_ms)

    def recheck_draining(self, now_ms: float) -> None:
        """Ask the workers that said that they drain once more, each after its interval.

        Nobody sends to them, so nothing else would show that one of them is ready again.
        """
        if self.is_list_current(now_ms):
            return
        for worker in self._checked.values():
            is_listed_ready = worker.endpoint.state == WorkerState.READY
            if is_listed_ready and worker.lease.drain_reported_ms is not None:
                self._send_check(worker, "", now_ms)

    def remove_worker(self, worker: Worker) -> None:
        """Forget a worker that is gone for good."""
        self._checked.pop(worker.id, None)
