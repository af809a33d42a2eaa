"""Slow start: the capacity of a worker that has just started, and this router's budget of sends to it.

A worker has a fraction of its capacity when it starts, and its full capacity after `slow_start_ms`. Until
then, it fails if all routers together send it more than a multiple of its current capacity within the
overload window.
"""

from function_router.decisions.arrivals import Arrivals
from function_router.decisions.records import Worker
from function_router.decisions.settings import Settings
from function_router.decisions.workers import WorkerTable
from function_router.hashing import mix64

# Fraction of the budget that is used, because capacities and the sends of other routers are only estimates.
BUDGET_SAFETY_FACTOR = 0.75

# Requests from all routers in a window that a worker gets even if its budget is smaller. The operator's rule
# tolerates three as sampling noise.
MIN_BUDGET = 1.0


class SlowStart:
    """Computes the capacity and the send budget of workers in slow start."""

    def __init__(self, settings: Settings, workers: WorkerTable, arrivals: Arrivals, seed: int) -> None:
        self._settings = settings
        self._workers = workers
        self._arrivals = arrivals
        self._seed = seed
        self._router_count = max(1, settings.router_count)
        self._own_quota_per_ms = settings.quota_per_ms / self._router_count

    def capacity_share(self, worker: Worker, now_ms: float) -> float:
        """Return the fraction of its capacity that a worker has now, which grows linearly up to 1."""
        started_ms = worker.started_ms
        if started_ms is None:
            return 1.0
        initial = self._settings.slow_start_initial
        progress = max(0.0, now_ms - started_ms) / max(1.0, self._settings.slow_start_ms)
        return min(1.0, initial + (1 - initial) * progress)

    def admits(self, worker: Worker, now_ms: float) -> bool:
        """Return whether one more send to a worker stays within this router's budget for the window."""
        share = self.capacity_share(worker, now_ms)
        if share >= 1.0:
            return True
        window_ms = self._settings.overload_window_ms
        worker.slow_start_sends.remove_before(now_ms - window_ms, inclusive=True)
        rate = self._usual_rate(worker, now_ms)
        budget = BUDGET_SAFETY_FACTOR * self._settings.overload_multiple * share * window_ms * rate
        budget += MIN_BUDGET / self._router_count
        return len(worker.slow_start_sends) + 1 <= budget + self._rounding_offset(worker)

    def _usual_rate(self, worker: Worker, now_ms: float) -> float:
        """Return the worker's share of this router's requests per millisecond, the basis of its budget.

        Neither a burst nor the removal of other workers raises this rate.
        """
        usual_rate = max(self._own_quota_per_ms, self._arrivals.mean_rate(now_ms))
        rate = min(self._arrivals.recent_rate(now_ms), usual_rate)
        return rate * worker.machine_size / self._workers.max_total_size

    def _rounding_offset(self, worker: Worker) -> float:
        """Return a pseudorandom number from 0 to 1 to round the budget, constant for this router and worker.

        If the budget of each router is a fraction of a request, that fraction of the routers may send one.
        """
        return mix64(mix64(self._seed ^ worker.hash)) / 2**64

    def record_send(self, worker: Worker, now_ms: float) -> None:
        """Count a send. Recent sends are always kept, as a worker's start may be announced after them."""
        worker.recent_sends.add(now_ms)
        worker.recent_sends.remove_before(now_ms - self._settings.overload_window_ms)
        if self.capacity_share(worker, now_ms) < 1.0:
            worker.slow_start_sends.add(now_ms)
