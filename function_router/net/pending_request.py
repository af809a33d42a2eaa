"""The state of a request between its admission and its final answer."""

from msgspec import Struct, field

from function_router.net.client_request import ClientRequest, FinalAnswer, Invocation
from function_router.net.clock import monotonic_ms
from function_router.net.timer_wheel import Timer
from function_router.net.worker_messages import Attempt

# Maximum number of trace steps of one request; a log line has no space for more.
MAX_TRACE_STEPS = 24


class PossibleRun(Struct, frozen=True):
    """An attempt that may have run its request.

    Attributes:
        created_at_ms: When the attempt was created, on the monotonic clock.
        worker_id: The worker that it was sent to.
        connected_at_ms: When its connection was established, on the monotonic clock.
        is_started: Whether the worker may have received some bytes of it already.
    """

    created_at_ms: float
    worker_id: int
    connected_at_ms: float
    is_started: bool

    @classmethod
    def of(cls, attempt: Attempt) -> "PossibleRun":
        """Describe an attempt that was assigned to a connection."""
        return cls(attempt.created_at_ms, attempt.worker_id, attempt.connected_at_ms, attempt.is_started)


class PendingRequest(Struct, eq=False):
    """A request that has no final answer yet.

    Attributes:
        key: Identifies the request within this router.
        client_request: The client's request and its callbacks.
        deadline_ms: The time by which the request must be answered, on the monotonic clock.
        deadline_timer: Fires at the deadline.
        attempt_count: Number of attempts that were sent; the decision module numbers them in the same order.
        first_run: The earliest attempt that has ended and may have run; None if there is none.
        admitted_at_ms: When the request was admitted, on the monotonic clock.
        trace: The steps of the request, for the log.
    """

    key: str
    client_request: ClientRequest
    deadline_ms: float
    deadline_timer: Timer
    attempt_count: int = 0
    first_run: PossibleRun | None = None
    admitted_at_ms: float = field(default_factory=monotonic_ms)
    trace: list[str] = field(default_factory=list)

    @property
    def invocation(self) -> Invocation:
        """The function call that the client requested."""
        return self.client_request.invocation

    def take_attempt_number(self) -> int:
        """Return the number of the next attempt, and increment the attempt count."""
        number = self.attempt_count
        self.attempt_count += 1
        return number

    def add_trace_step(self, text: str) -> None:
        """Record a step with the time since admission; it is dropped if the trace is full."""
        if len(self.trace) < MAX_TRACE_STEPS:
            self.trace.append(f"+{monotonic_ms() - self.admitted_at_ms:.0f} {text}")

    def format_trace(self, answer: FinalAnswer, duration_ms: float) -> str:
        """Format the request's log line: id, class, function, kind of answer, times and steps."""
        invocation = self.invocation
        steps = "; ".join(self.trace) or "never sent"
        return (
            f"{invocation.request_id.hex()} {invocation.class_name} of {invocation.function} {answer.name} "
            f"after {duration_ms:.0f} ms (timeout {self.client_request.timeout_ms:.0f} ms): {steps}"
        )
