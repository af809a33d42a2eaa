"""What travels between the request table and a worker: attempts, start orders, and what became of them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from function_router.decisions.types import Outcome, StartKind
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames as frames
from function_router.net.connection import PendingWrite
from function_router.net.timer_wheel import Timer

if TYPE_CHECKING:
    from function_router.net.worker_pool import WorkerConnection

_ATTEMPT_OUTCOMES = {
    frames.OK: Outcome.OK,
    frames.MISS: Outcome.NOT_LOADED,
    frames.FULL: Outcome.QUEUE_FULL,
    frames.OVER: Outcome.NOT_SENT,
}
_START_ORDER_OUTCOMES = {frames.OK: Outcome.OK, frames.FULL: Outcome.QUEUE_FULL}


@dataclass(frozen=True, slots=True)
class Answer:
    """What a worker answered."""

    outcome: Outcome
    body: bytes
    start_kind: StartKind
    in_flight: int  # requests for the function that the worker held before this one
    instances: int  # that stand there, in the answer to a start order or probe


Result = Answer | CloseReason
"""What became of an exchange: the worker's answer, or why there is none."""


def _always() -> bool:
    return True


@dataclass(slots=True, eq=False, kw_only=True)
class Exchange(ABC):
    """Something sent to a worker that has one result, an answer or a close reason."""

    worker_id: int
    exchange_id: bytes = b""  # eight bytes, under which the worker answers
    may_start: Callable[[], bool] = _always  # asked whenever its first byte could leave
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

    @abstractmethod
    def outcome_of(self, code: int) -> Outcome:
        """What the code of the worker's answer means."""

    @abstractmethod
    def finish(self, result: Result) -> None:
        """Hand the result to whoever sent it; called once."""


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt(Exchange):
    """One try at running a request on a worker."""

    on_done: Callable[["Attempt", Result], None]
    class_name: str
    function: str
    idempotency_key: str = ""
    body: bytes = b""
    deadline_ms: float  # of the monotonic clock

    @property
    def is_new_work(self) -> bool:
        """Always new work."""
        return True

    def encode(self) -> bytes:
        """The request's frame, with the time that is left of it."""
        left_ms = self.deadline_ms - monotonic_ms()
        return frames.run(
            self.exchange_id, self.class_name, self.function, left_ms, self.idempotency_key, self.body
        )

    def outcome_of(self, code: int) -> Outcome:
        """What the code means; one that is not known may stand for a run."""
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
        return frames.ensure(self.exchange_id, self.function, self.instances)

    def outcome_of(self, code: int) -> Outcome:
        """What the code means."""
        return _START_ORDER_OUTCOMES.get(code, Outcome.ERROR)

    def finish(self, result: Result) -> None:
        """Hand the result to the request table."""
        self.on_done(self, result)
