"""Capacity: how many requests the workers can process at the same time, and this router's share of them.

The workers are assumed to be provisioned for the quotas of all tenants. By Little's law, the product of the
quotas and the mean run time at an unloaded worker is the mean number of requests in flight that all workers
can process.
"""

import math

from function_router.decisions.durations import Durations
from function_router.decisions.records import Worker
from function_router.decisions.settings import Settings
from function_router.decisions.slow_start import SlowStart
from function_router.decisions.workers import WorkerTable

# Interval at which the limits are recomputed. They are not recomputed at each event, because they are sums
# over all workers.
REFRESH_INTERVAL_MS = 1_000.0

# Allowance for sampling noise in a worker's limit, in square roots of its mean, which is the standard
# deviation of a Poisson distribution.
NOISE_ALLOWANCE = 1.5

# Capacity of a worker, in requests in flight, if there are no quotas to derive it from.
DEFAULT_WORKER_CAPACITY = 4.0

# Minimum of a worker's limit on this router's requests in flight. With many routers, most of the computed
# limits are below one.
MIN_IN_FLIGHT_LIMIT = 1.0
MIN_IN_FLIGHT_LIMIT_MANY_ROUTERS = 2.0

# The final fraction of the latency objective, which has two uses. The limit on attempts in flight is the
# number that the workers can answer within this fraction of the objective. A queued request is expected to
# miss its objective only if less than this fraction of the objective is left.
FINAL_OBJECTIVE_FRACTION = 0.5


class Capacity:
    """Limits on this router's requests in flight, at each worker and in total.

    `many_routers` is True if there are more routers than requests that a worker can process at the same time.
    One router then has less than one request in flight at a worker on average, and can't infer the worker's
    load from it.
    """

    def __init__(
        self, settings: Settings, workers: WorkerTable, slow_start: SlowStart, durations: Durations
    ) -> None:
        self._workers = workers
        self._slow_start = slow_start
        self._durations = durations
        self._quota_per_ms = settings.quota_per_ms
        self.latency_objective_ms = settings.shortest_objective_ms
        self.router_count = max(1, settings.router_count)
        self.many_routers = False
        self.total_size = 1.0  # relative capacity of all ready workers
        self.worker_capacity = 0.0  # requests of all routers that a worker can process at the same time
        self.max_in_flight = math.inf  # limit on this router's attempts in flight at all workers
        self.refreshed_ms = -math.inf

    def size(self, worker: Worker, now_ms: float) -> float:
        """Return the relative capacity of a worker: the size of its machine, reduced during slow start."""
        return worker.machine_size * self._slow_start.capacity_share(worker, now_ms)

    def is_refresh_due(self, now_ms: float) -> bool:
        """Return whether the limits are older than the refresh interval."""
        return now_ms - self.refreshed_ms >= REFRESH_INTERVAL_MS

    def refresh(self, now_ms: float) -> None:
        """Recompute all limits. The workers' limits use the `many_routers` of the previous refresh."""
        self.refreshed_ms = now_ms
        ready = self._workers.ready
        self.total_size = sum(self.size(worker, now_ms) for worker in ready) or 1.0
        if self._quota_per_ms > 0:
            self.worker_capacity = self._limit_workers(now_ms) / max(1, len(ready))
        else:
            self.worker_capacity = DEFAULT_WORKER_CAPACITY
            for worker in ready:
                worker.max_in_flight = math.inf
        self.many_routers = self.worker_capacity < self.router_count
        has_limit = self.many_routers and self._quota_per_ms > 0
        self.max_in_flight = self._own_in_flight_limit(now_ms) if has_limit else math.inf

    def _limit_workers(self, now_ms: float) -> float:
        """Set the limit of each worker, and return how many requests all workers can process at once."""
        router_count = self.router_count
        min_in_flight = MIN_IN_FLIGHT_LIMIT_MANY_ROUTERS if self.many_routers else MIN_IN_FLIGHT_LIMIT
        mean_in_flight = self._quota_per_ms * self._durations.unloaded_run_ms
        total = 0.0
        for worker in self._workers.ready:
            mean = mean_in_flight * self.size(worker, now_ms) / self._workers.max_total_size
            total += mean + NOISE_ALLOWANCE * math.sqrt(mean)
            own_mean = mean / router_count
            worker.max_in_flight = max(min_in_flight, own_mean + NOISE_ALLOWANCE * math.sqrt(own_mean))
        return total

    def _own_in_flight_limit(self, now_ms: float) -> float:
        """Return this router's share of the requests that the responsive workers can answer in time.

        "In time" means within the final fraction of the latency objective.
        """
        workers = self._workers
        responsive = [worker for worker in workers.ready if worker.unresponsive_since_ms is None]
        responsive_size = sum(self.size(worker, now_ms) for worker in responsive)
        rate = responsive_size / workers.max_total_size * self._quota_per_ms
        return rate * self.latency_objective_ms * FINAL_OBJECTIVE_FRACTION / self.router_count
