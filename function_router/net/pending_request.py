"""A client's request, independent of the client protocol, and its state until the final answer.

A `ClientRequest` says what is asked and where the answer goes, so that another client protocol can be put in
front of the same request table.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar

from function_router.net.clock import monotonic_ms
from function_router.net.timer_wheel import Timer

# Steps that are kept of one request: a log line holds no more.
MAX_TRACE_STEPS = 24


@dataclass(frozen=True, slots=True)
class Served:
    """A worker ran the request."""

    body: bytes
    name: ClassVar[str] = "served"


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was not served, and the client may safely retry it."""

    retry_after_ms: float  # how long the client should wait before that; 0: no advice
    name: ClassVar[str] = "rejected"


@dataclass(frozen=True, slots=True)
class Failed:
    """The request may or may not have run, so that a retry may run it twice."""

    name: ClassVar[str] = "failed"


FinalAnswer = Served | Rejected | Failed
"""The one answer that a client gets."""


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """What a client asks for, and how to answer it."""

    id: bytes  # the client's own; unique among pending requests
    class_name: str
    tenant: str
    function: str
    timeout_ms: float  # until the client stops waiting
    body: bytes
    idempotency_key: str
    concurrency: int  # requests that an instance of the function serves at once
    memory_mb: float | None  # of an instance
    expected_start_ms: float | None  # typical time that a cold start takes
    reply: Callable[[FinalAnswer], None]
    age_ms: float  # how long its last bytes lay in the socket before they were read
    is_client_connected: Callable[[], bool]  # closes the connection as a side effect if the client has gone


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet."""

    key: str
    client_request: ClientRequest
    deadline_ms: float  # of the monotonic clock
    deadline_timer: Timer
    attempt_count: int = 0  # sent so far; the decision module numbers attempts in the same order
    first_run_at_ms: float = math.inf  # when the earliest ended attempt that may have run was created
    admitted_at_ms: float = field(default_factory=monotonic_ms)
    trace: list[str] = field(default_factory=list)  # what happened to it, for the log

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
        request = self.client_request
        steps = "; ".join(self.trace) or "never sent"
        return (
            f"{request.id.hex()} {request.class_name} of {request.function} {answer.name} "
            f"after {duration_ms:.0f} ms (timeout {request.timeout_ms:.0f} ms): {steps}"
        )
