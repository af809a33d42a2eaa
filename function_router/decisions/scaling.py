"""Probes, and cold starts by the conditional speculative scaling of CIDRE.

A request that finds no free slot of a warm instance is queued. If all warm instances are busy, a speculative
cold start is ordered, provided that speculation is enabled for the function (see `speculation`). The request
then goes to whichever instance is free first. If there is no warm instance, a cold start is ordered in any
case. Workers are probed before it, as other routers may have started instances.
"""

import math

from function_router.decisions.admission import Admission
from function_router.decisions.events import InstancesReported
from function_router.decisions.fleet import Fleet
from function_router.decisions.instances import SlotState
from function_router.decisions.probe_limits import ProbeLimits
from function_router.decisions.records import Function, Request, Worker
from function_router.decisions.settings import Settings
from function_router.decisions.speculation import Speculation
from function_router.decisions.start_orders import StartOrders
from function_router.decisions.types import Outcome

# How long a cold start waits for pending probes of its function. This is about one round trip to a worker.
PROBE_WAIT_MS = 12.0

# Minimum interval between probes of a worker that are caused by new requests.
PROBE_TTL_MS = 5_000.0

# Number of workers that are probed at the same time for a function without a known instance.
PROBE_FANOUT = 4


class Scaling:
    """Decides when to probe workers for instances, and when to start instances."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        admission: Admission,
        speculation: Speculation,
        start_orders: StartOrders,
    ) -> None:
        self._can_order_starts = settings.can_order_starts
        self._capacity = fleet.capacity
        self._health = fleet.health
        self._instances = fleet.instances
        self._placement = fleet.placement
        self._admission = admission
        self._speculation = speculation
        self._start_orders = start_orders
        self._probe_limits = ProbeLimits(settings)

    def order_starts(self, function: Function, now_ms: float) -> None:
        """Order cold starts for the queued requests; these are speculative if there are warm instances.

        One start is ordered for as many requests as an instance has slots, less the pending starts. None is
        ordered while a health check or probe is pending whose answer may make a start unnecessary.
        """
        if function.awaits_check or self._has_recent_probe(function, now_ms):
            return
        is_warm = self._placement.is_warm(function, now_ms)
        pending = self._count_pending_starts(function, now_ms)
        waiting = self._count_requests_needing_start(function, now_ms, is_warm=is_warm)
        if is_warm and (self._admission.is_at_limit() or not self._speculation.update(function, now_ms)):
            return
        missing_count = math.ceil(waiting / function.concurrency) - pending
        if missing_count <= 0:
            return
        first = self._admission.first_in_queue(function, now_ms)
        for _ in range(missing_count):
            worker = self._start_orders.choose_worker(first, now_ms, is_speculative=is_warm)
            if worker is None:
                return
            if not self._start_orders.order_if_lease_valid(function, worker, now_ms, is_speculative=is_warm):
                return

    def _count_pending_starts(self, function: Function, now_ms: float) -> int:
        """Count the pending start orders at usable workers."""
        return sum(
            function.pools[worker.id].start_ordered_ms is not None
            for worker in self._placement.workers_with_pool(function)
            if self._health.is_usable(worker, function.class_name, now_ms)
        )

    def _count_requests_needing_start(self, function: Function, now_ms: float, *, is_warm: bool) -> int:
        """Count the queued requests for which starts are ordered.

        If there is a warm instance, requests over quota wait for it and are not counted. With many routers,
        the same applies to requests that will miss their objective.
        """
        if not is_warm:
            return len(function.queue)
        count = 0
        for group in function.queue.groups(over_quota=False):
            count += len(group.requests)
            if self._capacity.many_routers:
                count -= self._admission.count_missing(function, group, group.requests, now_ms)
        return count

    def find_instances(self, function: Function, request: Request, now_ms: float) -> None:
        """Look for instances for a new request by probes, unless a warm one is known that can take it.

        With many routers, each router probes only its first preferred worker, which is the same for most
        routers.
        """
        if self._capacity.many_routers:
            if self._placement.is_warm_with_headroom(function, now_ms):
                return
            workers = self._placement.preferred_workers(function, request, now_ms)[:1]
        else:
            if self._placement.is_warm(function, now_ms):
                return
            workers = self._placement.hash_order(function)[:PROBE_FANOUT]
        for worker in workers:
            self._ensure_instance(function, worker, now_ms)

    def _ensure_instance(self, function: Function, worker: Worker, now_ms: float) -> None:
        """Probe a worker without a known instance. If it was probed recently, a start may be ordered there.

        Starts are ordered only with many routers. "Recently" means within `PROBE_TTL_MS`.
        """
        pool = function.pool_at(worker)
        is_usable = self._health.is_usable(worker, function.class_name, now_ms)
        if not (is_usable and self._can_order_starts):
            return
        if self._instances.count(pool, worker, now_ms):
            return
        is_warm = self._placement.is_warm(function, now_ms)
        may_start = self._capacity.many_routers and not pool.pending_probes
        may_start = may_start and (not is_warm or self._speculation.update(function, now_ms))
        if now_ms - pool.last_probed_ms > PROBE_TTL_MS:
            self._probe_if_allowed(function, worker, now_ms)
        elif may_start and self._start_orders.can_start_at(function, worker, now_ms, is_speculative=is_warm):
            self._start_orders.order_if_lease_valid(function, worker, now_ms, is_speculative=is_warm)

    def _probe_if_allowed(self, function: Function, worker: Worker, now_ms: float) -> None:
        """Probe a worker without a known instance, unless too many such probes are pending."""
        if self._probe_limits.allows_probe(worker.id):
            self._probe_limits.record_probe(worker.id, function.name)
            self._health.probe(function, worker, now_ms)
        else:
            function.probe_refused_ms = now_ms

    def record_report(self, event: InstancesReported) -> None:
        """Record that a worker has answered a probe or a start order, or will not."""
        self._probe_limits.record_report(event)

    def may_have_free_slot(self, request: Request, worker: Worker, now_ms: float) -> bool:
        """Return whether a worker has a free slot, or one that would have to be verified by a probe."""
        return self._instances.slot_state(request, worker, now_ms) is not SlotState.UNAVAILABLE

    def check_free_slot(self, request: Request, worker: Worker, now_ms: float) -> bool:
        """Return whether a worker has a free slot. If this is uncertain, probe it and return False."""
        state = self._instances.slot_state(request, worker, now_ms)
        if state is not SlotState.UNVERIFIED:
            return state is SlotState.FREE
        function = request.function
        is_usable = self._health.is_usable(worker, function.class_name, now_ms)
        if is_usable and not function.pools[worker.id].pending_probes:
            self._health.probe(function, worker, now_ms)
        return False

    def must_wait_for_probe(self, function: Function, now_ms: float) -> bool:
        """Return whether requests must wait for a pending probe. They do so only with many routers."""
        return self._capacity.many_routers and self._has_recent_probe(function, now_ms)

    def _has_recent_probe(self, function: Function, now_ms: float) -> bool:
        """Return whether a probe of a function is pending, for no longer than about one round trip.

        Where the limits allow no probe, requests wait for as long. A flood of new functions whose requests
        are withdrawn at once would otherwise start instances because no probe is allowed.
        """
        if now_ms - function.probe_refused_ms < PROBE_WAIT_MS:
            return True
        if now_ms - function.last_probed_ms >= PROBE_WAIT_MS:
            return False
        return any(pool.pending_probes for pool in function.pools.values())

    def record_probe_answer(
        self, function: Function, worker: Worker, event: InstancesReported, now_ms: float
    ) -> None:
        """Record the end of a probe.

        With many routers, a start may be ordered at the worker if it has no instance and is among the first
        `fanout` workers in hash order.
        """
        pool = function.pool_at(worker)
        pool.pending_probes = max(0, pool.pending_probes - 1)
        if not self._capacity.many_routers or event.outcome is not Outcome.OK:
            return
        if worker in self._placement.hash_order(function)[: function.fanout]:
            self._ensure_instance(function, worker, now_ms)
