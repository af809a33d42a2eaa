"""The attempts in flight: sends them to workers and reports their results to the decision module."""

from collections.abc import Callable, Mapping

from function_router.config import TransportSettings
from function_router.decisions.events import AttemptEnded
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import Outcome
from function_router.net.attempt_report import AttemptReport
from function_router.net.client_request import Served
from function_router.net.clock import monotonic_ms
from function_router.net.event_loop import EventLoop
from function_router.net.memory_budget import MemoryAccount, MemoryShare
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pending_request import PendingRequest, PossibleRun
from function_router.net.pending_requests import PendingRequests
from function_router.net.send_checks import check_request, is_key_scoped, possible_runs
from function_router.net.worker_messages import Attempt, Result, WorkerAnswer
from function_router.net.worker_pool import WorkerPool


class AttemptsInFlight:
    """Owns each attempt from the time it is sent until it has a result.

    This includes attempts of finished requests, as the decision module may still cancel them.

    Args:
        loop: Takes the events for the decision module.
        pool: Sends the attempts.
        transport: The transport settings, such as whether workers report their requests in flight.
        classes: The request classes by name.
        requests: The pending requests.
        on_served: Called with a request's key and the worker's answer once a worker has served the request.
        memory: The share of the memory that the attempts use together with the pending requests.

    Attributes:
        by_key: The attempts by request key and attempt number, oldest first.
    """

    __slots__ = ("_classes", "_loop", "_memory", "_on_served", "_pool", "_requests", "_transport", "by_key")

    def __init__(
        self,
        loop: EventLoop,
        pool: WorkerPool,
        transport: TransportSettings,
        classes: Mapping[str, RequestClass],
        requests: PendingRequests,
        on_served: Callable[[str, Served], None],
        memory: MemoryShare,
    ) -> None:
        self.by_key: dict[tuple[str, int], Attempt] = {}
        self._loop = loop
        self._pool = pool
        self._transport = transport
        self._classes = classes
        self._requests = requests
        self._on_served = on_served
        self._memory = MemoryAccount(memory)

    def send(self, request: PendingRequest, number: int, worker_id: int) -> None:
        """Send attempt `number` of a pending request to a worker."""
        attempt = self._create(request, number, worker_id)
        self.by_key[request.key, number] = attempt
        self._memory.charge(attempt.size_bytes)
        request.add_trace_step(f"sent to {worker_id} by {self._pool.describe_lease(worker_id)}")
        self._pool.send(attempt)

    def cancel(self, key: str, number: int) -> None:
        """Cancel an attempt if it is in flight."""
        if attempt := self.by_key.get((key, number)):
            self._pool.cancel(attempt)

    def cancel_unsent(self, request: PendingRequest) -> None:
        """Cancel the attempts of a finished request of which no byte has been sent yet.

        The decision module does not do this if the settings forbid it to cancel attempts.
        """
        for _, attempt in self._attempts_by_number(request):
            self._pool.cancel_if_unsent(attempt)

    def first_possible_run_ms(self, request: PendingRequest) -> float | None:
        """Return when the first attempt was created that may have run; None if there is none."""
        started = [attempt for _, attempt in self._attempts_by_number(request) if attempt.is_started]
        runs_ms = [attempt.created_at_ms for attempt in started]
        if request.first_run is not None:
            runs_ms.append(request.first_run.created_at_ms)
        return min(runs_ms, default=None)

    def _create(self, request: PendingRequest, number: int, worker_id: int) -> Attempt:
        key = request.key
        invocation = request.invocation
        return Attempt(
            worker_id=worker_id,
            on_done=lambda attempt, result: self._on_done(key, number, attempt, result),
            reason_not_to_send=lambda: self._reason_not_to_send(key, number),
            is_scoped_repeat=lambda: self._is_scoped_repeat(key, number),
            exchange_id=invocation.request_id,
            class_name=invocation.class_name,
            function=invocation.function,
            idempotency_key=invocation.idempotency_key,
            body=invocation.body,
            deadline_ms=request.deadline_ms,
        )

    def _reason_not_to_send(self, key: str, number: int) -> NotSentReason | None:
        """Return why an attempt must not start now; None if it may.

        This is called before the first byte is written, possibly long after the decision to send the attempt.
        """
        request = self._requests.by_key.get(key)
        if request is None:
            return NotSentReason.REQUEST_FINISHED
        return check_request(
            request,
            self._class_of(request),
            possible_runs(request, self._attempts_by_number(request), number),
            monotonic_ms(),
            self._pool.is_process_known,
        )

    def _is_scoped_repeat(self, key: str, number: int) -> bool:
        """Return whether an attempt repeats one whose idempotency key only a zone or a cell knows."""
        request = self._requests.by_key.get(key)
        if request is None or not is_key_scoped(self._class_of(request)):
            return False
        return bool(possible_runs(request, self._attempts_by_number(request), number))

    def _class_of(self, request: PendingRequest) -> RequestClass | None:
        return self._classes.get(request.invocation.class_name)

    def _attempts_by_number(self, request: PendingRequest) -> list[tuple[int, Attempt]]:
        """Return the attempts of a request that are in flight, with their numbers, oldest first."""
        keys = [(request.key, number) for number in range(request.attempt_count)]
        return [(key[1], self.by_key[key]) for key in keys if key in self.by_key]

    def _on_done(self, key: str, number: int, attempt: Attempt, result: Result) -> None:
        """Record and report the result of an attempt; the first successful one answers the request."""
        del self.by_key[key, number]
        self._memory.charge(-attempt.size_bytes)
        report = AttemptReport.from_result(
            attempt, result, workers_report_in_flight=self._transport.workers_report_in_flight
        )
        if request := self._requests.by_key.get(key):
            self._record_ended(request, attempt, report)
        if report.outcome is Outcome.QUEUE_FULL:
            self._pool.log_rejected(attempt)
        if isinstance(result, WorkerAnswer) and report.outcome is Outcome.OK:
            self._on_served(key, Served(result.body))
        self._loop.submit(
            AttemptEnded(
                request_id=key,
                attempt_number=number,
                worker_id=attempt.worker_id,
                outcome=report.outcome,
                duration_ms=monotonic_ms() - attempt.created_at_ms,
                is_answered=key not in self._requests.by_key,
                start_kind=report.start_kind,
                in_flight=report.in_flight,
                transmission=self._loop.clock.convert_transmission(attempt.transmission),
            )
        )

    def _record_ended(self, request: PendingRequest, attempt: Attempt, report: AttemptReport) -> None:
        """Record the end of an attempt in its request, which is still pending."""
        text = f"{attempt.worker_id}: {report.description} connection wait {attempt.connection_wait_ms:.0f}"
        request.add_trace_step(text + self._describe_unknown_process(request, attempt))
        if attempt.is_started and report.outcome.may_have_run:
            run = PossibleRun.of(attempt)
            first_run = request.first_run
            if first_run is None or run.created_at_ms < first_run.created_at_ms:
                request.first_run = run

    def _describe_unknown_process(self, request: PendingRequest, attempt: Attempt) -> str:
        """Return why a request may not be repeated after an attempt that may have run; empty if it may."""
        is_known = self._pool.is_process_known(attempt.worker_id, attempt.connected_at_ms)
        if is_known or not attempt.is_assigned or not is_key_scoped(self._class_of(request)):
            return ""
        return f", process unknown on a connection of {monotonic_ms() - attempt.connected_at_ms:.0f} ms"
