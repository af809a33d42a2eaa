"""The state of a request between its admission and its final answer."""

import math

from msgspec import Struct, field

from function_router.net.client_request import ClientRequest, FinalAnswer, Invocation
from function_router.net.clock import monotonic_ms
from function_router.net.timer_wheel import Timer

# Maximum number of trace steps of one request; a log line has no space for more.
MAX_TRACE_STEPS = 24


class PendingRequest(Struct, eq=False):
    """A request that has no final answer yet.

    Attributes:
        key: Identifies the request within this router.
        client_request: The client's request and its callbacks.
        deadline_ms: The time by which the request must be answered, on the monotonic clock.
        deadline_timer: Fires at the deadline.
        attempt_count: Number of attempts that were sent; the decision module numbers them in the same order.
        first_run_at_ms: Creation time, on the monotonic clock, of the earliest attempt that has ended and may
            have run; infinite if there is none.
        admitted_at_ms: When the request was admitted, on the monotonic clock.
        trace: The steps of the request, for the log.
    """

    key: str
    client_request: ClientRequest
    deadline_ms: float
    deadline_timer: Timer
    attempt_count: int = 0
    first_run_at_ms: float = math.inf
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
