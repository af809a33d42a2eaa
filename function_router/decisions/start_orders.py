"""Start orders: which worker starts an instance, and what is recorded about starts."""

from function_router.decisions.actions import EnsureInstances
from function_router.decisions.endpoint_leases import LeaseStatus
from function_router.decisions.fleet import Fleet
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import Function, Request, Worker
from function_router.decisions.requests import OpenRequests
from function_router.decisions.start_order_limits import LONG_START_FACTOR, StartOrderLimits
from function_router.decisions.types import Outcome

# Maximum number of instances of a function that are ordered at one worker.
MAX_INSTANCES_AT_WORKER = 16

# How long after a failed start the worker gets neither attempts nor start orders of the function.
FAILED_START_BLOCK_MS = 1_000.0


class StartOrders:
    """Orders instances. At most one order is pending for each function and worker."""

    def __init__(
        self,
        fleet: Fleet,
        requests: OpenRequests,
        limits: StartOrderLimits,
        outbox: Outbox,
    ) -> None:
        self._durations = fleet.durations
        self._health = fleet.health
        self._instances = fleet.instances
        self._leases = fleet.leases
        self._placement = fleet.placement
        self._requests = requests
        self._limits = limits
        self._outbox = outbox

    def can_start_at(
        self, function: Function, worker: Worker, now_ms: float, *, is_speculative: bool
    ) -> bool:
        """Return whether an instance may be started at a worker now.

        A speculative start also needs free capacity there.
        """
        pool = function.pools.get(worker.id)
        if pool and (pool.start_ordered_ms is not None or now_ms < pool.blocked_until_ms):
            return False
        if not self._health.is_usable(worker, function.class_name, now_ms):
            return False
        if is_speculative and not self._placement.has_capacity(worker, now_ms):
            return False
        return self._limits.allows_order(now_ms)

    def choose_worker(self, first: Request, now_ms: float, *, is_speculative: bool) -> Worker | None:
        """Choose the worker that starts an instance for the queue of `first`; None if no worker can now.

        This is the first worker that can start an instance, has none yet and is below its load bound, or else
        the first one that can start an instance. Workers are tried in the order of preference of `first`, the
        request at the head of the queue, and then in hash order. A worker without a valid lease is skipped,
        unless its health check is pending.
        """
        if not self._limits.allows_order(now_ms):
            return None
        function = first.function
        preferred = self._placement.preferred_workers(function, first, now_ms)
        order = preferred + self._placement.hash_order(function)
        eligible = (
            worker
            for worker in order
            if self.can_start_at(function, worker, now_ms, is_speculative=is_speculative)
            and self._may_get_lease(function, worker, now_ms)
        )
        preferable = (
            worker
            for worker in order
            if self._can_host_first_instance(function, worker, now_ms)
            and self.can_start_at(function, worker, now_ms, is_speculative=is_speculative)
            and self._may_get_lease(function, worker, now_ms)
        )
        return next(preferable, None) or next(eligible, None)

    def _can_host_first_instance(self, function: Function, worker: Worker, now_ms: float) -> bool:
        """Return whether a worker has no instance yet and is below its load bound."""
        pool = function.pools.get(worker.id)
        if pool is not None and self._instances.count(pool, worker, now_ms):
            return False
        return self._placement.is_below_load_bound(worker, len(self._requests.attempts), now_ms)

    def _may_get_lease(self, function: Function, worker: Worker, now_ms: float) -> bool:
        """Return whether a lease is valid for a worker, or its health check is pending."""
        return (
            self._leases.check_lease(worker, function.name, now_ms, may_check=True) is not LeaseStatus.MISSING
        )

    def order_if_lease_valid(
        self, function: Function, worker: Worker, now_ms: float, *, is_speculative: bool
    ) -> bool:
        """Order one more instance at a worker if its lease is valid, and return whether one was ordered."""
        status = self._leases.check_lease(worker, function.name, now_ms, may_check=True)
        if status is LeaseStatus.VALID:
            self.order(function, worker, now_ms, is_speculative=is_speculative)
        return status is LeaseStatus.VALID

    def order(self, function: Function, worker: Worker, now_ms: float, *, is_speculative: bool) -> None:
        """Order one more instance than a worker is presumed to have. No reply is due during the start."""
        pool = function.pool_at(worker)
        pool.start_ordered_ms = now_ms
        pool.is_speculative = is_speculative
        pool.ordered_count = min(MAX_INSTANCES_AT_WORKER, self._instances.count(pool, worker, now_ms) + 1)
        start_ms = self._durations.median_start_ms(function, now_ms)
        self._limits.record_order(function, worker, start_ms, now_ms)
        self._health.expect_reply(worker, now_ms, reply_grace_ms=start_ms)
        self._outbox.add(EnsureInstances(worker.id, function.name, pool.ordered_count))

    def record_end(self, function: Function, worker: Worker, outcome: Outcome, now_ms: float) -> None:
        """Record the end of a start order, with the duration of the start or its failure."""
        pool = function.pool_at(worker)
        start_ms = now_ms - (pool.start_ordered_ms or 0.0)
        usual_ms = function.hinted_start_ms or self._durations.median_start_ms(function, now_ms)
        pool.start_ordered_ms = None
        self._limits.record_end(function, worker)
        if outcome is Outcome.OK:
            function.start_times.add(now_ms, start_ms)
        else:
            pool.blocked_until_ms = now_ms + FAILED_START_BLOCK_MS
        if outcome in (Outcome.OK, Outcome.ERROR):
            is_timely = outcome is Outcome.OK and start_ms < LONG_START_FACTOR * usual_ms
            self._limits.pending_limit.record(success=is_timely)
