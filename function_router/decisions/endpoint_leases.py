"""Leases on the endpoint list and on single workers, which decide whether a worker may get new work.

A worker gets new work only while the lease on the endpoint list is valid (`list_lease`) and, where health
checks cost little, while its own lease is valid, too (`worker_leases`).

Without the lease on the list, any worker may have drained unnoticed. What the worker says itself can't
replace the list: a worker may answer health checks with ready, and accept work, for longer than the drain
grace. The worker's own lease is needed as well because the list may be behind although its heartbeats are in
time.
"""

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

# How long requests wait for the answer to a health check before they look for another worker. This is several
# round trips.
CHECK_WAIT_MS = 60.0

# How long requests wait for the lease on the list, and how long after its end they do. Later ones are
# rejected at once, as nobody knows when it will be renewed and other routers may have theirs.
MAX_RENEWAL_WAIT_MS = 300.0

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
        as_of_ms: When the list was complete; None if there is no lease, or one that nothing has ended so far.
        ready_as_of_ms: When the health check was sent that granted the worker's own lease; None if the worker
            needs none.
    """

    kind: LeaseKind
    as_of_ms: float | None = None
    ready_as_of_ms: float | None = None

    def describe(self, now_ms: float) -> str:
        """Return the lease and the age of its evidence, for the log."""
        text = self.kind.value
        if self.as_of_ms is not None:
            text += f" {now_ms - self.as_of_ms:.0f} ms old"
        if self.ready_as_of_ms is not None:
            text += f", health check {now_ms - self.ready_as_of_ms:.0f} ms old"
        return text


class EndpointLeases:
    """Owns the lease on the endpoint list and those of single workers.

    If no event about the log ever arrives, as in the simulator, the list is always current.
    """

    def __init__(self, settings: Settings, workers: WorkerTable, outbox: Outbox) -> None:
        grace_ms = settings.drain_grace_ms
        interrupted_lease_ms = max(grace_ms * MIN_LEASE_FRACTION, grace_ms - LEASE_MARGIN_MS)
        self._list = ListLease(grace_ms, interrupted_lease_ms)
        self._worker_leases = WorkerLeases(grace_ms, workers, outbox)
        self._are_checks_cheap = settings.health_check_cost <= MAX_HEALTH_CHECK_COST
        self._workers = workers

    # --- the list -------------------------------------------------------------------------------

    def is_list_current(self, now_ms: float) -> bool:
        """Return whether the lease on the list is valid."""
        return self._list.is_valid(now_ms)

    def is_renewal_overdue(self, waiting_since_ms: float, now_ms: float) -> bool:
        """Return whether a request no longer waits for the lease on the list.

        Either the lease has been missing for too long, or it is missing again and again, so that the request
        has waited for too long.

        Args:
            waiting_since_ms: Since when the request has waited.
            now_ms: The current time.
        """
        if self.is_list_current(now_ms):
            return False
        return now_ms >= min(self._list.missing_since_ms, waiting_since_ms) + MAX_RENEWAL_WAIT_MS

    def record_confirmed(self, confirmation: EndpointListConfirmed, now_ms: float) -> bool:
        """Renew the lease on the list, and clear what the list supersedes.

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

    # --- whether a worker may get new work ------------------------------------------------------

    @property
    def _needs_worker_leases(self) -> bool:
        """Whether new work needs the lease of its worker besides that on the list."""
        return self._are_checks_cheap and self._list.complete_as_of_ms is not None

    def _lease_expires_ms(self, worker: Worker) -> float:
        """Return when the first of the leases ends that a worker needs."""
        if not self._needs_worker_leases:
            return self._list.expires_ms
        return min(self._list.expires_ms, self._worker_leases.expires_ms(worker))

    def check_lease(self, worker: Worker, function: str, now_ms: float, *, may_check: bool) -> LeaseStatus:
        """Return whether a worker may get new work now. Send a health check if its own lease ends soon.

        Args:
            worker: A worker that is ready according to the list.
            function: Name of the function that needs the worker. The health check is added to the traces of
                this function's requests.
            now_ms: The current time.
            may_check: Whether a health check may be sent.
        """
        if not self.is_list_current(now_ms):
            return LeaseStatus.MISSING
        if not self._needs_worker_leases:
            return LeaseStatus.VALID
        expires_ms = self._worker_leases.expires_ms(worker)
        if may_check and now_ms >= expires_ms - RENEWAL_LEAD_MS:
            self._worker_leases.send_check(worker, function, now_ms)
        if now_ms < expires_ms:
            return LeaseStatus.VALID
        pending_check_ms = worker.lease.pending_check_ms
        is_check_pending = pending_check_ms is not None and now_ms - pending_check_ms < CHECK_WAIT_MS
        return LeaseStatus.PENDING if is_check_pending else LeaseStatus.MISSING

    def allows_new_work(self, worker_id: int, now_ms: float) -> bool:
        """Return whether a worker may get new work now; a worker that is not known needs the list alone."""
        worker = self._workers.by_id.get(worker_id)
        if worker is None:
            return self.is_list_current(now_ms)
        return worker.lease.drain_reported_ms is None and now_ms < self._lease_expires_ms(worker)

    def is_within_grace(self, at_ms: float) -> bool:
        """Return whether new work that was sent at `at_ms` was within the drain grace, as far as is known.

        The lease counts as longer by a margin, as a write may be delayed after its check.
        """
        return at_ms < self._list.expires_ms + LEASE_MARGIN_MS

    def lease_in_use(self, worker_id: int, now_ms: float) -> LeaseInUse:
        """Return the lease by which new work may go to a worker now; for the log, not for decisions."""
        worker = self._workers.by_id.get(worker_id)
        if worker is None or now_ms >= self._lease_expires_ms(worker):
            return LeaseInUse(LeaseKind.NONE)
        if not self._needs_worker_leases:
            return LeaseInUse(LeaseKind.LIST, self._list.complete_as_of_ms)
        return LeaseInUse(LeaseKind.BOTH, self._list.complete_as_of_ms, worker.lease.ready_as_of_ms)

    # --- the leases of workers ------------------------------------------------------------------

    def revoke(self, worker: Worker, now_ms: float) -> None:
        """Revoke the lease of a worker, which may drain or run a different process by now."""
        self._worker_leases.revoke(worker, now_ms)

    def record_answer(self, worker: Worker, event: HealthChecked, now_ms: float) -> bool:
        """Record the end of a health check.

        Returns:
            Whether the set of ready workers has changed.
        """
        listed_until_ms = self._list.shows_restarts_until_ms(now_ms)
        return self._worker_leases.record_answer(worker, event, now_ms, listed_until_ms)

    def needs_periodic_checks(self, now_ms: float) -> bool:
        """Return whether `send_due_checks` is to be called also while there are no requests."""
        return self._needs_worker_leases and not self.is_list_current(now_ms)

    def send_due_checks(self, now_ms: float) -> None:
        """Recheck the workers that have reported a drain and, while the list is out of date, the others.

        A worker may drain, end and return before the list shows it. Only its predecessor's answer then tells
        that it is a new process. While the list is current, requests cause the health checks.
        """
        if not self._needs_worker_leases:
            return
        self._worker_leases.recheck_draining(now_ms)
        if not self.is_list_current(now_ms):
            self._worker_leases.check_known(now_ms)

    def remove_worker(self, worker: Worker) -> None:
        """Drop a worker whose record is evicted."""
        self._worker_leases.remove_worker(worker)
