"""Audit of new work that was sent to a worker before the router learned of its drain or removal.

An event of the log shows a drain, but not when it was published. If the heartbeats are right, this was after
the last confirmation of the list, and new work that was sent later than the drain grace after that may have
been late. If the log was behind while its heartbeats were in time, it was earlier. So the audit logs all new
work of the last seconds when the event arrives, with the leases by which it was sent, as only this shows
afterwards which evidence was wrong. It also logs if the worker itself had reported its drain before. The
audit has no effect on decisions.
"""

from collections import Counter, deque

from msgspec import Struct, field

from function_router.decisions.actions import LogMessage
from function_router.decisions.endpoint_leases import LeaseInUse
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import WorkerState
from function_router.decisions.workers import WorkerTable

# How long a send is remembered. The list may show a drain 9 s late.
MEMORY_MS = 10_000.0

# Maximum number of sends that are remembered for each worker. Of more, the latest are.
MAX_SENDS_PER_WORKER = 64


class SentWork(Struct, frozen=True):
    """New work whose first byte was written to a worker.

    Attributes:
        sent_ms: When it was written.
        lease: The lease by which it was sent.
    """

    sent_ms: float
    lease: LeaseInUse


def _new_sends() -> deque[SentWork]:
    return deque(maxlen=MAX_SENDS_PER_WORKER)


class _WorkerSends(Struct, eq=False):
    """What was lately sent to a worker, in order."""

    sends: deque[SentWork] = field(default_factory=_new_sends)

    def drop_until(self, time_ms: float) -> None:
        while self.sends and self.sends[0].sent_ms <= time_ms:
            self.sends.popleft()

    def count_after(self, time_ms: float) -> int:
        return sum(sent.sent_ms > time_ms for sent in self.sends)


class LateSendAudit:
    """Owns the latest sends to each worker, and reports them when the worker is no longer ready."""

    def __init__(self, settings: Settings, workers: WorkerTable, outbox: Outbox) -> None:
        self._grace_ms = settings.drain_grace_ms
        self._workers = workers
        self._outbox = outbox
        # When the list was last known to be complete; before that, when work was first sent.
        self._complete_as_of_ms: float | None = None
        self._by_worker_id: dict[int, _WorkerSends] = {}

    def record_sent(self, worker_id: int, lease: LeaseInUse, sent_ms: float) -> None:
        """Record that the first byte of new work was written."""
        if self._complete_as_of_ms is None:
            self._complete_as_of_ms = sent_ms
        worker_sends = self._by_worker_id.setdefault(worker_id, _WorkerSends())
        worker_sends.sends.append(SentWork(sent_ms, lease))

    def record_confirmed(self, as_of_ms: float) -> None:
        """Record that the list was complete at `as_of_ms`, and forget the sends of long before."""
        self._complete_as_of_ms = as_of_ms
        for worker_id, worker_sends in list(self._by_worker_id.items()):
            worker_sends.drop_until(as_of_ms - MEMORY_MS)
            if not worker_sends.sends:
                del self._by_worker_id[worker_id]

    def report_earlier_reports(self, draining: list[Worker], now_ms: float) -> None:
        """Log how long before the list the workers whose drain has just arrived had reported it."""
        for worker in draining:
            reported_ms = worker.lease.drain_first_reported_ms
            if reported_ms is not None:
                text = f"worker {worker.id} reported its drain {now_ms - reported_ms:.0f} ms before the list"
                self._outbox.add(LogMessage(text))

    def report_sends(self, now_ms: float) -> None:
        """Report the sends to workers that the list shows as not ready now, and forget them."""
        as_of_ms = self._complete_as_of_ms
        if as_of_ms is None:
            return
        for worker_id in list(self._by_worker_id):
            worker = self._workers.by_id.get(worker_id)
            if worker is not None and worker.endpoint.state is WorkerState.READY:
                continue
            worker_sends = self._by_worker_id.pop(worker_id)
            worker_sends.drop_until(now_ms - MEMORY_MS)
            if worker is not None and worker_sends.sends:
                late_count = worker_sends.count_after(as_of_ms + self._grace_ms)
                text = _describe(worker, worker_sends.sends, late_count, now_ms, as_of_ms)
                self._outbox.add(LogMessage(text))


def _describe(worker: Worker, sends: deque[SentWork], late_count: int, now_ms: float, as_of_ms: float) -> str:
    """Return a log line about what was sent to a worker before its state arrived."""
    kinds = Counter(sent.lease.kind.value for sent in sends)
    counts = ", ".join(f"{count} by {kind}" for kind, count in kinds.items())
    last = sends[-1]
    state = worker.endpoint.state.name
    return (
        f"worker {worker.id}: {state} was published up to {now_ms - as_of_ms:.0f} ms ago, "
        f"if heartbeats are right; sent in the last {MEMORY_MS:.0f} ms: {counts}, "
        f"{late_count} of it later than the grace after that; "
        f"the last {now_ms - last.sent_ms:.0f} ms ago by {last.lease.describe(last.sent_ms)}"
    )
