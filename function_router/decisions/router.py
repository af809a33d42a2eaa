"""The event handlers of a router. Each one calls the components in the order in which they must act.

Each component has its own module and owns its state. A component calls only the components that are passed to
its constructor, and reports to those above it by return values. No component reads a clock: the time of the
event is passed as an argument.
"""

import math
from collections.abc import Callable

from function_router.decisions import events
from function_router.decisions.actions import Action, SetTimer
from function_router.decisions.admission import TIMER_INTERVAL_MS, Admission
from function_router.decisions.answers import Answers
from function_router.decisions.connection_policy import ConnectionPolicy
from function_router.decisions.dispatch import Dispatcher
from function_router.decisions.feedback import Feedback
from function_router.decisions.fleet import Fleet
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import Function, Request, Worker
from function_router.decisions.requests import OpenRequests
from function_router.decisions.retries import Retries
from function_router.decisions.retry_policy import RetryPolicy
from function_router.decisions.scaling import Scaling
from function_router.decisions.settings import RequestClass, Settings
from function_router.decisions.speculation import Speculation
from function_router.decisions.start_order_limits import StartOrderLimits
from function_router.decisions.start_orders import StartOrders
from function_router.decisions.types import Outcome
from function_router.hashing import mix64

# Interval at which idle functions and removed workers are evicted.
EVICTION_INTERVAL_MS = 15_000.0

# Outcomes after which a worker needs a new health check: the process that answered the last one may be gone,
# or it rejects new work, perhaps because it drains.
LEASE_REVOKING_OUTCOMES = (Outcome.NOT_SENT, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.QUEUE_FULL)


class Router:
    """Makes the decisions of one router: it takes events and returns actions.

    The same events always give the same actions, because all randomness is derived from the seed. Times are
    milliseconds on the caller's clock, which must be monotonic.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the components, the lower layers first."""
        self.settings = settings
        self._next_seed = seed
        self._request_count = 0  # since the start
        self._is_timer_set = False
        self._evicted_ms = -math.inf
        self._outbox = Outbox()
        self.fleet = Fleet(settings, seed, self._outbox)
        self.connection_policy = ConnectionPolicy(self.fleet)
        self.requests = OpenRequests()
        self.start_order_limits = StartOrderLimits(settings, self.fleet.arrivals)
        self.speculation = Speculation(self.fleet.durations)
        self._admission = Admission(settings, self.fleet, self.requests)
        retry_policy = RetryPolicy(settings, self.fleet.process_identity)
        start_orders = StartOrders(self.fleet, self.requests, self.start_order_limits, self._outbox)
        self._start_orders = start_orders
        self._scaling = Scaling(settings, self.fleet, self._admission, self.speculation, start_orders)
        self._dispatcher = Dispatcher(
            self.fleet, self.requests, self._admission, retry_policy, self._scaling, self._outbox
        )
        self._answers = Answers(settings, self.requests, retry_policy, self._outbox)
        self._retries = Retries(self.fleet, self.requests, retry_policy, self._answers, self._dispatcher)
        self._feedback = Feedback(self.fleet)
        self._handlers = self._handlers_by_event()

    def _handlers_by_event(self) -> dict[type[events.Event], Callable[..., None]]:
        """Map each kind of event to its handler, which takes the event and its time."""
        return {
            events.EndpointsChanged: self._on_endpoints_changed,
            events.EndpointListConfirmed: self._on_endpoint_list_confirmed,
            events.EndpointListInterrupted: self._on_endpoint_list_interrupted,
            events.HealthChecked: self._on_health_checked,
            events.RequestArrived: self._on_request_arrived,
            events.RequestCancelled: self._on_request_cancelled,
            events.AttemptEnded: self._on_attempt_ended,
            events.InstancesReported: self._on_instances_reported,
            events.TimerFired: self._on_timer_fired,
            events.DrainStarted: self._on_drain_started,
        }

    def handle(self, now_ms: float, batch: list[events.Event]) -> list[Action]:
        """Handle a batch of events that happen at the same time, in their order.

        Returns:
            The actions, which the caller must carry out immediately and in their order. After an exception,
            `take_actions` returns the actions that were decided up to the exception.
        """
        arrivals = self.fleet.arrivals
        arrivals.observed_since_ms = min(arrivals.observed_since_ms, now_ms)
        for event in batch:
            self._handlers[type(event)](event, now_ms)
        if not self._is_timer_set and self._needs_timer(now_ms):
            self._is_timer_set = True
            self._outbox.add(SetTimer(TIMER_INTERVAL_MS, 0))
        return self.take_actions()

    def _needs_timer(self, now_ms: float) -> bool:
        """Return whether anything is to be checked periodically."""
        has_requests = bool(self.requests.by_id or self.requests.attempts)
        return has_requests or self.fleet.leases.needs_periodic_checks(now_ms)

    def take_actions(self) -> list[Action]:
        """Return the actions not returned yet, after an exception those that were decided up to it."""
        return self._outbox.take()

    def revalidate_start_order(self, counted_ms: float, now_ms: float) -> float | None:
        """Check a start order against the rate limit again, when its first byte is about to be written.

        An order that is written soon after its decision keeps its time `counted_ms` in the rate limit.

        Returns:
            The time at which the rate limit now counts the order; None if the order must not be sent.
        """
        return self.start_order_limits.revalidate(counted_ms, now_ms)

    def is_endpoint_list_current(self, now_ms: float) -> bool:
        """Return whether the lease on the endpoint list is valid."""
        return self.fleet.leases.is_list_current(now_ms)

    def _on_endpoints_changed(self, event: events.EndpointsChanged, now_ms: float) -> None:
        """Apply the list, and dispatch queued requests, as other workers may be available now."""
        self.fleet.update_endpoints(event, now_ms)
        self._refresh(now_ms)
        self._dispatcher.dispatch_waiting(now_ms)

    def _on_endpoint_list_confirmed(self, event: events.EndpointListConfirmed, now_ms: float) -> None:
        """Renew the lease on the list, and dispatch the requests withheld while it was out of date."""
        was_current = self.fleet.leases.is_list_current(now_ms)
        self.fleet.process_identity.record_list_confirmed(event.as_of_ms)
        self.fleet.late_send_audit.record_confirmed(event.as_of_ms)
        if self.fleet.leases.record_confirmed(event, now_ms):
            self._on_ready_changed(now_ms)
        if not was_current:
            self._dispatcher.dispatch_waiting(now_ms)

    def _on_endpoint_list_interrupted(self, _event: events.EndpointListInterrupted, now_ms: float) -> None:
        """Let the lease on the list expire."""
        self.fleet.leases.record_interrupted(now_ms)

    def _on_health_checked(self, event: events.HealthChecked, now_ms: float) -> None:
        """Record the answer, and dispatch the requests that waited for it, to this or another worker."""
        worker = self.fleet.workers.by_id.get(event.worker_id)
        if worker is None:
            return
        if self.fleet.leases.record_answer(worker, event, now_ms):
            self._on_ready_changed(now_ms)
        became_unresponsive = self._feedback.record_health_check(event, worker, now_ms)
        if became_unresponsive:
            self._retries.retry_elsewhere(worker, now_ms)
        self._dispatcher.dispatch_waiting(now_ms)

    def _on_ready_changed(self, now_ms: float) -> None:
        """Update what depends on the ready workers, after health checks have changed them."""
        self.fleet.health.recount_unresponsive()
        self._refresh(now_ms)

    def _on_request_arrived(self, event: events.RequestArrived, now_ms: float) -> None:
        """Queue the request, look for instances if none is known, and dispatch the function.

        A request for a new function is rejected if the function table is full of functions in use.
        """
        function = self.fleet.functions.find_or_add(event)
        if function is None:
            self._answers.reject_unqueued(event.request_id)
            return
        self.fleet.arrivals.record(event, now_ms)
        request = self._make_request(event, function, now_ms)
        self.fleet.placement.record_arrival(function, now_ms)
        self._retries.record_arrival()
        self.requests.add(request)
        self._dispatcher.enqueue(request, now_ms)
        if self._admission.is_due_on_arrival(request, now_ms):
            self._answers.finish(request)
        else:
            self._scaling.find_instances(function, request, now_ms)
        self._dispatcher.dispatch(function, now_ms)

    def _make_request(self, event: events.RequestArrived, function: Function, now_ms: float) -> Request:
        """Create the record of a new request, with its class, deadline and random bits."""
        random_bits = mix64(mix64(self._next_seed))
        self._next_seed += 1
        self._request_count += 1
        return Request(
            event.request_id,
            function,
            self.settings.classes.get(event.class_name) or RequestClass(event.class_name),
            arrived_ms=now_ms,
            deadline_ms=now_ms + event.timeout_ms,
            over_quota=self._admission.charge_quota(event.tenant, now_ms),
            queued_ms=now_ms,
            number=self._request_count,
            random_bits=random_bits,
            concurrency=function.concurrency,
        )

    def _on_request_cancelled(self, event: events.RequestCancelled, _now_ms: float) -> None:
        """Close the request without an answer, and cancel its attempts. Each still ends with an event."""
        self.fleet.arrivals.cancel(event)
        request = self.requests.by_id.get(event.request_id)
        if request is not None:
            self._answers.close(request)
            self._dispatcher.on_request_closed(request.function)

    def _on_attempt_ended(self, event: events.AttemptEnded, now_ms: float) -> None:
        """Update the estimates, close or retry the request, and use the slot that has become free.

        The request may have been closed before, or may be queued again for a hedge.
        """
        attempt = self.requests.end_attempt(event)
        if attempt is None:
            return
        function = attempt.function
        became_unresponsive = self._feedback.record_attempt(event, attempt, now_ms)
        self._update_lease_after(event.outcome, attempt.worker, now_ms)
        if became_unresponsive:
            self._retries.retry_elsewhere(attempt.worker, now_ms)
        request = self.requests.by_id.get(event.request_id)
        if request is not None and event.is_answered:
            self._retries.record_answer(request, attempt)
            self._answers.close(request)
        elif request is not None and request not in function.queue:
            self._retries.retry_or_finish(request, now_ms)
        self._dispatcher.dispatch_after_attempt(attempt, now_ms)

    def _on_instances_reported(self, event: events.InstancesReported, now_ms: float) -> None:
        """Update the estimates, end the start order or probe, and dispatch the function unless it is gone."""
        self._scaling.record_report(event)
        function = self.fleet.functions.by_name.get(event.function)
        worker = self.fleet.workers.by_id.get(event.worker_id)
        if worker is None:
            return
        pool = function.pool_at(worker) if function is not None else None
        is_start = pool is not None and pool.is_start_report(event)
        became_unresponsive = self._feedback.record_report(event, function, worker, now_ms)
        self._update_lease_after(event.outcome, worker, now_ms)
        if became_unresponsive:
            self._retries.retry_elsewhere(worker, now_ms)
        if function is None or pool is None:
            return
        if is_start:
            self._start_orders.record_end(function, worker, event.outcome, now_ms)
        else:
            self._scaling.record_probe_answer(function, worker, event, now_ms)
        self._dispatcher.dispatch(function, now_ms)

    def _update_lease_after(self, outcome: Outcome, worker: Worker, now_ms: float) -> None:
        """Revoke a worker's lease if the outcome suggests that its process is gone, or that it may drain."""
        if outcome in LEASE_REVOKING_OUTCOMES:
            self.fleet.leases.revoke(worker, now_ms)

    def _on_timer_fired(self, _event: events.TimerFired, now_ms: float) -> None:
        """Do the periodic checks: due requests, hedges, lost attempts, silent workers and limits."""
        self._is_timer_set = False
        capacity = self.fleet.capacity
        for request in self._admission.take_due(self._dispatcher.take_turn(), now_ms):
            self._answers.finish(request)
            self._dispatcher.on_request_closed(request.function)
        if capacity.many_routers:
            self._retries.hedge_overdue_requests(now_ms)
        self._retries.retry_lost_attempts(now_ms)
        self.requests.expire_recent_attempts(capacity.latency_objective_ms, now_ms)
        self.start_order_limits.release_abandoned(now_ms)
        self.fleet.leases.send_due_checks(now_ms)
        for worker in self.fleet.health.check_timeouts(now_ms):
            self._retries.retry_elsewhere(worker, now_ms)
        if capacity.is_refresh_due(now_ms):
            self._refresh(now_ms)
        if not self._admission.is_at_limit():
            self._dispatcher.dispatch_waiting(now_ms)

    def _on_drain_started(self, event: events.DrainStarted, now_ms: float) -> None:
        """Shorten all deadlines so that each request is answered before the process exits."""
        self.requests.limit_deadlines(now_ms + event.within_ms)
        for function in self._dispatcher.waiting_functions():
            function.queue.reschedule(self._admission.overdue_at_ms)

    def _refresh(self, now_ms: float) -> None:
        """Recompute the limits, and evict unused records at longer intervals."""
        if now_ms - self._evicted_ms >= EVICTION_INTERVAL_MS:
            self._evicted_ms = now_ms
            self.fleet.evict_unused(now_ms)
        self.fleet.capacity.refresh(now_ms)
