"""Leases on the endpoint list and on single workers, which decide whether a worker may get new work.

The endpoint log reports past states. Its heartbeats renew a lease on the whole list (`list_lease`). Without
that lease, a worker may have drained or restarted unnoticed. New work then goes only to workers with a lease
of their own, which they get by answering a health check with ready. A lease starts when the health check is
sent. It ends before the drain grace, which is how long new work may still go to a worker after its drain is
announced, by so much that the worker itself may learn of its drain later than the log. (Leases: Gray and
Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.)

A worker that rejects new work is full, or has drained unnoticed. Unless the list shows for certain that it is
ready, it gets no more until it has answered another health check.

A lease covers one process. A health check is answered on one connection. A connection that is established
later may reach another process, which needs a health check of its own. The worker is assumed to have
restarted, and to be in slow start, if it has drained, become unresponsive or lost a connection since the
earlier process was last known to run.
"""

import math
from enum import Enum, auto

from msgspec import Struct

from function_router.decisions.actions import CheckHealth, LogMessage
from function_router.decisions.events import EndpointListConfirmed, HealthChecked
from function_router.decisions.list_lease import NOTICE_LAG_FRACTION, ListLease
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import RECHECK_INTERVAL_MS, Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import LeaseKind, Readiness, WorkerState
from function_router.decisions.workers import WorkerTable

# How long before the end of the drain grace a lease ends. This allows for the transfer of a frame to the
# worker, and for a stall of the process between the check of the lease and the write.
LEASE_MARGIN_MS = 100.0

# Minimum duration of a lease, as a fraction of the drain grace, however short the drain grace is.
MIN_LEASE_FRACTION = 0.5

# How long before its end a lease in use is renewed, so that requests rarely wait for a health check.
RENEWAL_LEAD_MS = 100.0

# Workers in use get a first health check this long before the lease on the list ends. The time has to be
# short, as the lease is usually renewed shortly before.
CHECK_LEAD_MS = 10.0

# How long requests wait for the answer to a health check before they look for another worker. This is several
# round trips.
CHECK_WAIT_MS = 60.0

# After this time, a health check no longer counts as pending. Its end will never be reported, for example
# because an exception has prevented that.
CHECK_EXPIRY_MS = 5_000.0

# Maximum interval between health checks of a worker that doesn't answer or is draining. The interval begins
# at RECHECK_INTERVAL_MS and doubles with each check.
MAX_RECHECK_INTERVAL_MS = 4_000.0

# How long a worker's own report of its drain remains valid, even if a current list contradicts it. The log
# may publish a drain 4 s late.
DRAIN_REPORT_TTL_MS = 5_000.0


class LeaseStatus(Enum):
    """Whether a worker may get new work now."""

    VALID = auto()  # the lease on the list or that of the worker is valid
    PENDING = auto()  # neither lease is valid, but a health check of the worker is pending
    MISSING = auto()  # neither lease is valid, and no health check is pending


class LeaseInUse(Struct, frozen=True):
    """The lease by which new work may go to a worker, and the time of the evidence for it.

    Attributes:
        kind: Which lease it is.
        as_of_ms: When the list was complete, or when the health check was sent; None if there is no lease, or
            one that nothing has ended so far.
    """

    kind: LeaseKind
    as_of_ms: float | None


class EndpointLeases:
    """Owns the lease on the endpoint list and those of single workers, which are stored in their records.

    If no event about the log ever arrives, as in the simulator, the list is always current.
    """

    def __init__(self, settings: Settings, workers: WorkerTable, outbox: Outbox) -> None:
        grace_ms = settings.drain_grace_ms
        self._grace_ms = grace_ms
        margin_ms = LEASE_MARGIN_MS + NOTICE_LAG_FRACTION * grace_ms
        self._lease_ms = max(grace_ms * MIN_LEASE_FRACTION, grace_ms - margin_ms)
        interrupted_lease_ms = max(grace_ms * MIN_LEASE_FRACTION, grace_ms - LEASE_MARGIN_MS)
        self._list = ListLease(grace_ms, interrupted_lease_ms)
        self._workers = workers
        self._outbox = outbox
        # By id, the workers with results of health checks that the list has not superseded yet.
        self._checked: dict[int, Worker] = {}

    # --- the list -------------------------------------------------------------------------------

    def is_list_current(self, now_ms: float) -> bool:
        """Return whether the lease on the list is valid."""
        return self._list.is_valid(now_ms)

    def record_confirmed(self, confirmation: EndpointListConfirmed, now_ms: float) -> bool:
        """Renew the lease on the list, unless the log is late, and clear what the list supersedes.

        Returns:
            Whether the set of ready workers has changed.
        """
        ready = self._workers.ready
        if self._list.record_confirmed(confirmation, now_ms):
            self._clear_outdated_answers(confirmation.as_of_ms, is_settled=self._list.is_settled(now_ms))
        return self._workers.ready is not ready

    def _clear_outdated_answers(self, as_of_ms: float, *, is_settled: bool) -> None:
        """Clear assumed starts of workers, and drains and rejections that the list should have shown then."""
        for worker in list(self._checked.values()):
            worker.assumed_started_ms = None
            lease = worker.lease
            if is_settled:
                lease.rejected_ms = None
            drain_reported_ms = lease.drain_reported_ms
            if drain_reported_ms is not None and as_of_ms - drain_reported_ms > DRAIN_REPORT_TTL_MS:
                self._workers.set_drain_reported(worker, None)
            if lease.drain_reported_ms is None and lease.rejected_ms is None:
                del self._checked[worker.id]

    def record_changed(self, now_ms: float) -> None:
        """Shorten the lease on the list for some time, as a worker in it has changed."""
        self._list.record_changed(now_ms)

    def record_interrupted(self, now_ms: float) -> None:
        """Let the lease on the list expire, as the router is not connected to the log."""
        self._list.record_interrupted(now_ms)

    # --- workers --------------------------------------------------------------------------------

    def check_lease(self, worker: Worker, function: str, now_ms: float, *, may_check: bool) -> LeaseStatus:
        """Return whether a worker may get new work now. Send a health check if its leases end soon.

        Args:
            worker: A worker that is ready according to the list.
            function: Name of the function that needs the worker. The health check is added to the traces of
                this function's requests.
            now_ms: The current time.
            may_check: Whether a health check may be sent.
        """
        expires_ms = max(
            self._list_expires_ms(worker) - CHECK_LEAD_MS, self._expires_ms(worker) - RENEWAL_LEAD_MS
        )
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
        """Return whether the lease on the list or that of the worker is valid."""
        return now_ms < max(self._list_expires_ms(worker), self._expires_ms(worker))

    def connection_cutoff_ms(self, worker_id: int, now_ms: float) -> float:
        """Return the time by which a connection to a worker must have been established to carry new work now.

        Later connections may lead to another process than the one that answered the health check.

        Returns:
            The time; infinity if every connection may, minus infinity if none may.
        """
        worker = self._workers.by_id.get(worker_id)
        if worker is not None and worker.lease.drain_reported_ms is not None:
            return -math.inf
        if now_ms < self._list_expires_ms(worker):
            return math.inf
        if worker is None or now_ms >= self._expires_ms(worker):
            return -math.inf
        return worker.lease.ready_as_of_ms

    def is_within_grace(self, worker_id: int, at_ms: float) -> bool:
        """Return whether new work that was sent at `at_ms` was within the drain grace, as far as is known.

        The lease on the list counts as longer by a margin, as a write may be delayed after its check. That of
        a worker counts as the whole grace.
        """
        worker = self._workers.by_id.get(worker_id)
        within_ms = self._list.longest_expires_ms + LEASE_MARGIN_MS
        if worker is not None:
            within_ms = max(within_ms, worker.lease.process_seen_ms + self._grace_ms)
        return at_ms < within_ms

    def lease_in_use(self, worker_id: int, now_ms: float) -> LeaseInUse:
        """Return the lease by which new work may go to a worker now; for the log, not for decisions."""
        worker = self._workers.by_id.get(worker_id)
        if now_ms < self._list_expires_ms(worker):
            return LeaseInUse(LeaseKind.LIST, self._list.complete_as_of_ms)
        if worker is not None and now_ms < self._expires_ms(worker):
            return LeaseInUse(LeaseKind.WORKER, worker.lease.ready_as_of_ms)
        return LeaseInUse(LeaseKind.NONE, None)

    def revoke(self, worker: Worker) -> None:
        """Revoke the lease of a worker, which may run a different process by now."""
        worker.lease.ready_as_of_ms = -math.inf

    def record_rejected(self, worker: Worker, now_ms: float) -> None:
        """Withhold new work from a worker that rejected some, unless the list is settled.

        It gets new work again once it has answered a later health check, or the list is settled.
        """
        if self._list.is_settled(now_ms):
            return
        self.revoke(worker)
        worker.lease.rejected_ms = now_ms
        self._checked[worker.id] = worker

    def _list_expires_ms(self, worker: Worker | None) -> float:
        """Return when the lease on the list ends for a worker; a worker that rejected new work has none."""
        if worker is not None and worker.lease.rejected_ms is not None:
            return -math.inf
        return self._list.expires_ms

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
        """Record the end of a health check.

        Returns:
            Whether the set of ready workers has changed.
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
        """Grant a lease. If the answer may have come from a new process, the worker is in slow start."""
        lease = worker.lease
        if self._may_have_restarted(worker, event):
            worker.assumed_started_ms = event.connected_at_ms
            worker.recount_slow_start_sends()
            self._outbox.add(LogMessage(f"worker {worker.id} is ready, perhaps restarted"))
        elif lease.drain_reported_ms is not None:
            self._outbox.add(LogMessage(f"worker {worker.id} is ready again"))
        if lease.rejected_ms is not None and event.sent_at_ms > lease.rejected_ms:
            lease.rejected_ms = None
        if lease.rejected_ms is None:
            lease.ready_as_of_ms = max(lease.ready_as_of_ms, event.sent_at_ms)
        lease.process_seen_ms = max(lease.process_seen_ms, event.sent_at_ms)
        lease.next_check_ms = -math.inf
        lease.recheck_interval_ms = RECHECK_INTERVAL_MS
        self._workers.set_drain_reported(worker, None)

    def _may_have_restarted(self, worker: Worker, event: HealthChecked) -> bool:
        """Return whether a worker has answered on a connection that may lead to a new process.

        A connection that is no newer than the last evidence of the current process leads to that process. A
        newer one may lead to a new process if the worker has drained, become unresponsive or lost a
        connection since that evidence.
        """
        lease = worker.lease
        process_seen_ms = max(self._list.known_as_of_ms, lease.process_seen_ms)
        if event.connected_at_ms <= process_seen_ms:
            return False
        disruptions_ms = [event.connection_lost_at_ms, lease.drain_reported_ms, worker.unresponsive_since_ms]
        return any(time_ms is not None and time_ms > process_seen_ms for time_ms in disruptions_ms)

    def recheck_draining(self, now_ms: float) -> None:
        """Send health checks to the workers that have reported a drain, each at its own interval.

        They get no requests, so nothing else would show that one of them is ready again.
        """
        if self.is_list_current(now_ms):
            return
        for worker in self._checked.values():
            is_listed_ready = worker.endpoint.state == WorkerState.READY
            if is_listed_ready and worker.lease.drain_reported_ms is not None:
                self._send_check(worker, "", now_ms)

    def remove_worker(self, worker: Worker) -> None:
        """Drop a worker whose record is evicted."""
        self._checked.pop(worker.id, None)
