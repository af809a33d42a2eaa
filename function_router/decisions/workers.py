"""The table of workers, which follows the endpoint list."""

from msgspec import structs

from function_router.decisions.events import Endpoint, EndpointsChanged
from function_router.decisions.process_identity import ProcessIdentity
from function_router.decisions.records import Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import WorkerState
from function_router.hashing import hash64

# How long a worker is kept after its removal from the endpoint list, in case it comes back.
REMOVED_WORKER_TTL_MS = 60_000.0

# Lower bound that is applied to sizes, because sizes are used as divisors.
MIN_MACHINE_SIZE = 0.01


class WorkerTable:
    """Owns the worker records, and tracks which workers are ready."""

    def __init__(self, settings: Settings, process_identity: ProcessIdentity) -> None:
        self._are_sizes_known = settings.worker_sizes_known
        self._process_identity = process_identity
        self.by_id: dict[int, Worker] = {}
        self.ready: list[Worker] = []
        self.ready_sizes: dict[int, float] = {}  # by id; replaced by a new dict whenever an entry changes
        self.max_total_size = MIN_MACHINE_SIZE  # maximum total size of the ready workers so far

    def update(self, event: EndpointsChanged, now_ms: float) -> list[Worker]:
        """Apply a complete endpoint list, or the changes in it.

        Returns:
            The workers that were listed as ready, and are listed as draining now.
        """
        ready_state = WorkerState.READY
        listed_as_ready = [worker for worker in self.by_id.values() if worker.endpoint.state is ready_state]
        if event.is_complete:
            self._mark_missing_as_removed(event.endpoints)
        for endpoint in event.endpoints:
            self._apply(endpoint, now_ms)
        self._recompute_ready()
        return [worker for worker in listed_as_ready if worker.endpoint.state is WorkerState.DRAINING]

    def set_drain_reported(self, worker: Worker, reported_ms: float | None) -> None:
        """Record when a worker reported its drain; None ends the drain. A draining worker is not ready."""
        was_ready = worker.is_ready
        lease = worker.lease
        if lease.drain_reported_ms is None or reported_ms is None:
            lease.drain_first_reported_ms = reported_ms
        lease.drain_reported_ms = reported_ms
        if worker.is_ready is not was_ready:
            self._recompute_ready()

    def _recompute_ready(self) -> None:
        """Recompute what depends on the set of ready workers."""
        ready_state = WorkerState.READY  # `is_ready` is not called, as a large list has thousands of workers
        self.ready = [
            worker
            for worker in self.by_id.values()
            if worker.endpoint.state is ready_state and worker.lease.drain_reported_ms is None
        ]
        sizes = {worker.id: worker.machine_size for worker in self.ready}
        if sizes != self.ready_sizes:
            self.ready_sizes = sizes
        self.max_total_size = max(self.max_total_size, sum(worker.machine_size for worker in self.ready))

    def _mark_missing_as_removed(self, endpoints: list[Endpoint]) -> None:
        """Mark the workers that a complete list no longer contains as removed."""
        listed = {endpoint.worker_id for endpoint in endpoints}
        for worker_id in self.by_id.keys() - listed:
            worker = self.by_id[worker_id]
            self._process_identity.record_removed(worker)
            worker.endpoint = structs.replace(worker.endpoint, state=WorkerState.REMOVED)

    def _apply(self, endpoint: Endpoint, now_ms: float) -> None:
        """Add or update one worker. A later start time than the known one restarts its slow start."""
        worker = self.by_id.get(endpoint.worker_id)
        was_listed = worker is not None and worker.endpoint.state is not WorkerState.REMOVED
        if worker is None:
            worker = Worker(endpoint.worker_id, endpoint, hash64(str(endpoint.worker_id)))
            self.by_id[worker.id] = worker
        if endpoint.state is WorkerState.REMOVED:
            self._process_identity.record_removed(worker)
        elif not was_listed:
            self._process_identity.record_listed(worker, now_ms)
        worker.endpoint = endpoint
        worker.machine_size = max(endpoint.size, MIN_MACHINE_SIZE) if self._are_sizes_known else 1.0
        worker.removed_since_ms = None
        if endpoint.started_at_ms is not None:
            _record_start(worker, endpoint.started_at_ms)

    def evict_removed(self, now_ms: float) -> list[Worker]:
        """Evict and return the workers that were removed long ago and have no attempts in flight."""
        expired_ms = now_ms - REMOVED_WORKER_TTL_MS
        evicted = []
        for worker in self.by_id.values():
            if worker.endpoint.state is not WorkerState.REMOVED:
                continue
            if worker.removed_since_ms is None:
                worker.removed_since_ms = now_ms
            if worker.removed_since_ms < expired_ms and not worker.in_flight:
                evicted.append(worker)
        for worker in evicted:
            del self.by_id[worker.id]
        return evicted


def _record_start(worker: Worker, started_ms: float) -> None:
    """Record the start of a worker's process; the drain of an earlier one has ended.

    The worker may be in slow start already, as its restart has shown before the list has it.
    """
    lease = worker.lease
    if lease.drain_reported_ms is not None and started_ms > lease.drain_reported_ms:
        lease.drain_reported_ms = None
        lease.drain_first_reported_ms = None
    if worker.started_ms is None or started_ms > worker.started_ms:
        worker.started_ms = started_ms
        worker.recount_slow_start_sends()
