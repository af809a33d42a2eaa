"""The exchanges with workers: attempts, start orders and health checks.

The request table, the `StartOrderSender` and the `HealthChecker` create exchanges. The worker pool queues and
writes them. Each exchange finishes exactly once: with the worker's answer, or with the reason why there is no
answer.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from msgspec import Struct

from function_router.decisions.connection_policy import SentLease
from function_router.decisions.events import Transmission
from function_router.decisions.types import Outcome, Readiness, StartKind
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames as frames
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.telemetry import NOT_SENT, Telemetry
from function_router.net.timer_wheel import Timer
from function_router.net.write_queue import PendingWrite

# Maximum number of digits of a number in an answer. A longer number is not a plausible count.
MAX_COUNT_DIGITS = 9

# Memory of an attempt in all parts of the router, without the request's body.
ATTEMPT_BYTES = 1024

_ATTEMPT_OUTCOMES = {
    frames.OK: Outcome.OK,
    frames.NOT_LOADED: Outcome.NOT_LOADED,
    frames.QUEUE_FULL: Outcome.QUEUE_FULL,
    # The worker dropped the attempt before running it, as its time was up. A retry is as safe as if the
    # attempt had never been sent.
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


class WorkerAnswer(Struct, frozen=True):
    """A worker's answer to an exchange.

    Attributes:
        outcome: The outcome that the code of the answer stands for.
        body: The function's result, in the answer to an attempt.
        start_kind: Whether the request ran on a warm instance or had to wait for an instance to start.
        in_flight: How many requests for the function the worker already had when the attempt arrived.
        instances: How many instances of the function the worker has, in the answer to a start order or probe.
        readiness: Whether the worker accepts new work, in the answer to a health check.
    """

    outcome: Outcome
    body: bytes
    start_kind: StartKind
    in_flight: int
    instances: int
    readiness: Readiness = Readiness.UNKNOWN


Result = WorkerAnswer | CloseReason
"""The result of an exchange: the worker's answer, or the reason why there is no answer."""


def _parse_count(text: str | None) -> int:
    """Return the count in a field of an answer; 0 if the field is absent or invalid."""
    if text and text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS:
        return int(text)
    return 0


def _always_sendable() -> NotSentReason | None:
    return None


def _is_never_repeat() -> bool:
    return False


class ExchangeHolder(Protocol):
    """The container of an unfinished exchange: the queue for a connection to its worker, or a connection."""

    def remove(self, exchange: "Exchange") -> None:
        """Remove an exchange that is about to finish without an answer."""

    def on_exchange_finished(self) -> None:
        """Handle the end of an exchange of this holder, after its result was delivered."""


@dataclass(slots=True, eq=False, kw_only=True)
class Exchange(ABC):
    """A message to a worker and its one result, which is an answer or a close reason.

    Attributes:
        worker_id: The worker that the message is for.
        exchange_id: Eight bytes that the worker repeats in its answer.
        reason_not_to_send: Returns why the exchange may not be sent, apart from the worker's state; called
            whenever the first byte could be written.
        is_scoped_repeat: Returns whether the request may have run already and only the workers of one zone or
            cell recognize the repetition; the exchange then needs a connection to a known process.
        not_sent_reason: Why the exchange was not sent, if it finished for such a reason.
        created_at_ms: When the exchange was created, on the monotonic clock.
        holder: The queue or the connection that has the exchange; None before the exchange is dispatched and
            after it is done.
        pending_write: The bytes of the message, while the exchange is on a connection.
        timeout_timer: Finishes the exchange if no answer arrives in time.
        is_done: Whether the exchange has its result.
        connection_wait_ms: The time from the creation of the exchange to its assignment to a connection.
        connected_at_ms: When the connection of the exchange was established, on the monotonic clock.
        lease: The lease by which the first byte of new work was written, for the log; None before that.
    """

    worker_id: int
    exchange_id: bytes = b""
    reason_not_to_send: Callable[[], NotSentReason | None] = _always_sendable
    is_scoped_repeat: Callable[[], bool] = _is_never_repeat
    not_sent_reason: NotSentReason | None = field(default=None, init=False)
    created_at_ms: float = field(default_factory=monotonic_ms, init=False)
    holder: ExchangeHolder | None = field(default=None, init=False)
    pending_write: PendingWrite | None = field(default=None, init=False)
    timeout_timer: Timer | None = field(default=None, init=False)
    is_done: bool = field(default=False, init=False)
    connection_wait_ms: float = field(default=0.0, init=False)
    connected_at_ms: float = field(default=0.0, init=False)
    lease: SentLease | None = field(default=None, init=False)

    @property
    def is_started(self) -> bool:
        """Whether the worker may have received some bytes of the message."""
        return self.pending_write is not None and self.pending_write.written > 0

    @property
    def is_assigned(self) -> bool:
        """Whether the exchange is or was on a connection, so that its bytes may leave or have left."""
        return self.pending_write is not None

    @property
    def transmission(self) -> Transmission | None:
        """When the exchange was assigned to a connection, and which one; None if it never was.

        The times are on the monotonic clock.
        """
        if not self.is_assigned:
            return None
        return Transmission(self.created_at_ms + self.connection_wait_ms, self.connected_at_ms)

    @property
    @abstractmethod
    def is_new_work(self) -> bool:
        """Whether the exchange is new work, which must not be sent to a draining worker."""

    @abstractmethod
    def encode(self) -> bytes:
        """Return the frame to send; a timeout in the frame is relative to the current time."""

    def timeout_excess_ms(self, _now_ms: float) -> float:
        """Return by how much the timeout in the frame exceeds the time left until the deadline."""
        return 0.0

    @abstractmethod
    def outcome_of(self, code: int) -> Outcome:
        """Return the outcome that the code of the worker's answer stands for."""

    @abstractmethod
    def _deliver(self, result: Result) -> None:
        """Pass the result to the creator of the exchange."""

    def finish(self, result: Result) -> None:
        """Deliver the result, unless a result has been delivered already."""
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
        """Attach the exchange to a connection that was established at `connected_at_ms`.

        The connection is about to write `pending_write`, the bytes of the message.
        """
        self.connected_at_ms = connected_at_ms
        self.connection_wait_ms = monotonic_ms() - self.created_at_ms
        self.pending_write = pending_write
        self.holder = connection

    def detach(self) -> None:
        """Detach the exchange from a closed connection that wrote no byte of it; it is dispatched again."""
        self.holder = None
        self.pending_write = None

    def abort(self, reason: CloseReason) -> None:
        """Finish the exchange without an answer.

        If the exchange is an attempt that the worker may have received, the worker is notified.
        """
        if self.is_done:
            return
        if self.holder is not None:
            self.holder.remove(self)
        self.finish(reason)

    def time_out(self) -> None:
        """Finish the exchange, as no answer arrived in time."""
        self.abort(CloseReason.DEADLINE_EXCEEDED if self.is_started else CloseReason.NOT_SENT)

    def finish_unsent(self, not_sent_reason: NotSentReason, telemetry: Telemetry) -> None:
        """Finish an unwritten exchange that may not be sent any more, and count the reason."""
        if not self.is_done:
            self.not_sent_reason = not_sent_reason
            telemetry.count(NOT_SENT, not_sent_reason.name)
            self.abort(CloseReason.NOT_SENT)

    def parse_answer(self, frame: frames.Frame) -> WorkerAnswer:
        """Convert the frame of the worker's answer; an absent or invalid field counts as 0 or unknown."""
        fields = frame.fields
        return WorkerAnswer(
            outcome=self.outcome_of(frame.code),
            body=frame.body,
            start_kind=_START_KINDS.get(fields.get(frames.START_KIND_FIELD, ""), StartKind.UNKNOWN),
            in_flight=_parse_count(fields.get(frames.IN_FLIGHT_FIELD)),
            instances=_parse_count(fields.get(frames.INSTANCES_FIELD)),
            readiness=_READINESS.get(frame.code, Readiness.UNKNOWN),
        )


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt(Exchange):
    """An attempt to run a request on a worker.

    Attributes:
        on_done: Called once, with the attempt and its result.
        class_name: The request's class.
        function: The function to run.
        idempotency_key: The key by which workers recognize a repeated attempt; empty if the class needs none.
        body: The request's body.
        deadline_ms: When the client stops waiting, on the monotonic clock.
        encoded_timeout_ms: The timeout in the frame: the time left until the deadline when the frame was
            encoded.
    """

    on_done: Callable[["Attempt", Result], None]
    class_name: str
    function: str
    idempotency_key: str = ""
    body: bytes = b""
    deadline_ms: float
    encoded_timeout_ms: float = field(default=0.0, init=False)

    @property
    def size_bytes(self) -> int:
        """The memory that the attempt takes, about: its frame is a copy of the request's body."""
        return ATTEMPT_BYTES + len(self.body)

    @property
    def is_new_work(self) -> bool:
        """Always True, as an attempt is new work."""
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
        """Return by how much the timeout in the frame exceeds the time left until the deadline."""
        return self.encoded_timeout_ms - (self.deadline_ms - now_ms)

    def outcome_of(self, code: int) -> Outcome:
        """Return the outcome for the code of an answer; after an unknown code the request may have run."""
        return _ATTEMPT_OUTCOMES.get(code, Outcome.ERROR)

    def _deliver(self, result: Result) -> None:
        self.on_done(self, result)


@dataclass(slots=True, eq=False, kw_only=True)
class StartOrder(Exchange):
    """An order to start instances of a function until the worker has `instances` of them; a probe if it is 0.

    A probe starts no instance: it asks how many instances the worker has.

    Attributes:
        on_done: Called once, with the order and its result.
        function: The function to start.
        instances: How many instances the worker should have; 0 for a probe.
    """

    on_done: Callable[["StartOrder", Result], None]
    function: str
    instances: int

    @property
    def is_new_work(self) -> bool:
        """Whether the order starts instances; a probe is not new work."""
        return self.instances > 0

    def encode(self) -> bytes:
        """Encode the order."""
        return frames.encode_ensure_instances(self.exchange_id, self.function, self.instances)

    def outcome_of(self, code: int) -> Outcome:
        """Return the outcome for the code of an answer."""
        return _START_ORDER_OUTCOMES.get(code, Outcome.ERROR)

    def _deliver(self, result: Result) -> None:
        self.on_done(self, result)


@dataclass(slots=True, eq=False, kw_only=True)
class HealthCheck(Exchange):
    """A health check, which asks a worker whether it is ready or draining.

    Attributes:
        on_done: Called once, with the health check and its result.
        sent_at_ms: When the health check was encoded, on the monotonic clock; the worker cannot have read it
            earlier.
    """

    on_done: Callable[["HealthCheck", Result], None]
    sent_at_ms: float = field(default=0.0, init=False)

    @property
    def is_new_work(self) -> bool:
        """Always False, as a health check is not new work."""
        return False

    def encode(self) -> bytes:
        """Encode the health check, and record the time."""
        self.sent_at_ms = monotonic_ms()
        return frames.encode_check_health(self.exchange_id)

    def outcome_of(self, code: int) -> Outcome:
        """Return the outcome for the code of an answer; only the two codes of health checks are valid."""
        return Outcome.OK if code in _READINESS else Outcome.ERROR

    def _deliver(self, result: Result) -> None:
        self.on_done(self, result)
