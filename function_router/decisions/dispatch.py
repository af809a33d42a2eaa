"""The queues of functions, and the only place that sends requests."""

import itertools
from collections import OrderedDict

from function_router.decisions.actions import NoteWithheld, SendRequest
from function_router.decisions.admission import Admission
from function_router.decisions.endpoint_leases import LeaseStatus
from function_router.decisions.fleet import Fleet
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import Attempt, Function, Request, Worker
from function_router.decisions.requests import OpenRequests
from function_router.decisions.retry_policy import RetryPolicy
from function_router.decisions.scaling import Scaling

# Maximum number of functions with queued requests that one event dispatches. If there are more, the next
# events dispatch the others, in turn.
MAX_DISPATCHED_FUNCTIONS = 100

# A worker with fewer attempts of this router in flight counts as unloaded, so its run times are assumed to
# include no queueing at the worker.
LOADED_AT_IN_FLIGHT = 2


class Dispatcher:
    """Owns the queues. Sends requests to free slots, and orders instances for requests left in a queue."""

    def __init__(
        self,
        fleet: Fleet,
        requests: OpenRequests,
        admission: Admission,
        retry_policy: RetryPolicy,
        scaling: Scaling,
        outbox: Outbox,
    ) -> None:
        self._capacity = fleet.capacity
        self._health = fleet.health
        self._leases = fleet.leases
        self._placement = fleet.placement
        self._requests = requests
        self._admission = admission
        self._retry_policy = retry_policy
        self._scaling = scaling
        self._outbox = outbox
        # Functions with queued requests, by name; those that were dispatched longest ago come first. Some may
        # have none any more, and are removed in their turn.
        self._waiting: OrderedDict[str, Function] = OrderedDict()

    def take_turn(self) -> list[Function]:
        """Return the next functions with queued requests; all of them if there are not too many."""
        functions = list(itertools.islice(self._waiting.values(), MAX_DISPATCHED_FUNCTIONS))
        is_part = len(functions) < len(self._waiting)
        for function in functions:
            if not function.queue:
                del self._waiting[function.name]
            elif is_part:
                self._waiting.move_to_end(function.name)
        return [function for function in functions if function.queue]

    def on_request_closed(self, function: Function) -> None:
        """Forget a function if the request that was closed was the last one in its queue."""
        if not function.queue:
            self._waiting.pop(function.name, None)

    def waiting_functions(self) -> list[Function]:
        """Return the functions with queued requests."""
        return [function for function in self._waiting.values() if function.queue]

    def enqueue(self, request: Request, now_ms: float) -> None:
        """Queue a request, which is sent when its function is dispatched."""
        function = request.function
        request.queued_ms = now_ms
        function.queue.add(request, self._admission.overdue_at_ms(request))
        self._waiting[function.name] = function

    def dispatch(self, function: Function, now_ms: float) -> None:
        """Serve the queue of a function, and order instances for the requests left in it."""
        self._serve_queue(function, now_ms)
        self._waiting.pop(function.name, None)
        if function.queue:
            self._waiting[function.name] = function
            self._scaling.order_starts(function, now_ms)

    def dispatch_waiting(self, now_ms: float) -> None:
        """Dispatch the functions with queued requests, the one with the most urgent request first."""
        self._dispatch_by_urgency(self.take_turn(), now_ms)

    def dispatch_after_attempt(self, attempt: Attempt, now_ms: float) -> None:
        """Dispatch the function of an attempt that has ended, and the others that may benefit from its end.

        Those are the functions whose first request the worker can take now. Any other function has gained
        nothing by the end of the attempt; what time alone changes for it, the next timer finds.

        With many routers, they are all functions with a pool at the worker, as the limit on all attempts in
        flight may have held them up. The function of the attempt is then dispatched again after them, as the
        first time may have enabled speculation.
        """
        function = attempt.function
        worker = attempt.worker
        is_limited = self._capacity.many_routers
        queued = [
            other
            for other in self.take_turn()
            if worker.id in other.pools
            and (is_limited or other is function or self._can_use(other, worker, now_ms))
        ]
        self._dispatch_by_urgency(queued, now_ms)
        if is_limited or function not in queued:
            self.dispatch(function, now_ms)

    def _can_use(self, function: Function, worker: Worker, now_ms: float) -> bool:
        """Return whether a worker with a pool of a function may take the request that is served first."""
        if not self._scaling.may_have_free_slot(next(iter(function.queue)), worker, now_ms):
            return False
        first = self._admission.first_in_queue(function, now_ms)
        return self._may_send_to(first, worker, self._admission.limit_fraction(first, now_ms), now_ms)

    def _dispatch_by_urgency(self, functions: list[Function], now_ms: float) -> None:
        """Dispatch functions, ordered by their most urgent requests."""
        for function in sorted(functions, key=lambda function: self._admission.urgency(function, now_ms)):
            self.dispatch(function, now_ms)

    def send_at_once(self, request: Request, now_ms: float) -> None:
        """Send another attempt only if a slot is free now. Don't queue the request or start an instance."""
        queue = request.function.queue
        queue.add(request, self._admission.overdue_at_ms(request))
        self._serve_queue(request.function, now_ms)
        if request in queue:
            queue.remove(request)

    def _serve_queue(self, function: Function, now_ms: float) -> None:
        """Send queued requests to free slots, the most urgent first.

        If a request finds no slot, the requests after it won't find one either, so the loop ends. Retries are
        an exception, as they may be restricted to some of the workers.
        """
        function.awaits_check = False
        if not function.queue:
            return
        for request in self._admission.in_order(function, now_ms):
            worker = self._find_worker(function, request, now_ms)
            if worker is not None:
                self._send(request, worker, now_ms)
            elif request.first_possible_run() is None:
                break

    def _find_worker(self, function: Function, request: Request, now_ms: float) -> Worker | None:
        """Find the worker for a request: the first candidate below its load bound, else the least loaded one.

        Of the candidates without a valid lease, only one at a time gets a health check.
        """
        limit_fraction = self._admission.limit_fraction(request, now_ms)
        # A hedge may use the whole limit on attempts in flight, but only a fraction of a worker's limit.
        in_flight_fraction = 1.0 if request.has_attempt_in_flight() else limit_fraction
        if self._admission.is_at_limit(in_flight_fraction):
            return None
        if self._scaling.must_wait_for_probe(function, now_ms):
            return None
        beyond_bound = []
        for worker in self._placement.candidates(function, request, now_ms):
            if not self._scaling.check_free_slot(request, worker, now_ms):
                continue
            if not self._may_send_to(request, worker, limit_fraction, now_ms):
                continue
            status = self._leases.check_lease(
                worker, function.name, now_ms, may_check=not function.awaits_check
            )
            if status is not LeaseStatus.VALID:
                function.awaits_check = function.awaits_check or status is LeaseStatus.PENDING
                self._note_withheld(request, worker)
                continue
            if self._placement.is_below_load_bound(worker, len(self._requests.attempts), now_ms):
                return worker
            beyond_bound.append(worker)
        return min(beyond_bound, key=lambda worker: worker.in_flight, default=None)

    def _note_withheld(self, request: Request, worker: Worker) -> None:
        """Record, once for each worker, that a request is not sent to it because it has no valid lease."""
        if worker.id not in request.withheld_from:
            request.withheld_from.append(worker.id)
            self._outbox.add(NoteWithheld(request.id, worker.id))

    def _may_send_to(self, request: Request, worker: Worker, limit_fraction: float, now_ms: float) -> bool:
        """Return whether a worker is usable, has capacity and is allowed by the retry policy."""
        if not self._health.is_usable(worker, request.request_class.name, now_ms):
            return False
        if not self._placement.has_capacity(worker, now_ms, fraction=limit_fraction):
            return False
        return self._retry_policy.allows_worker(request, worker, now_ms)

    def _send(self, request: Request, worker: Worker, now_ms: float) -> None:
        """Send a request to a worker. No other code does this."""
        function = request.function
        first_in_hash_order = function.hash_order[: function.fanout]
        attempt = Attempt(
            request.id,
            worker,
            worker.endpoint,
            function,
            request.request_class.name,
            now_ms,
            is_unloaded=worker.in_flight < LOADED_AT_IN_FLIGHT,
            preferred_pool_count=max(1, sum(other.id in function.pools for other in first_in_hash_order)),
        )
        pool = function.pool_at(worker)
        self._requests.add_attempt(request, attempt)
        function.queue.remove(request)
        if now_ms > request.queued_ms:
            function.queue_waits.add(now_ms, now_ms - request.queued_ms)
        self._placement.record_send(worker, now_ms)
        self._health.expect_reply(worker, now_ms)
        self._health.breakers.record_send(worker, attempt.class_name, now_ms)
        # The first attempt beyond the previous slots uses the speculative instance, whose idle time is Ti.
        if pool.unused_since_ms is not None and pool.in_flight > pool.slots_before_start:
            function.idle_before_use_ms = now_ms - pool.unused_since_ms
            pool.unused_since_ms = None
        self._outbox.add(SendRequest(request.id, worker.id))
