"""The instances that this router presumes to exist at the workers.

The router learns of an instance by starting it, by an answer from it, or by a probe. Workers stop idle
instances without announcing that, so an instance is presumed to exist only for a limited time.
"""

from enum import Enum

from function_router.decisions.capacity import Capacity
from function_router.decisions.events import AttemptEnded, InstancesReported
from function_router.decisions.records import Attempt, InstancePool, Request, Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import Outcome, StartKind

# Age at which a report or an observation of instances has to be verified by a probe, unless there are many
# routers.
UNVERIFIED_AFTER_MS = 1_000.0

# How long after its last answer or report an idle instance is presumed to exist if there are many routers.
SHARED_INSTANCE_TTL_MS = 30_000.0

# Start kinds in answers to requests that found no free slot and waited for a cold start.
COLD_START_KINDS = (StartKind.COLD_START, StartKind.JOINED_COLD_START)


class SlotState(Enum):
    """Whether a worker has a free slot for a request."""

    UNAVAILABLE = 0  # all slots are in use, or the worker is blocked
    UNVERIFIED = 1  # a slot is presumed to be free, but the worker must be probed first
    FREE = 2


class Instances:
    """Reads and updates the instance pools."""

    def __init__(self, settings: Settings, capacity: Capacity) -> None:
        self._instance_keep_alive_ms = settings.instance_keep_alive_ms
        self._can_probe = settings.can_order_starts
        self._capacity = capacity

    def count(self, pool: InstancePool, worker: Worker, now_ms: float) -> int:
        """Return the presumed number of instances: 0 after a restart of the worker or a long idle time.

        With many routers, the idle time is longer, as requests of other routers keep the instances alive.
        """
        started_ms = worker.started_ms
        if started_ms is not None and pool.last_seen_ms <= started_ms:
            return 0
        if pool.in_flight == 0:
            ttl_ms = SHARED_INSTANCE_TTL_MS if self._capacity.many_routers else self._instance_keep_alive_ms
            if now_ms - pool.last_seen_ms > ttl_ms:
                return 0
        return pool.count

    def slot_state(self, request: Request, worker: Worker, now_ms: float) -> SlotState:
        """Return whether a worker with a pool of the request's function has a free slot for it."""
        pool = request.function.pools[worker.id]
        slots = request.concurrency
        if now_ms < pool.blocked_until_ms or self.count(pool, worker, now_ms) * slots <= pool.in_flight:
            return SlotState.UNAVAILABLE
        if (
            self._capacity.many_routers
            or not self._can_probe
            or now_ms - pool.last_counted_ms < UNVERIFIED_AFTER_MS
        ):
            return SlotState.FREE
        # The reported count is too old to rely on. A more recent answer proves that one instance exists, and
        # the attempts in flight prove that the instances that they occupy exist.
        seen_instances = 1 if now_ms - pool.last_seen_ms < UNVERIFIED_AFTER_MS else 0
        busy_instances = -(-pool.in_flight // slots)  # rounded up
        proven_slots = max(busy_instances, seen_instances) * slots
        return SlotState.FREE if proven_slots > pool.in_flight else SlotState.UNVERIFIED

    def record_served(self, event: AttemptEnded, attempt: Attempt, now_ms: float) -> None:
        """Record that an instance has answered.

        A cold start although a slot should have been free shows that the presumed instances no longer exist,
        unless the worker has reported them since the send.
        """
        function = attempt.function
        pool = function.pools[attempt.worker.id]
        had_free_slot = event.in_flight is not None and event.in_flight < function.concurrency
        was_cold = event.start_kind in COLD_START_KINDS
        are_gone = had_free_slot and was_cold and pool.last_counted_ms < attempt.sent_ms
        pool.count = 1 if are_gone else max(1, pool.count)
        pool.last_seen_ms = now_ms

    def record_report(
        self, event: InstancesReported, pool: InstancePool, concurrency: int, now_ms: float
    ) -> None:
        """Record the instances that a worker reports, and since when a speculative one is unused."""
        is_speculative_start = pool.is_speculative and pool.is_start_report(event)
        if is_speculative_start and event.outcome is Outcome.OK:
            pool.unused_since_ms = now_ms
            pool.slots_before_start = pool.count * concurrency
        pool.count = event.instances
        pool.last_counted_ms = now_ms
        pool.last_seen_ms = now_ms
