"""Placement: the order in which workers are considered for a function's requests and instances.

Every router computes the same order of workers for a function, by weighted rendezvous hashing. All routers
thus share the function's instances without communicating with each other. The first workers with headroom in
this order are preferred. Their number, the fan-out of the function, follows the load from all routers.
"""

import math
from itertools import islice

from function_router.decisions.arrivals import Arrivals
from function_router.decisions.capacity import Capacity
from function_router.decisions.durations import Durations
from function_router.decisions.health import Health
from function_router.decisions.instances import Instances
from function_router.decisions.records import STATISTICS_WINDOW_MS, Function, Request, Worker
from function_router.decisions.slow_start import SlowStart
from function_router.decisions.workers import WorkerTable
from function_router.hashing import rendezvous_rank
from function_router.statistics import DecayingCounter

# Consistent hashing with bounded loads: the load bound of a worker is this multiple of its fair share of the
# router's attempts in flight, but at least the minimum.
LOAD_BOUND_FACTOR = 1.5
MIN_LOAD_BOUND = 2.0

# A worker has no headroom if it got more than this multiple of its fair share of the router's sends in the
# statistics window.
SEND_SHARE_FACTOR = 1.3

# Decayed number of sends up to which a worker has headroom whatever its share.
MIN_SENDS = 0.5

# For a warm function, other workers are probed only above this multiple of the fair share, because many
# workers exceed the lower factor by sampling noise alone.
PROBE_SEND_SHARE_FACTOR = 2.0

# The fan-out is chosen so that the average demand on a preferred worker is at most this many instances, and
# at most this fraction of its capacity.
FANOUT_INSTANCES_PER_WORKER = 1.2
FANOUT_CAPACITY_FRACTION = 0.6

# Minimum interval over which arrival rates are averaged, so that the first requests don't yield a high rate.
MIN_RATE_INTERVAL_MS = 1_000.0


class Placement:
    """Orders the workers for each function, and tells which of them can take more requests."""

    def __init__(
        self,
        workers: WorkerTable,
        arrivals: Arrivals,
        durations: Durations,
        slow_start: SlowStart,
        capacity: Capacity,
        health: Health,
        instances: Instances,
    ) -> None:
        self._workers = workers
        self._arrivals = arrivals
        self._durations = durations
        self._slow_start = slow_start
        self._capacity = capacity
        self._health = health
        self._instances = instances
        self.sends = DecayingCounter(STATISTICS_WINDOW_MS)  # sends of this router to all workers

    def hash_order(self, function: Function) -> list[Worker]:
        """Return all ready workers in rendezvous order, which is the same at every router."""
        sizes = self._workers.ready_sizes
        if function.hash_order_sizes is not sizes:
            rank = {
                worker: (rendezvous_rank(function.hash, worker.hash, worker.machine_size), worker.id)
                for worker in self._workers.ready
            }
            function.hash_order = sorted(rank, key=rank.__getitem__)
            function.hash_order_sizes = sizes
            function.workers_with_pool = None
        return function.hash_order

    def workers_with_pool(self, function: Function) -> list[Worker]:
        """Return the ready workers at which the function has a pool, in hash order."""
        order = self.hash_order(function)
        if function.workers_with_pool is None:
            function.workers_with_pool = [worker for worker in order if worker.id in function.pools]
        return function.workers_with_pool

    def preferred_workers(self, function: Function, request: Request, now_ms: float) -> list[Worker]:
        """Return the first workers with headroom in hash order, or the first workers if none has headroom.

        For a warm function, the list begins with one of them that the request's random bits select. For a
        cold function, all requests begin with the first worker, so that all routers start the function at the
        same worker.
        """
        order = self.hash_order(function)
        with_headroom = (worker for worker in order if self.has_headroom(worker, now_ms))
        preferred = list(islice(with_headroom, function.fanout)) or order[: function.fanout]
        if not preferred or not self.is_warm(function, now_ms):
            return preferred
        first = request.random_bits % len(preferred)
        return preferred[first:] + preferred[:first]

    def candidates(self, function: Function, request: Request, now_ms: float) -> list[Worker]:
        """Return the workers that may have an instance, in the order in which a request tries them."""
        with_pool = self.workers_with_pool(function)
        if not self._capacity.many_routers:
            return with_pool
        preferred = self.preferred_workers(function, request, now_ms)
        preferred_with_pool = [worker for worker in preferred if worker.id in function.pools]
        by_headroom = sorted(with_pool, key=lambda worker: not self.has_headroom(worker, now_ms))
        return list(dict.fromkeys(preferred_with_pool + by_headroom))

    def has_headroom(self, worker: Worker, now_ms: float, factor: float = SEND_SHARE_FACTOR) -> bool:
        """Return whether a worker is neither slow nor silent nor above `factor` times its share of sends."""
        capacity = self._capacity
        fair_share = self.sends.value(now_ms) * capacity.size(worker, now_ms) / capacity.total_size
        if worker.sends.value(now_ms) > max(MIN_SENDS, factor * fair_share):
            return False
        return self._health.is_preferable(worker, now_ms)

    def is_warm(self, function: Function, now_ms: float) -> bool:
        """Return whether any usable worker is presumed to have an instance."""
        return any(self._is_warm_at(function, worker, now_ms) for worker in self.workers_with_pool(function))

    def is_warm_with_headroom(self, function: Function, now_ms: float) -> bool:
        """Return whether any usable warm worker has headroom by `PROBE_SEND_SHARE_FACTOR`."""
        return any(
            self._is_warm_at(function, worker, now_ms)
            and self.has_headroom(worker, now_ms, PROBE_SEND_SHARE_FACTOR)
            for worker in self.workers_with_pool(function)
        )

    def _is_warm_at(self, function: Function, worker: Worker, now_ms: float) -> bool:
        """Return whether a worker is usable and presumed to have an instance."""
        if not self._health.is_usable(worker, function.class_name, now_ms):
            return False
        return self._instances.count(function.pools[worker.id], worker, now_ms) > 0

    def has_capacity(self, worker: Worker, now_ms: float, *, fraction: float = 1.0) -> bool:
        """Return whether a worker is below a fraction of its in-flight limit and within its send budget."""
        if worker.in_flight >= worker.max_in_flight * fraction:
            return False
        return self._slow_start.admits(worker, now_ms)

    def is_below_load_bound(self, worker: Worker, own_attempts: int, now_ms: float) -> bool:
        """Return whether a worker has fewer attempts of this router in flight than its load bound.

        `own_attempts` is the number of this router's attempts in flight at all workers.
        """
        capacity = self._capacity
        fair_share = (own_attempts + 1) * capacity.size(worker, now_ms) / capacity.total_size
        min_bound = MIN_LOAD_BOUND * self._slow_start.capacity_share(worker, now_ms)
        return worker.in_flight < max(min_bound, LOAD_BOUND_FACTOR * fair_share)

    def record_arrival(self, function: Function, now_ms: float) -> None:
        """Count a request of a function, and update the function's fan-out.

        The demand is the greater of two estimates of the requests in flight from all routers. One is derived
        by Little's law from the arrivals at this router, the other from the numbers that workers report.
        """
        function.estimated_in_flight *= function.arrivals.decay_factor(now_ms)
        since_ms = self._arrivals.observed_since_ms
        own_rate = function.arrivals.rate(now_ms, since_ms, MIN_RATE_INTERVAL_MS)
        rate = own_rate * self._capacity.router_count
        demand = max(rate * self._durations.median_run_ms(function, now_ms), function.estimated_in_flight)
        max_by_slots = FANOUT_INSTANCES_PER_WORKER * function.concurrency
        max_by_capacity = FANOUT_CAPACITY_FRACTION * self._capacity.worker_capacity
        max_by_worker = min(max_by_slots, max_by_capacity)
        # The maximum is 0 if no worker is ready.
        needed = max(1, math.ceil(demand / max_by_worker)) if max_by_worker > 0 else 1
        function.fanout = min(needed, max(1, len(self._workers.ready)))
        function.arrivals.add(now_ms)

    def record_send(self, worker: Worker, now_ms: float) -> None:
        """Count a send towards the worker's share and its slow-start budget."""
        self.sends.add(now_ms)
        worker.sends.add(now_ms)
        self._slow_start.record_send(worker, now_ms)
