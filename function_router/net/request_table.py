"""The table of pending requests, which tracks each request from its admission to its one final answer.

It does not depend on the client protocol; see `function_router.net.client_request`.
"""

import itertools
import math
from collections.abc import Mapping

from function_router.config import TransportSettings
from function_router.decisions.actions import (
    CancelAttempt,
    CheckHealth,
    EnsureInstances,
    FailRequest,
    NoteWithheld,
    RejectRequest,
    SendRequest,
)
from function_router.decisions.events import AttemptEnded, DrainStarted, RequestArrived, RequestCancelled
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import Outcome
from function_router.net.attempts_in_flight import AttemptsInFlight
from function_router.net.client_request import (
    ClientRequest,
    Failed,
    FinalAnswer,
    Invocation,
    Rejected,
    Served,
)
from function_router.net.clock import monotonic_ms
from function_router.net.event_loop import EventLoop
from function_router.net.health_checks import HealthChecker
from function_router.net.invariants import MAX_LATENESS_MS, Invariant
from function_router.net.memory_budget import MemoryBudget
from function_router.net.past_runs import PastRuns
from function_router.net.pending_request import PendingRequest
from function_router.net.pending_requests import PendingRequests, RecentlyFinishedRequests
from function_router.net.start_orders import RevalidateStartOrder, StartOrderSender
from function_router.net.telemetry import ANSWERS, REJECTED, WITHHELD, Telemetry
from function_router.net.timer_wheel import Timer
from function_router.net.worker_pool import WorkerPool

# How long a client is advised to wait before a retry if the full table rejects its request.
FULL_TABLE_RETRY_AFTER_MS = 250.0
# Source of the log lines about requests, which have a separate rate limit.
LOG_SOURCE = "requests"


class RequestTable:
    """Owns the pending requests, and gives each exactly one final answer unless it is cancelled.

    Args:
        loop: The event loop, for deadline timers and the events for the decision module.
        pool: Sends attempts, start orders and health checks.
        transport: Limits on pending requests and on the data sent to workers and clients.
        classes: The request classes by name.
        revalidate_start_order: See `function_router.net.start_orders.RevalidateStartOrder`.
        telemetry: The log, the counters and the run-time checks.
        memory: The memory that requests can fill.

    Attributes:
        attempts: The attempts in flight.
        memory: The memory that requests can fill.
    """

    def __init__(
        self,
        loop: EventLoop,
        pool: WorkerPool,
        transport: TransportSettings,
        classes: Mapping[str, RequestClass],
        revalidate_start_order: RevalidateStartOrder,
        telemetry: Telemetry,
        memory: MemoryBudget,
    ) -> None:
        self._loop = loop
        self._transport = transport
        self._classes = classes
        self._telemetry = telemetry
        self.memory = memory
        self._requests = PendingRequests(transport.max_pending_requests)
        self._recently_finished = RecentlyFinishedRequests()
        self._past_runs = PastRuns(memory.past_runs)
        self._request_numbers = itertools.count(1)
        self.attempts = AttemptsInFlight(
            loop, pool, transport, classes, self._requests, self._finish, memory.requests
        )
        self._start_orders = StartOrderSender(loop, pool, revalidate_start_order, self._requests)
        self._health_checker = HealthChecker(loop, pool, self._requests.add_trace_step, telemetry)
        self._batch_time_ms = 0.0  # time of the batch whose actions are being performed
        # The limit on all deadlines (monotonic) during a drain, as SIGKILL may follow.
        self._latest_deadline_ms = math.inf

    @property
    def pending(self) -> Mapping[str, PendingRequest]:
        """The pending requests by key, oldest first."""
        return self._requests.by_key

    # --- calls from clients -------------------------------------------------------------------

    def admit(self, client_request: ClientRequest) -> str | Rejected:
        """Add a request and return its key; if a limit is reached, return the rejection to answer with."""
        if reason := self._requests.reason_to_reject(client_request):
            self._telemetry.count(REJECTED, reason.name)
            return Rejected(min(FULL_TABLE_RETRY_AFTER_MS, self._transport.max_retry_after_ms))
        key = f"r{next(self._request_numbers)}"
        now_ms = self._loop.turn_started_ms
        timeout_ms = max(0.0, min(client_request.timeout_ms, self._latest_deadline_ms - now_ms))
        deadline_timer = self._set_deadline_timer(key, timeout_ms)
        self._requests.add(PendingRequest(key, client_request, now_ms + timeout_ms, deadline_timer))
        invocation = client_request.invocation
        self._loop.submit(
            RequestArrived(
                request_id=key,
                function=invocation.function,
                class_name=invocation.class_name,
                tenant=invocation.tenant,
                timeout_ms=timeout_ms,
                concurrency=invocation.concurrency,
                memory_mb=invocation.memory_mb,
                expected_start_ms=invocation.expected_start_ms,
                client_request_id=invocation.request_id.hex(),
                age_ms=client_request.age_ms,
            )
        )
        return key

    def is_pending(self, client_request_id: bytes) -> bool:
        """Return whether a request with this id is pending and its client is still connected."""
        request = self._requests.find_by_client_request_id(client_request_id)
        return request is not None and request.client_request.is_client_connected()

    def may_run(self, invocation: Invocation) -> bool:
        """Return whether a request may run: no earlier one with its id has, or its class allows a repeat."""
        request_class = self._classes.get(invocation.class_name)
        return self._past_runs.allows_repeat(invocation.request_id, request_class, monotonic_ms())

    def cancel_request(self, key: str) -> None:
        """Remove a request whose client no longer waits, without an answer."""
        if request := self._remove(key):
            self._submit_cancelled(request)

    # --- calls from the process ---------------------------------------------------------------

    def drain(self, within_ms: float) -> None:
        """Limit all deadlines to `within_ms` from now, so that each request is answered before a SIGKILL."""
        self._latest_deadline_ms = self._loop.turn_started_ms + within_ms
        for request in self._requests.by_key.values():
            if request.deadline_ms > self._latest_deadline_ms:
                request.deadline_ms = self._latest_deadline_ms
                request.deadline_timer.cancel()
                request.deadline_timer = self._set_deadline_timer(request.key, within_ms)
        self._loop.submit(DrainStarted(within_ms))

    def begin_batch(self, now_ms: float) -> None:
        """Prepare for a batch of events, which the decision module handles at this time of its clock."""
        self._batch_time_ms = now_ms
        self._recently_finished.begin_batch()

    # --- actions of the decision module -------------------------------------------------------

    def send(self, action: SendRequest) -> None:
        """Send an attempt; report it as not sent if its request has finished recently."""
        key = action.request_id
        pending = self._requests.by_key.get(key)
        request = pending or self._recently_finished.get(key)
        if request is None:
            return
        number = request.take_attempt_number()
        if pending:
            self.attempts.send(pending, number, action.worker_id)
        else:
            self._loop.submit(
                AttemptEnded(key, number, action.worker_id, Outcome.NOT_SENT, 0.0, is_answered=True)
            )

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is in flight."""
        self.attempts.cancel(action.request_id, action.attempt_number)

    def reject(self, action: RejectRequest) -> None:
        """Answer a request with a rejection."""
        self._finish(action.request_id, Rejected(action.retry_after_ms))

    def fail(self, action: FailRequest) -> None:
        """Answer a request with a failure."""
        self._finish(action.request_id, Failed())

    def ensure_instances(self, action: EnsureInstances) -> None:
        """Send a start order or a probe."""
        self._start_orders.send(action, decided_at_ms=self._batch_time_ms)

    def check_health(self, action: CheckHealth) -> None:
        """Ask a worker whether it is ready or draining."""
        self._health_checker.send(action)

    def note_withheld(self, action: NoteWithheld) -> None:
        """Record in a request's trace that it was not sent to a worker without a valid lease."""
        self._telemetry.count(WITHHELD)
        if request := self._requests.by_key.get(action.request_id):
            request.add_trace_step(f"withheld from {action.worker_id}: no valid lease")

    # --- completion of a request --------------------------------------------------------------

    def _set_deadline_timer(self, key: str, within_ms: float) -> Timer:
        return self._loop.timers.call_later(within_ms, lambda: self._on_deadline(key))

    def _on_deadline(self, key: str) -> None:
        """Let the decision module finish a request in this turn, and fail it in the next one otherwise.

        After a stall of the process, its timer may be due in the same turn. It knows whether the request may
        have run, and rejects one that was never sent.
        """
        request = self._requests.by_key[key]
        request.deadline_timer = self._loop.timers.call_later(0.0, lambda: self._fail_overdue(key))

    def _fail_overdue(self, key: str) -> None:
        """Fail a request that the decision module did not finish by its deadline.

        Normally the decision module finishes each request earlier. The deadline timer makes sure that the
        client gets an answer even if a fault prevents that.
        """
        request = self._requests.by_key[key]
        self._finish(key, Failed())
        self._submit_cancelled(request)

    def _finish(self, key: str, answer: FinalAnswer) -> None:
        """Answer a request if it is still pending."""
        if request := self._remove(key):
            request.client_request.reply(answer)
            self._telemetry.count(ANSWERS, answer.name)
            self._check_lateness(request)
            self._log_trace(request, answer)

    def _remove(self, key: str) -> PendingRequest | None:
        """Remove and return a request; None if it is no longer pending."""
        request = self._requests.remove(key)
        if request:
            request.deadline_timer.cancel()
            self._recently_finished.add(request)
            self.attempts.cancel_unsent(request)
            self._record_run(request)
        return request

    def _record_run(self, request: PendingRequest) -> None:
        """Remember a request that may have run, or may still run, in case its id comes again."""
        first_run_ms = self.attempts.first_possible_run_ms(request)
        if first_run_ms is not None:
            invocation = request.invocation
            request_class = self._classes.get(invocation.class_name)
            self._past_runs.record(invocation.request_id, request_class, first_run_ms, monotonic_ms())

    def _submit_cancelled(self, request: PendingRequest) -> None:
        self._loop.submit(RequestCancelled(request.key, request.invocation.request_id.hex()))

    def _check_lateness(self, request: PendingRequest) -> None:
        late_ms = monotonic_ms() - request.deadline_ms
        if late_ms > MAX_LATENESS_MS:
            detail = f"{request.key}: {late_ms:.0f} ms late"
            self._telemetry.invariants.record(Invariant.ANSWERED_IN_TIME, detail)

    def _log_trace(self, request: PendingRequest, answer: FinalAnswer) -> None:
        """Log the trace of a request that was not served within the latency objective of its class."""
        duration_ms = monotonic_ms() - request.admitted_at_ms
        request_class = self._classes.get(request.invocation.class_name)
        if request_class is None:
            return
        if isinstance(answer, Served) and duration_ms <= request_class.latency_objective_ms:
            return
        self._telemetry.log(request.format_trace(answer, duration_ms), LOG_SOURCE)
