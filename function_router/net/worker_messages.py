"""What is sent to workers: attempts, start orders and health checks, each with one result.

Such an exchange is created by the request table, the `StartOrderSender` or the `HealthChecker`, queued and
written by the worker pool, and finished exactly once: with the worker's answer, or with the reason why there
is none.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from msgspec import Struct

from function_router.decisions.types import Outcome, Readiness, StartKind
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames as frames
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.telemetry import NOT_SENT, Telemetry
from function_router.net.timer_wheel import Timer
from function_router.net.write_queue import PendingWrite

# Digits of a number in an answer: a longer one is not a plausible count.
MAX_COUNT_DIGITS = 9

_ATTEMPT_OUTCOMES = {
    frames.OK: Outcome.OK,
    frames.NOT_LOADED: Outcome.NOT_LOADED,
    frames.QUEUE_FULL: Outcome.QUEUE_FULL,
    # The worker dropped it unrun, as its time was up: a retry is as safe as if it was never sent.
    frames.EXPIRED: Outcome.NOT_SENT,
}
_START_ORDER_OUTCOMES = {
    frames.OK: Outcome.OK,
    frames.QUEUE_FULL: Outcome.QUEUE_FULL,
}
_READINESS = {
    frames.READY: Readiness.READY,
    frames.DRAINING: Readiness.DRAINING,
}
_START_KINDS = {
    frames.REUSED: StartKind.WARM,
    frames.STARTED: StartKind.COLD_START,
    frames.JOINED_START: StartKind.JOINED_COLD_START,
    frames.START_FAILED: StartKind.START_FAILED,
}


class Answer(Struct, frozen=True):
    """A worker's answer to an exchange.

    Attributes:
        outcome: What the code of the answer means.
        body: The function's result, in the answer to an attempt.
        start_kind: Whether the request needed an instance to start.
        in_flight: Requests for the function that the worker already had when this one arrived.
        instances: Instances of the function on the worker, in the answer to a start order or probe.
        readiness: Whether the worker accepts new work, in the answer to a health check.
    """

    outcome: Outcome
    body: bytes
    start_kind: StartKind
    in_flight: int
    instances: int
    readiness: Readiness = Readiness.UNKNOWN


Result = Answer | CloseReason
"""How an exchange ended: the worker's answer, or the reason why there is none."""


def _parse_count(text: str | None) -> int:
    """The number in a field of an answer; 0 if the field is absent or not a count."""
    if text and text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS:
        return int(text)
    return 0


def _always_sendable() -> NotSentReason | None:
    return None


class ExchangeHolder(Protocol):
    """Where an unfinished exchange is: in the queue for a connection to its worker, or on a connection."""

    def remove(self, exchange: "Exchange") -> None:
        """Take out an exchange that is about to finish without an answer."""

    def on_exchange_finished(self) -> None:
        """An exchange that was here has finished, and its result has been delivered."""


@dataclass(slots=True, eq=False, kw_only=True)
class Exchange(ABC):
    """A message to a worker and its one result, which is an answer or a close reason.

    Attributes:
        worker_id: The worker that it is for.
        exchange_id: Eight bytes that the worker repeats in its answer.
        reason_not_to_send: Says why it may not be sent, apart from the worker's state; called whenever its
            first byte could leave.
        not_sent_reason: Why it was not sent, once it has finished for such a reason.
        created_at_ms: When it was created, on the monotonic clock.
        holder: The queue or the connection that it is in; None before it is dispatched and once it is done.
        pending_write: Its bytes, while it is on a connection.
        timeout_timer: Finishes it if nothing else does.
        is_done: Whether it has its result.
        connection_wait_ms: How long after its creation it was put on a connection.
        connected_at_ms: When that connection was established, on the monotonic clock.
    """

    worker_id: int
    exchange_id: bytes = b""
    reason_not_to_send: Callable[[], NotSentReason | None] = _always_sendable
    not_sent_reason: NotSentReason | None = field(default=None, init=False)
    created_at_ms: float = field(default_factory=monotonic_ms, init=False)
    holder: ExchangeHolder | None = field(default=None, init=False)
    pending_write: PendingWrite | None = field(default=None, init=False)
    timeout_timer: Timer | None = field(default=None, init=False)
    is_done: bool = field(default=False, init=False)
    connection_wait_ms: float = field(default=0.0, init=False)
    connected_at_ms: float = field(default=0.0, init=False)

    @property
    def is_started(self) -> bool:
        """Whether the worker may have received some of its bytes."""
        return self.pending_write is not None and self.pending_write.written > 0

    @property
    @abstractmethod
    def is_new_work(self) -> bool:
        """Whether it must not be sent to a draining worker."""

    @abstractmethod
    def encode(self) -> bytes:
        """The frame to send, as of now."""

    def timeout_excess_ms(self, _now_ms: float) -> float:
        """How much more time its frame states than is left until its deadline."""
        return 0.0

    @abstractmethod
    def outcome_of(self, code: int) -> Outcome:
        """What the code of the worker's answer means."""

    @abstractmethod
    def _deliver(self, result: Result) -> None:
        """Pass the result to the sender."""

    def finish(self, result: Result) -> None:
        """Deliver the result, unless one has been delivered already."""
        if self.is_done:
            return
        self.is_done = True
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        holder = self.holder
        self.holder = None
        self._deliver(result)
        if holder is not None:
            holder.on_exchange_finished()

    def attach(self, connection: ExchangeHolder, pending_write: PendingWrite, connected_at_ms: float) -> None:
        """Put it on a connection, which was established at that time and is about to write its bytes."""
        self.connected_at_ms = connected_at_ms
        self.connection_wait_ms = monotonic_ms() - self.created_at_ms
        self.pending_write = pending_write
        self.holder = connection

    def detach(self) -> None:
        """Take it off a closed connection on which nothing of it was written, to be dispatched again."""
        self.holder = None
        self.pending_write = None

    def abort(self, reason: CloseReason) -> None:
        """Finish it without an answer; the worker is notified if it may have received an attempt."""
        if self.is_done:
            return
        if self.holder is not None:
            self.holder.remove(self)
        self.finish(reason)

    def time_out(self) -> None:
        """Finish it without an answer, as there was none in time."""
        self.abort(CloseReason.DEADLINE_EXCEEDED if self.is_started else CloseReason.NOT_SENT)

    def finish_unsent(self, not_sent_reason: NotSentReason, telemetry: Telemetry) -> None:
        """Finish it, of which nothing was written, as it may not be sent any more; count the reason."""
        if not self.is_done:
            self.not_sent_reason = not_sent_reason
            telemetry.count(NOT_SENT, not_sent_reason.name)
            self.abort(CloseReason.NOT_SENT)

    def parse_answer(self, frame: frames.Frame) -> Answer:
        """Convert the frame of its answer; an absent or invalid field counts as 0 or unknown."""
        fields = frame.fields
        return Answer(
            outcome=self.outcome_of(frame.code),
            body=frame.body,
            start_kind=_START_KINDS.get(fields.get(frames.START_KIND_FIELD, ""), StartKind.UNKNOWN),
            in_flight=_parse_count(fields.get(frames.IN_FLIGHT_FIELD)),
            instances=_parse_count(fields.get(frames.INSTANCES_FIELD)),
            readiness=_READINESS.get(frame.code, Readiness.UNKNOWN),
        )


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt(Exchange):
    """One attempt at running a request on a worker.

    Attributes:
        on_done: Called once, with the attempt and its result.
        class_name: The request's class.
        function: The function to run.
        idempotency_key: By which workers recognize a repeated attempt; empty if the class needs none.
        body: The request's body.
        deadline_ms: When the client stops waiting, on the monotonic clock.
        encoded_timeout_ms: The time until the deadline that its frame states.
    """

    on_done: Callable[["Attempt", Result], None]
    class_name: str
    function: str
    idempotency_key: str = ""
    body: bytes = b""
    deadline_ms: float
    encoded_timeout_ms: float = field(default=0.0, init=False)

    @property
    def is_new_work(self) -> bool:
        """Always new work."""
        return True

    def encode(self) -> bytes:
        """Encode the request, with the time that is left until its deadline."""
        self.encoded_timeout_ms = self.deadline_ms - monotonic_ms()
        return frames.encode_run(
            self.exchange_id,
            self.class_name,
            self.function,
            timeout_ms=self.encoded_timeout_ms,
            idempotency_key=self.idempotency_key,
            body=self.body,
        )

    def timeout_excess_ms(self, now_ms: float) -> float:
        """How much more time its frame states than is left until its deadline."""
        return self.encoded_timeout_ms - (self.deadline_ms - now_ms)

    def outcome_of(self, code: int) -> Outcome:
        """What the code of the answer means; after an unknown one the request may have run."""
        return _ATTEMPT_OUTCOMES.get(code, Outcome.ERROR)

    def _deliver(self, result: Result) -> None:
        self.on_done(self, result)


@dataclass(slots=True, eq=False, kw_only=True)
class StartOrder(Exchange):
    """An order to keep at least so many instances of a function running; one for 0 instances is a probe.

    A probe starts nothing: it asks how many instances there are.

    Attributes:
        on_done: Called once, with the order and its result.
        function: The function to start.
        instances: How many instances the worker should have.
    """

    on_done: Callable[["StartOrder", Result], None]
    function: str
    instances: int

    @property
    def is_new_work(self) -> bool:
        """Whether it is more than a probe."""
        return self.instances > 0

    def encode(self) -> bytes:
        """Encode the order."""
        return frames.encode_ensure_instances(self.exchange_id, self.function, self.instances)

    def outcome_of(self, code: int) -> Outcome:
        """What the code of the answer means."""
        return _START_ORDER_OUTCOMES.get(code, Outcome.ERROR)

    def _deliver(self, result: Result) -> None:
        self.on_done(self, result)


@dataclass(slots=True, eq=False, kw_only=True)
class HealthCheck(Exchange):
    """A question to a worker: whether it is ready or draining.

    Attributes:
        on_done: Called once, with the health check and its result.
        asked_at_ms: When it was encoded, on the monotonic clock: the worker read it no earlier.
    """

    on_done: Callable[["HealthCheck", Result], None]
    asked_at_ms: float = field(default=0.0, init=False)

    @property
    def is_new_work(self) -> bool:
        """Never new work."""
        return False

    def encode(self) -> bytes:
        """Encode the question, and note the time."""
        self.asked_at_ms = monotonic_ms()
        return frames.encode_check_health(self.exchange_id)

    def outcome_of(self, code: int) -> Outcome:
        """What the code of the answer means: any other one than the two is none of a health check."""
        return Outcome.OK if code in _READINESS else Outcome.ERROR

    def _deliver(self, result: Result) -> None:
        self.on_done(self, result)
