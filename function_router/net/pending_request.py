"""The state of a request from its admission to its final answer."""

import math

from msgspec import Struct, field

from function_router.net.client_request import ClientRequest, FinalAnswer, Invocation
from function_router.net.clock import monotonic_ms
from function_router.net.timer_wheel import Timer

# Steps that are kept of one request: a log line holds no more.
MAX_TRACE_STEPS = 24


class PendingRequest(Struct, eq=False):
    """A request that has no final answer yet.

    Attributes:
        key: Identifies the request within this router.
        client_request: The client's request, and how to answer it.
        deadline_ms: By when it has to be answered, on the monotonic clock.
        deadline_timer: Fires at the deadline.
        attempt_count: How many attempts were sent; the decision module numbers them in the same order.
        first_run_at_ms: When the earliest ended attempt that may have run was created, on the monotonic
            clock; infinite where there is none.
        admitted_at_ms: When it was admitted, on the monotonic clock.
        trace: What happened to it, for the log.
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
        """What the client asked for."""
        return self.client_request.invocation

    def take_attempt_number(self) -> int:
        """The number of the next attempt; each call counts one."""
        number = self.attempt_count
        self.attempt_count += 1
        return number

    def add_trace_step(self, text: str) -> None:
        """Record a step with the time since admission; dropped once the trace is full."""
        if len(self.trace) < MAX_TRACE_STEPS:
            self.trace.append(f"+{monotonic_ms() - self.admitted_at_ms:.0f} {text}")

    def format_trace(self, answer: FinalAnswer, duration_ms: float) -> str:
        """Format the log line of the whole request: id, class, function, outcome, times and steps."""
        invocation = self.invocation
        steps = "; ".join(self.trace) or "never sent"
        return (
            f"{invocation.request_id.hex()} {invocation.class_name} of {invocation.function} {answer.name} "
            f"after {duration_ms:.0f} ms (timeout {self.client_request.timeout_ms:.0f} ms): {steps}"
        )
