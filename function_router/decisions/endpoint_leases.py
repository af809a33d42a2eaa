"""Leases on the endpoint list and on single workers, which decide whether a worker may get new work.

The endpoint log reports past states. Its heartbeats renew a lease on the whole list (`list_lease`), and a
worker gets a lease of its own by answering a health check with ready (`worker_leases`).

The list may be behind although its heartbeats are in time. So where health checks cost little, a worker gets
new work only with both leases. Where they are expensive, the lease on the list suffices. It also suffices for
a worker that has left its first health check without an answer, as it may be unable to answer any.

Without the lease on the list, a worker may have drained or restarted unnoticed. Its own lease then suffices,
unless a worker's answer has contradicted the list (`drain_reports`). In that case no worker gets new work
until the list is current again.

A worker that rejects new work is full, or has drained unnoticed. If its own lease counts, it gets no more
until it has answered another health check.
"""

import math
from enum import Enum, auto

from msgspec import Struct

from function_router.decisions.events import EndpointListConfirmed, HealthChecked
from function_router.decisions.list_lease import ListLease
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import LeaseKind
from function_router.decisions.worker_leases import LEASE_MARGIN_MS, MIN_LEASE_FRACTION, WorkerLeases
from function_router.decisions.workers import WorkerTable

# How long before its end a lease of a worker in use is renewed, so that requests rarely wait for a health
# check.
RENEWAL_LEAD_MS = 100.0

# Workers in use get a first health check this long before the lease on the list ends. The time has to be
# short, as the lease is usually renewed shortly before.
CHECK_LEAD_MS = 10.0

# How long requests wait for the answer to a health check before they look for another worker. This is several
# round trips.
CHECK_WAIT_MS = 60.0

# Maximum cost of health checks at which new work needs both leases. There is at most one check for each
# request, as only requests renew a worker's lease.
MAX_HEALTH_CHECK_COST = 0.02


class LeaseStatus(Enum):
    """Whether a worker may get new work now."""

    VALID = auto()  # the leases that the worker needs are valid
    PENDING = auto()  # a lease is missing, but a health check of the worker is pending
    MISSING = auto()  # a lease is missing, and no health check is pending


class LeaseInUse(Struct, frozen=True):
    """The lease by which new work may go to a worker, and the time of the evidence for it.

    Attributes:
        kind: Which lease it is.
        as_of_ms: When the list was complete, or when the health check was sent; None if there is no lease, or
            one that nothing has ended so far. With both leases, that of the health check.
    """

    kind: LeaseKind
    as_of_ms: float | None


class EndpointLeases:
    """Owns the lease on the endpoint list and those of single workers, and decides which ones count.

    If no event about the log ever arrives, as in the simulator, the list is always current.
    """

    def __init__(self, settings: Settings, workers: WorkerTable, outbox: Outbox) -> None:
        grace_ms = settings.drain_grace_ms
        self._grace_ms = grace_ms
        interrupted_lease_ms = max(grace_ms * MIN_LEASE_FRACTION, grace_ms - LEASE_MARGIN_MS)
        self._list = ListLease(grace_ms, interrupted_lease_ms)
        self._worker_leases = WorkerLeases(grace_ms, workers, outbox)
        self._are_checks_cheap = settings.health_check_cost <= MAX_HEALTH_CHECK_COST
        self._workers = workers

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
            self._worker_leases.clear_outdated(confirmation.as_of_ms)
        return self._workers.ready is not ready

    def record_interrupted(self, now_ms: float) -> None:
        """Let the lease on the list expire, as the router is not connected to the log."""
        self._list.record_interrupted(now_ms)

    def record_drains(self, draining: list[Worker], now_ms: float) -> None:
        """Record the workers whose drain has just arrived, to verify that they report it."""
        if self._list.complete_as_of_ms is not None:
            self._worker_leases.drain_reports.record_drains(draining, now_ms)

    # --- which leases count ---------------------------------------------------------------------

    @property
    def _asks_workers(self) -> bool:
        """Whether workers get health checks while the list is current."""
        is_confirmed = self._list.complete_as_of_ms is not None
        return (
            self._are_checks_cheap and is_confirmed and not self._worker_leases.drain_reports.are_contradicted
        )

    def _needs_both(self, worker: Worker) -> bool:
        """Return whether a worker needs a lease of its own beside that on the list."""
        return self._asks_workers and worker.lease.process_seen_ms > -math.inf

    def _awaits_first_answer(self, worker: Worker, now_ms: float) -> bool:
        """Return whether the answer to a worker's first health check is to be waited for."""
        lease = worker.lease
        if not self._asks_workers or lease.process_seen_ms > -math.inf:
            return False
        if lease.pending_check_ms is None:
            return not lease.has_been_checked
        return now_ms - lease.pending_check_ms < CHECK_WAIT_MS

    def _list_expires_ms(self, worker: Worker | None) -> float:
        """Return when the lease on the list ends for a worker; a worker that rejected new work has none."""
        if worker is not None and worker.lease.rejected_ms is not None:
            return -math.inf
        return self._list.expires_ms

    def _lease_of(self, worker: Worker, now_ms: float) -> tuple[LeaseKind, float]:
        """Return the leases that count for a worker now, and when the first of them ends."""
        list_expires_ms = self._list_expires_ms(worker)
        own_expires_ms = self._worker_leases.expires_ms(worker)
        if now_ms < list_expires_ms:
            if self._needs_both(worker):
                return LeaseKind.BOTH, min(list_expires_ms, own_expires_ms)
            return LeaseKind.LIST, list_expires_ms
        if not self._worker_leases.drain_reports.are_contradicted:
            return LeaseKind.WORKER, own_expires_ms
        return LeaseKind.NONE, -math.inf

    def check_lease(self, worker: Worker, function: str, now_ms: float, *, may_check: bool) -> LeaseStatus:
        """Return whether a worker may get new work now. Send a health check if a lease ends soon.

        Args:
            worker: A worker that is ready according to the list.
            function: Name of the function that needs the worker. The health check is added to the traces of
                this function's requests.
            now_ms: The current time.
            may_check: Whether a health check may be sent.
        """
        kind, expires_ms = self._lease_of(worker, now_ms)
        if may_check and now_ms >= self._renewal_ms(worker, kind, expires_ms):
            self._worker_leases.send_check(worker, function, now_ms)
        if now_ms < expires_ms and not self._awaits_first_answer(worker, now_ms):
            return LeaseStatus.VALID
        pending_check_ms = worker.lease.pending_check_ms
        is_check_pending = pending_check_ms is not None and now_ms - pending_check_ms < CHECK_WAIT_MS
        return LeaseStatus.PENDING if is_check_pending else LeaseStatus.MISSING

    def _renewal_ms(self, worker: Worker, kind: LeaseKind, expires_ms: float) -> float:
        """Return from when on a health check of a worker is of use; infinity if it is of none."""
        if kind is LeaseKind.NONE:
            return math.inf
        own_renewal_ms = self._worker_leases.expires_ms(worker) - RENEWAL_LEAD_MS
        if kind is not LeaseKind.LIST:
            return own_renewal_ms
        if self._asks_workers:
            return -math.inf
        if self._worker_leases.drain_reports.are_contradicted:
            return math.inf
        return max(expires_ms - CHECK_LEAD_MS, own_renewal_ms)

    def has_valid_lease(self, worker: Worker, now_ms: float) -> bool:
        """Return whether the leases that a worker needs are valid."""
        _, expires_ms = self._lease_of(worker, now_ms)
        return now_ms < expires_ms

    def connection_cutoff_ms(self, worker_id: int, now_ms: float) -> float:
        """Return the time by which a connection to a worker must have been established to carry new work now.

        While the list is out of date, later connections may lead to another process than the one that
        answered the health check.

        Returns:
            The time; infinity if every connection may, minus infinity if none may.
        """
        worker = self._workers.by_id.get(worker_id)
        if worker is None:
            return math.inf if self.is_list_current(now_ms) else -math.inf
        if worker.lease.drain_reported_ms is not None:
            return -math.inf
        kind, expires_ms = self._lease_of(worker, now_ms)
        if now_ms >= expires_ms:
            return -math.inf
        return worker.lease.ready_as_of_ms if kind is LeaseKind.WORKER else math.inf

    def is_within_grace(self, worker_id: int, at_ms: float) -> bool:
        """Return whether new work that was sent at `at_ms` was within the drain grace, as far as is known.

        The lease on the list counts as longer by a margin, as a write may be delayed after its check. That of
        a worker counts as the whole grace.
        """
        worker = self._workers.by_id.get(worker_id)
        within_ms = self._list.expires_ms + LEASE_MARGIN_MS
        if worker is not None:
            within_ms = max(within_ms, worker.lease.process_seen_ms + self._grace_ms)
        return at_ms < within_ms

    def lease_in_use(self, worker_id: int, now_ms: float) -> LeaseInUse:
        """Return the lease by which new work may go to a worker now; for the log, not for decisions."""
        worker = self._workers.by_id.get(worker_id)
        if worker is None:
            return LeaseInUse(LeaseKind.NONE, None)
        kind, expires_ms = self._lease_of(worker, now_ms)
        if kind is LeaseKind.NONE or now_ms >= expires_ms:
            return LeaseInUse(LeaseKind.NONE, None)
        if kind is LeaseKind.LIST:
            return LeaseInUse(kind, self._list.complete_as_of_ms)
        return LeaseInUse(kind, worker.lease.ready_as_of_ms)

    # --- the leases of workers ------------------------------------------------------------------

    def revoke(self, worker: Worker) -> None:
        """Revoke the lease of a worker, which may run a different process by now."""
        self._worker_leases.revoke(worker)

    def record_rejected(self, worker: Worker, now_ms: float) -> None:
        """Withhold new work from a worker that rejected some, if its own lease counts."""
        if not self.is_list_current(now_ms):
            self._worker_leases.record_rejected(worker, now_ms)
        elif self._needs_both(worker):
            self._worker_leases.revoke(worker)

    def record_answer(self, worker: Worker, event: HealthChecked, now_ms: float) -> bool:
        """Record the end of a health check.

        Returns:
            Whether the set of ready workers has changed.
        """
        list_as_of_ms = now_ms if self.is_list_current(now_ms) else self._list.known_as_of_ms
        return self._worker_leases.record_answer(worker, event, now_ms, list_as_of_ms)

    def send_due_checks(self, now_ms: float) -> None:
        """Verify a drain, and recheck the workers that have reported one if their answers count."""
        self._worker_leases.verify_drain(now_ms)
        if self._asks_workers or not self.is_list_current(now_ms):
            self._worker_leases.recheck_draining(now_ms)

    def remove_worker(self, worker: Worker) -> None:
        """Drop a worker whose record is evicted."""
        self._worker_leases.remove_worker(worker)
