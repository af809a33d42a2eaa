"""The requests that are open here: from a client's call to its one final answer.

No protocol of clients is known here: a Call brings what is asked and where the outcome goes, so that
another protocol can stand before the same decisions.
"""

import itertools
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from function_router.config import TransportSettings
from function_router.decisions.actions import (
    CancelAttempt,
    EnsureInstances,
    FailRequest,
    RejectRequest,
    SendRequest,
)
from function_router.decisions.events import (
    AttemptEnded,
    DrainStarted,
    InstancesReported,
    RequestArrived,
    RequestCancelled,
)
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import Outcome, RetrySafety, StartKind
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import outcome_of
from function_router.net.event_loop import EventLoop
from function_router.net.log import RateLimitedLog
from function_router.net.timer_wheel import Timer
from function_router.net.worker_messages import Answer, Attempt, Result, StartOrder
from function_router.net.worker_pool import WorkerPool

MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024  # bytes of open requests' bodies: part of the memory limit
FULL_PUSHBACK_MS = 250.0  # advice where this front end can hold no more; the module never saw the request
MAX_IN_FLIGHT = 30
REPEAT_MARGIN_MS = 50.0  # a keyed repeat must arrive inside the window, not just leave inside it
NEVER_RAN = (Outcome.QUEUE_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.NOT_LOADED)
MAX_TRACE_STEPS = 24  # steps outcome_of of one request


@dataclass(slots=True)
class Served:
    body: bytes


@dataclass(slots=True)
class Rejected:
    retry_after_ms: float


@dataclass(slots=True)
class Failed:
    pass


FinalAnswer = Served | Rejected | Failed


@dataclass(slots=True)
class ClientRequest:
    """What a client asks, free of its protocol."""

    id: bytes
    class_name: str
    tenant: str
    function: str
    timeout_ms: float
    body: bytes
    idempotency_key: str
    concurrency: int
    memory_mb: float | None
    start_ms: float | None
    reply: Callable[[FinalAnswer], None]
    age_ms: float  # how long its last bytes had lain unread
    is_client_connected: Callable[
        [], bool
    ]  # whether its client is still there; one that is not is taken off by the asking


@dataclass(slots=True, eq=False)
class PendingRequest:
    key: str
    call: ClientRequest
    deadline_ms: float  # of the monotonic clock
    deadline_timer: Timer
    attempts: int = 0  # sent so far; the module numbers them in the same order
    ran_ms: float = math.inf  # when the first ended attempt that may have run began
    taken_ms: float = field(default_factory=monotonic_ms)
    trace: list[str] = field(default_factory=list)  # what happened to it, for the log

    def note(self, text: str) -> None:
        if len(self.trace) < MAX_TRACE_STEPS:
            self.trace.append(f"+{monotonic_ms() - self.taken_ms:.0f} {text}")


class RequestTable:
    """Owns every open request, and sees to it that each gets exactly one outcome."""

    def __init__(
        self,
        loop: EventLoop,
        pool: WorkerPool,
        wire: TransportSettings,
        classes: Mapping[str, RequestClass],
        recount_start_order: Callable[[float, float], float | None],
        log: RateLimitedLog,
    ) -> None:
        self.pending: dict[str, PendingRequest] = {}
        self._classes, self._log = classes, log
        self._loop, self._pool, self._wire = loop, pool, wire
        self._recount_start_order = (
            recount_start_order  # asks the module when the first byte of an order is to leave
        )
        self._batch_ms = 0.0  # the moment of the batch that is being carried out
        self._bodies = 0
        self._ends_ms = math.inf  # when this front end may be ended from outside
        self._keys: dict[bytes, str] = {}  # by the id of an open request's call
        self._numbers = itertools.count(1)
        # Attempts that are out, also of requests that are over: the module may still call them off.
        self._attempts: dict[tuple[str, int], Attempt] = {}
        # Requests that ended while the module did not know it yet, of this batch and of the one before.
        self._done: dict[str, PendingRequest] = {}
        self._done_before: dict[str, PendingRequest] = {}

    # --- from clients -------------------------------------------------------------------------

    def admit(self, call: ClientRequest) -> str | None:
        """The key of a new request; None where it was refused at once, untouched."""
        if (
            len(self.pending) >= self._wire.max_pending_requests
            or self._bodies + len(call.body) > MAX_TOTAL_BODY_BYTES
        ):
            call.reply(Rejected(FULL_PUSHBACK_MS))
            return None
        key = f"r{next(self._numbers)}"
        self._bodies += len(call.body)
        self._keys[call.id] = key
        budget_ms = max(0.0, min(call.timeout_ms, self._ends_ms - self._loop.turn_started_ms))
        deadline_timer = self._loop.timers.call_later(budget_ms, lambda: self._overdue(key))
        self.pending[key] = PendingRequest(key, call, self._loop.turn_started_ms + budget_ms, deadline_timer)
        self._loop.submit(
            RequestArrived(
                key, call.function, call.class_name, call.tenant, budget_ms, call.concurrency,
                call.memory_mb, call.start_ms, client_id=call.id.hex(), age_ms=call.age_ms,
            )
        )  # fmt: skip
        return key

    def drain(self, within_ms: float) -> None:
        """This front end may be ended from outside by then: what is open then would have no answer at all."""
        self._ends_ms = self._loop.turn_started_ms + within_ms
        for request in self.pending.values():
            request.deadline_ms = min(request.deadline_ms, self._ends_ms)
        self._loop.submit(DrainStarted(within_ms))

    def is_pending(self, id: bytes) -> bool:
        """Whether a request of this id is open, and its client still there."""
        key = self._keys.get(id)
        return key is not None and self.pending[key].call.is_client_connected()

    def cancel_request(self, key: str) -> None:
        """The client waits no more: no answer is owed."""
        if request := self._close(key):
            self._loop.submit(RequestCancelled(key, request.call.id.hex()))

    def _overdue(self, key: str) -> None:
        """Guards the one final answer against any fault in the decisions; they end a request earlier."""
        request = self.pending[key]
        self._finish(key, Failed())
        self._loop.submit(RequestCancelled(key, request.call.id.hex()))

    def _close(self, key: str) -> PendingRequest | None:
        request = self.pending.pop(key, None)
        if request:
            request.deadline_timer.cancel()
            self._bodies -= len(request.call.body)
            self._keys.pop(request.call.id, None)
            self._done[key] = request
            self._take_back(key, request)
        return request

    def _take_back(self, key: str, request: PendingRequest) -> None:
        """What no scorer has heard of yet must not begin for a request that is over. The module's cancels
        don't see to that: where the settings forbid them there are none."""
        for number in range(request.attempts):
            if attempt := self._attempts.get((key, number)):
                self._pool.cancel_if_unsent(attempt)

    def _may_start(self, key: str) -> bool:
        """Asked when an attempt's first byte is to leave, which may be long after it was decided on."""
        request = self.pending.get(key)
        return request is not None and self._in_window(key, request) and request.call.is_client_connected()

    def _in_window(self, key: str, request: PendingRequest) -> bool:
        """Whether scorers still know the first attempt of a keyed request, if any may have run."""
        spec = self._classes.get(request.call.class_name)
        if spec is None or spec.retry_safety is not RetrySafety.IDEMPOTENCY_KEY:
            return True
        out = (self._attempts.get((key, number)) for number in range(request.attempts))
        first_ms = min(
            [request.ran_ms, *(attempt.created_at_ms for attempt in out if attempt and attempt.is_started)]
        )
        return monotonic_ms() - first_ms < spec.idempotency_window_ms - REPEAT_MARGIN_MS

    def _finish(self, key: str, outcome: FinalAnswer) -> None:
        if request := self._close(key):
            request.call.reply(outcome)
            self._log_trace(request, outcome)

    def _log_trace(self, request: PendingRequest, outcome: FinalAnswer) -> None:
        """A line on each request that was not served in time: what it waited for, step by step."""
        call, took = request.call, monotonic_ms() - request.taken_ms
        spec = self._classes.get(call.class_name)
        if spec is None or (isinstance(outcome, Served) and took <= spec.latency_objective_ms):
            return
        what = type(outcome).__name__.lower()
        steps = "; ".join(request.trace) or "never sent"
        line = f"{call.id.hex()} {call.class_name} of {call.function} {what} after {took:.0f} ms"
        self._log(f"{line} of {call.timeout_ms:.0f}: {steps}", "requests")

    # --- from the module ----------------------------------------------------------------------

    def begin_batch(self, now_ms: float) -> None:
        self._batch_ms = now_ms
        self._done_before, self._done = self._done, {}

    def send(self, action: SendRequest) -> None:
        key, worker = action.request_id, action.worker_id
        request = self.pending.get(key) or self._done.get(key) or self._done_before.get(key)
        if request is None:
            return
        number, request.attempts = request.attempts, request.attempts + 1
        if key not in self.pending:  # it ended in the very batch that this answers
            self._loop.submit(AttemptEnded(key, number, worker, Outcome.NOT_SENT, 0.0, is_answered=True))
            return
        call = request.call
        attempt = self._attempts[key, number] = Attempt(
            worker_id=worker,
            on_done=lambda attempt, result: self._on_attempt_done(key, number, attempt, result),
            may_start=lambda: self._may_start(key),
            exchange_id=call.id,
            class_name=call.class_name,
            function=call.function,
            idempotency_key=call.idempotency_key,
            body=call.body,
            deadline_ms=request.deadline_ms,
        )
        request.note(f"sent to {worker}")
        self._pool.send(attempt)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        if attempt := self._attempts.get((action.request_id, action.attempt_number)):
            self._pool.cancel(attempt)

    def reject(self, action: RejectRequest) -> None:
        self._finish(action.request_id, Rejected(action.retry_after_ms))

    def fail(self, action: FailRequest) -> None:
        self._finish(action.request_id, Failed())

    # --- from scorers -------------------------------------------------------------------------

    def _on_attempt_done(self, key: str, number: int, attempt: Attempt, result: Result) -> None:
        del self._attempts[key, number]
        if isinstance(result, Answer):
            outcome, start_kind, in_flight = result.outcome, result.start_kind, self._in_flight(result)
            what = f"{outcome.name} {start_kind.name} crowd {in_flight}"
        else:
            outcome, start_kind, in_flight = outcome_of(result, attempt.is_started), StartKind.UNKNOWN, None
            what = result.name
        if request := self.pending.get(key):
            request.note(f"{attempt.worker_id}: {what} link {attempt.connection_wait_ms:.0f}")
            if attempt.is_started and outcome not in NEVER_RAN:
                request.ran_ms = min(request.ran_ms, attempt.created_at_ms)
        if isinstance(result, Answer) and outcome is Outcome.OK:
            self._finish(key, Served(result.body))
        self._loop.submit(
            AttemptEnded(
                request_id=key,
                attempt_number=number,
                worker_id=attempt.worker_id,
                outcome=outcome,
                duration_ms=monotonic_ms() - attempt.created_at_ms,
                is_answered=key not in self.pending,
                start_kind=start_kind,
                in_flight=in_flight,
            )
        )

    def _in_flight(self, answer: Answer) -> int | None:
        if not self._wire.reports_in_flight or answer.outcome not in (Outcome.OK, Outcome.QUEUE_FULL):
            return None
        return min(MAX_IN_FLIGHT, answer.in_flight)

    def ensure_instances(self, action: EnsureInstances) -> None:
        self._note_order(action.function, f"order {action.instances} at {action.worker_id}")
        may_start = self._asked_anew() if action.instances else lambda: True
        self._pool.ensure_instances(
            StartOrder(
                worker_id=action.worker_id,
                on_done=self._on_start_order_done,
                function=action.function,
                instances=action.instances,
                may_start=may_start,
            )
        )

    def _asked_anew(self) -> Callable[[], bool]:
        """Asks whether an order may leave, each time that its first byte could."""
        counted_ms: float | None = self._batch_ms

        def may_start() -> bool:
            nonlocal counted_ms
            if counted_ms is not None:
                counted_ms = self._recount_start_order(counted_ms, self._loop.clock.now_ms())
            return counted_ms is not None

        return may_start

    def _note_order(self, function: str, text: str) -> None:
        for request in self.pending.values():
            if request.call.function == function:
                request.note(text)

    def _on_start_order_done(self, order: StartOrder, result: Result) -> None:
        if isinstance(result, Answer):
            outcome, instances = result.outcome, result.instances
        else:
            outcome, instances = outcome_of(result, order.is_started), 0
        self._note_order(order.function, f"{order.worker_id} holds {instances} {outcome.name}")
        duration_ms = monotonic_ms() - order.created_at_ms
        self._loop.submit(InstancesReported(order.worker_id, order.function, outcome, instances, duration_ms))
