"""Which connections to a worker may carry new work or a repeated request now.

The network code asks this for each exchange when its first byte could be written. An answer combines the
leases, by which a worker is ready, with the evidence of which process a connection leads to.
"""

import math

from msgspec import Struct

from function_router.decisions.fleet import Fleet
from function_router.decisions.types import LeaseKind


class SentLease(Struct, frozen=True):
    """The lease by which new work was sent.

    Attributes:
        kind: Which lease it was, for the counters.
        description: The lease and the age of its evidence, for the log.
    """

    kind: LeaseKind
    description: str


class ConnectionPolicy:
    """Answers the queries of the network code about connections to workers; it has no state of its own."""

    def __init__(self, fleet: Fleet) -> None:
        self._workers = fleet.workers
        self._leases = fleet.leases
        self._late_send_audit = fleet.late_send_audit
        self._process_identity = fleet.process_identity

    def allows_new_work(self, worker_id: int, now_ms: float) -> bool:
        """Return whether a worker may get new work now."""
        return self._leases.allows_new_work(worker_id, now_ms)

    def process_cutoff_ms(self, worker_id: int) -> float:
        """Return the time by which a connection must have been established to lead to a worker for certain.

        Returns:
            The time; minus infinity if the worker is not known.
        """
        worker = self._workers.by_id.get(worker_id)
        return -math.inf if worker is None else self._process_identity.connection_cutoff_ms(worker)

    def is_process_known(self, worker_id: int, connected_at_ms: float) -> bool:
        """Return whether a connection that was established at this time leads to a worker for certain."""
        worker = self._workers.by_id.get(worker_id)
        return worker is not None and self._process_identity.is_known(worker, connected_at_ms)

    def is_within_drain_grace(self, at_ms: float) -> bool:
        """Return whether new work that was sent at `at_ms` was within the drain grace, as far as is known.

        This is for the run-time check of invariants, not for decisions.
        """
        return self._leases.is_within_grace(at_ms)

    def describe_lease(self, worker_id: int, now_ms: float) -> str:
        """Return by which lease new work may go to a worker now, and how old its evidence is, for the log."""
        return self._leases.lease_in_use(worker_id, now_ms).describe(now_ms)

    def record_sent(self, worker_id: int, sent_ms: float) -> SentLease:
        """Record for the audit that the first byte of new work was written, and return by which lease."""
        lease = self._leases.lease_in_use(worker_id, sent_ms)
        self._late_send_audit.record_sent(worker_id, lease, sent_ms)
        return SentLease(lease.kind, lease.describe(sent_ms))
