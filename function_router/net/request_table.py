"""Every pending request, from a client's message to its one final answer, and the attempts in flight.

Nothing here depends on the protocol of clients: see `function_router.net.pending_request`.
"""

import itertools
import math
from collections.abc import Mapping
from dataclasses import dataclass

from function_router.config import TransportSettings
from function_router.decisions.actions import (
    CancelAttempt,
    EnsureInstances,
    FailRequest,
    RejectRequest,
    SendRequest,
)
from function_router.decisions.events import AttemptEnded, DrainStarted, RequestArrived, RequestCancelled
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import Outcome, StartKind
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import outcome_of
from function_router.net.event_loop import EventLoop
from function_router.net.invariants import MAX_LATENESS_MS, Invariant
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pending_request import (
    ClientRequest,
    Failed,
    FinalAnswer,
    PendingRequest,
    Rejected,
    Served,
)
from function_router.net.send_checks import check_request
from function_router.net.start_orders import RevalidateStartOrder, StartOrderSender
from function_router.net.telemetry import ANSWERS, Telemetry
from function_router.net.timer_wheel import Timer
from function_router.net.worker_messages import Answer, Attempt, Result
from function_router.net.worker_pool import WorkerPool

MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024  # bodies of all pending requests: part of the memory limit
FULL_TABLE_RETRY_AFTER_MS = 250.0  # advice to a client whose request finds no room in the table
MAX_REPORTED_IN_FLIGHT = 30  # a worker's figure beyond it is passed on as this
LOG_SOURCE = "requests"  # these lines have a rate limit of their own


@dataclass(frozen=True, slots=True)
class _AttemptReport:
    """What an ended attempt tells the decision module, and how the log puts it."""

    outcome: Outcome
    start_kind: StartKind
    in_flight: int | None  # requests for the function that the worker held before this one
    description: str


class RequestTable:
    """Owns every pending request, and makes sure that each gets exactly one final answer."""

    def __init__(
        self,
        loop: EventLoop,
        pool: WorkerPool,
        wire: TransportSettings,
        classes: Mapping[str, RequestClass],
        revalidate_start_order: RevalidateStartOrder,
        telemetry: Telemetry,
    ) -> None:
        self.pending: dict[str, PendingRequest] = {}
        self._loop = loop
        self._pool = pool
        self._wire = wire
        self._classes = classes
        self._telemetry = telemetry
        self._start_orders = StartOrderSender(
            loop, pool, revalidate_start_order, self._add_function_trace_step
        )
        self._batch_ms = 0.0  # when the batch whose actions are being carried out was handled
        self._pending_body_bytes = 0
        self._shutdown_at_ms = math.inf  # from then on the process may be killed
        self._keys_by_client_id: dict[bytes, str] = {}  # of pending requests
        self._request_numbers = itertools.count(1)
        # Attempts in flight, also of finished requests: the decision module may still cancel those.
        self._attempts: dict[tuple[str, int], Attempt] = {}
        # Finished requests that the decision module may still send, as it has not heard of their end yet.
        self._finished_in_batch: dict[str, PendingRequest] = {}
        self._finished_in_previous_batch: dict[str, PendingRequest] = {}

    # --- from clients -------------------------------------------------------------------------

    def admit(self, client_request: ClientRequest) -> str | Rejected:
        """Add a request and return its key, or a rejection to answer at once where there is no room."""
        if not self._has_room_for(client_request):
            return Rejected(min(FULL_TABLE_RETRY_AFTER_MS, self._wire.max_retry_after_ms))
        key = f"r{next(self._request_numbers)}"
        self._pending_body_bytes += len(client_request.body)
        self._keys_by_client_id[client_request.id] = key
        now_ms = self._loop.turn_started_ms
        timeout_ms = max(0.0, min(client_request.timeout_ms, self._shutdown_at_ms - now_ms))
        deadline_timer = self._set_deadline_timer(key, timeout_ms)
        self.pending[key] = PendingRequest(key, client_request, now_ms + timeout_ms, deadline_timer)
        self._loop.submit(
            RequestArrived(
                request_id=key,
                function=client_request.function,
                class_name=client_request.class_name,
                tenant=client_request.tenant,
                timeout_ms=timeout_ms,
                concurrency=client_request.concurrency,
                memory_mb=client_request.memory_mb,
                expected_start_ms=client_request.expected_start_ms,
                client_id=client_request.id.hex(),
                age_ms=client_request.age_ms,
            )
        )
        return key

    def drain(self, within_ms: float) -> None:
        """Limit all deadlines to when the process may be killed: a request pending then gets no answer."""
        self._shutdown_at_ms = self._loop.turn_started_ms + within_ms
        for request in self.pending.values():
            if request.deadline_ms > self._shutdown_at_ms:
                request.deadline_ms = self._shutdown_at_ms
                request.deadline_timer.cancel()
                request.deadline_timer = self._set_deadline_timer(request.key, within_ms)
        self._loop.submit(DrainStarted(within_ms))

    def is_pending(self, client_request_id: bytes) -> bool:
        """Whether a request with this id is pending and its client still connected."""
        key = self._keys_by_client_id.get(client_request_id)
        return key is not None and self.pending[key].client_request.is_client_connected()

    def cancel_request(self, key: str) -> None:
        """Drop a request whose client no longer waits: it gets no answer."""
        if request := self._close(key):
            self._submit_cancelled(request)

    # --- from the decision module -------------------------------------------------------------

    def begin_batch(self, now_ms: float) -> None:
        """Note that a batch of events is about to be handled, at this time of the module's clock."""
        self._batch_ms = now_ms
        self._finished_in_previous_batch = self._finished_in_batch
        self._finished_in_batch = {}

    def send(self, action: SendRequest) -> None:
        """Send an attempt; where its request has just finished, report it as not sent."""
        key = action.request_id
        request = (
            self.pending.get(key)
            or self._finished_in_batch.get(key)
            or self._finished_in_previous_batch.get(key)
        )
        if request is None:
            return
        number = request.attempt_count
        request.attempt_count += 1
        if key not in self.pending:  # it finished after the batch had been gathered
            self._loop.submit(
                AttemptEnded(key, number, action.worker_id, Outcome.NOT_SENT, 0.0, is_answered=True)
            )
            return
        attempt = self._create_attempt(request, number, action.worker_id)
        self._attempts[key, number] = attempt
        request.add_trace_step(f"sent to {action.worker_id}")
        self._pool.send(attempt)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is in flight."""
        if attempt := self._attempts.get((action.request_id, action.attempt_number)):
            self._pool.cancel(attempt)

    def reject(self, action: RejectRequest) -> None:
        """Answer a request with a rejection."""
        self._finish(action.request_id, Rejected(action.retry_after_ms))

    def fail(self, action: FailRequest) -> None:
        """Answer a request with a failure."""
        self._finish(action.request_id, Failed())

    def ensure_instances(self, action: EnsureInstances) -> None:
        """Send a start order or a probe."""
        self._start_orders.send(action, decided_at_ms=self._batch_ms)

    # --- the end of a request -----------------------------------------------------------------

    def _set_deadline_timer(self, key: str, within_ms: float) -> Timer:
        return self._loop.timers.call_later(within_ms, lambda: self._on_deadline(key))

    def _on_deadline(self, key: str) -> None:
        """Fail a request that the decision module did not finish by its deadline.

        It normally finishes each one earlier; if a fault stops it from doing so, the client still gets its
        answer.
        """
        request = self.pending[key]
        self._finish(key, Failed())
        self._submit_cancelled(request)

    def _finish(self, key: str, answer: FinalAnswer) -> None:
        if request := self._close(key):
            request.client_request.reply(answer)
            self._telemetry.count(ANSWERS, answer.name)
            self._check_in_time(request)
            self._log_trace(request, answer)

    def _check_in_time(self, request: PendingRequest) -> None:
        late_ms = monotonic_ms() - request.deadline_ms
        if late_ms > MAX_LATENESS_MS:
            detail = f"{request.key}: {late_ms:.0f} ms late"
            self._telemetry.invariants.record(Invariant.ANSWERED_IN_TIME, detail)

    def _close(self, key: str) -> PendingRequest | None:
        request = self.pending.pop(key, None)
        if request:
            request.deadline_timer.cancel()
            self._pending_body_bytes -= len(request.client_request.body)
            self._keys_by_client_id.pop(request.client_request.id, None)
            self._finished_in_batch[key] = request
            self._cancel_unsent_attempts(request)
        return request

    def _cancel_unsent_attempts(self, request: PendingRequest) -> None:
        """Cancel the attempts of a finished request of which their workers have not seen a byte.

        The decision module's own cancellations do not cover these: the settings may forbid them.
        """
        for attempt in self._attempts_of(request):
            self._pool.cancel_if_unsent(attempt)

    def _submit_cancelled(self, request: PendingRequest) -> None:
        self._loop.submit(RequestCancelled(request.key, request.client_request.id.hex()))

    # --- attempts -----------------------------------------------------------------------------

    def _create_attempt(self, request: PendingRequest, number: int, worker_id: int) -> Attempt:
        key = request.key
        client_request = request.client_request
        return Attempt(
            worker_id=worker_id,
            on_done=lambda attempt, result: self._on_attempt_done(key, number, attempt, result),
            reason_not_to_send=lambda: self._reason_not_to_send(key),
            exchange_id=client_request.id,
            class_name=client_request.class_name,
            function=client_request.function,
            idempotency_key=client_request.idempotency_key,
            body=client_request.body,
            deadline_ms=request.deadline_ms,
        )

    def _reason_not_to_send(self, key: str) -> NotSentReason | None:
        """Why an attempt's first byte may not leave now, which may be long after it was decided on."""
        request = self.pending.get(key)
        if request is None:
            return NotSentReason.REQUEST_FINISHED
        request_class = self._classes.get(request.client_request.class_name)
        return check_request(request, request_class, self._attempts_of(request), monotonic_ms())

    def _attempts_of(self, request: PendingRequest) -> list[Attempt]:
        """The attempts of a request that are in flight."""
        keys = ((request.key, number) for number in range(request.attempt_count))
        return [self._attempts[key] for key in keys if key in self._attempts]

    def _on_attempt_done(self, key: str, number: int, attempt: Attempt, result: Result) -> None:
        del self._attempts[key, number]
        report = self._report_of(attempt, result)
        if request := self.pending.get(key):
            wait_ms = attempt.connection_wait_ms
            request.add_trace_step(f"{attempt.worker_id}: {report.description} connection wait {wait_ms:.0f}")
            if attempt.is_started and report.outcome.may_have_run:
                request.first_run_at_ms = min(request.first_run_at_ms, attempt.created_at_ms)
        if isinstance(result, Answer) and report.outcome is Outcome.OK:
            self._finish(key, Served(result.body))
        self._loop.submit(
            AttemptEnded(
                request_id=key,
                attempt_number=number,
                worker_id=attempt.worker_id,
                outcome=report.outcome,
                duration_ms=monotonic_ms() - attempt.created_at_ms,
                is_answered=key not in self.pending,
                start_kind=report.start_kind,
                in_flight=report.in_flight,
            )
        )

    def _report_of(self, attempt: Attempt, result: Result) -> _AttemptReport:
        if not isinstance(result, Answer):
            outcome = outcome_of(result, is_started=attempt.is_started)
            cause = f" ({attempt.not_sent_reason.name})" if attempt.not_sent_reason else ""
            return _AttemptReport(outcome, StartKind.UNKNOWN, None, result.name + cause)
        in_flight = self._reported_in_flight(result)
        description = f"{result.outcome.name} {result.start_kind.name} in flight {in_flight}"
        return _AttemptReport(result.outcome, result.start_kind, in_flight, description)

    def _reported_in_flight(self, answer: Answer) -> int | None:
        if not self._wire.reports_in_flight or answer.outcome not in (Outcome.OK, Outcome.QUEUE_FULL):
            return None
        return min(MAX_REPORTED_IN_FLIGHT, answer.in_flight)

    # --- room and log -------------------------------------------------------------------------

    def _has_room_for(self, client_request: ClientRequest) -> bool:
        has_free_place = len(self.pending) < self._wire.max_pending_requests
        return has_free_place and self._pending_body_bytes + len(client_request.body) <= MAX_TOTAL_BODY_BYTES

    def _add_function_trace_step(self, function: str, text: str) -> None:
        for request in self.pending.values():
            if request.client_request.function == function:
                request.add_trace_step(text)

    def _log_trace(self, request: PendingRequest, answer: FinalAnswer) -> None:
        """Log the steps of a request that was not served within its class's latency objective."""
        duration_ms = monotonic_ms() - request.admitted_at_ms
        request_class = self._classes.get(request.client_request.class_name)
        if request_class is None:
            return
        if isinstance(answer, Served) and duration_ms <= request_class.latency_objective_ms:
            return
        self._telemetry.log(request.format_trace(answer, duration_ms), LOG_SOURCE)
