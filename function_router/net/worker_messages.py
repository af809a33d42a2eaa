"""What travels between the request table and a worker: attempts, start orders, and what became of them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from function_router.decisions.types import Outcome, StartKind
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames as frames
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.timer_wheel import Timer
from function_router.net.write_queue import PendingWrite

if TYPE_CHECKING:
    from function_router.net.worker_connection import WorkerConnection

MAX_COUNT_DIGITS = 9  # of a number in an answer: what is longer is no count

_ATTEMPT_OUTCOMES = {
    frames.OK: Outcome.OK,
    frames.NOT_LOADED: Outcome.NOT_LOADED,
    frames.QUEUE_FULL: Outcome.QUEUE_FULL,
    frames.EXPIRED: Outcome.NOT_SENT,
}
_START_ORDER_OUTCOMES = {
    frames.OK: Outcome.OK,
    frames.QUEUE_FULL: Outcome.QUEUE_FULL,
}
_START_KINDS = {
    "reused": StartKind.WARM,
    "init": StartKind.COLD_START,
    "shared_init": StartKind.JOINED_COLD_START,
    "init_error": StartKind.START_FAILED,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """What a worker answered."""

    outcome: Outcome
    body: bytes
    start_kind: StartKind
    in_flight: int  # requests for the function that the worker held before this one
    instances: int  # of the function on the worker, in the answer to a start order or probe


Result = Answer | CloseReason
"""What became of an exchange: the worker's answer, or why there is none."""


def _parse_count(text: str | None) -> int:
    """The number in a field of an answer; 0 where the field is absent or no count."""
    if text and text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS:
        return int(text)
    return 0


def _always_sendable() -> NotSentReason | None:
    return None


@dataclass(slots=True, eq=False, kw_only=True)
class Exchange(ABC):
    """Something sent to a worker that has one result, an answer or a close reason."""

    worker_id: int
    exchange_id: bytes = b""  # eight bytes, under which the worker answers
    # Why it may not start, apart from the worker's state; called whenever its first byte could leave.
    reason_not_to_send: Callable[[], NotSentReason | None] = _always_sendable
    not_sent_reason: NotSentReason | None = field(default=None, init=False)  # why it was not started
    created_at_ms: float = field(default_factory=monotonic_ms, init=False)
    connection: "WorkerConnection | None" = field(default=None, init=False)
    pending_write: PendingWrite | None = field(default=None, init=False)
    timer: Timer | None = field(default=None, init=False)
    is_done: bool = field(default=False, init=False)
    connection_wait_ms: float = field(default=0.0, init=False)  # how long it waited for a connection

    @property
    def is_started(self) -> bool:
        """Whether some of its bytes may have arrived at the worker."""
        return self.pending_write is not None and self.pending_write.written > 0

    @property
    @abstractmethod
    def is_new_work(self) -> bool:
        """Whether a draining worker must not get it."""

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
    def finish(self, result: Result) -> None:
        """Hand the result to whoever sent it; called once."""

    def parse_answer(self, frame: frames.Frame) -> Answer:
        """The worker's answer to it; a field that is absent or invalid counts as 0 or unknown."""
        fields = frame.fields
        return Answer(
            outcome=self.outcome_of(frame.code),
            body=frame.body,
            start_kind=_START_KINDS.get(fields.get(frames.START_KIND_FIELD, ""), StartKind.UNKNOWN),
            in_flight=_parse_count(fields.get(frames.IN_FLIGHT_FIELD)),
            instances=_parse_count(fields.get(frames.INSTANCES_FIELD)),
        )


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt(Exchange):
    """One try at running a request on a worker."""

    on_done: Callable[["Attempt", Result], None]
    class_name: str
    function: str
    idempotency_key: str = ""
    body: bytes = b""
    deadline_ms: float  # of the monotonic clock
    encoded_timeout_ms: float = field(default=0.0, init=False)  # the time left that its frame states

    @property
    def is_new_work(self) -> bool:
        """Always new work."""
        return True

    def encode(self) -> bytes:
        """The request's frame, with the time that is left until its deadline."""
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
        """What the code means; after an unknown one the request may have run."""
        return _ATTEMPT_OUTCOMES.get(code, Outcome.ERROR)

    def finish(self, result: Result) -> None:
        """Hand the result to the request table."""
        self.on_done(self, result)


@dataclass(slots=True, eq=False, kw_only=True)
class StartOrder(Exchange):
    """An order to hold so many instances of a function; with 0 of them a probe, which only asks."""

    on_done: Callable[["StartOrder", Result], None]
    function: str
    instances: int

    @property
    def is_new_work(self) -> bool:
        """Whether it is more than a probe."""
        return self.instances > 0

    def encode(self) -> bytes:
        """The order's frame."""
        return frames.encode_ensure_instances(self.exchange_id, self.function, self.instances)

    def outcome_of(self, code: int) -> Outcome:
        """What the code means."""
        return _START_ORDER_OUTCOMES.get(code, Outcome.ERROR)

    def finish(self, result: Result) -> None:
        """Hand the result to the request table."""
        self.on_done(self, result)
