"""Actions, the output of `Router.handle`. This module contains no decision logic.

The caller carries out the actions in the given order. Durations are in milliseconds.
"""

from msgspec import Struct


class SendRequest(Struct, frozen=True):
    """Send an attempt of a request to a worker."""

    request_id: str
    worker_id: int


class CancelAttempt(Struct, frozen=True):
    """Tell a worker that the answer to an attempt is no longer needed."""

    request_id: str
    attempt_number: int


class RejectRequest(Struct, frozen=True):
    """Give a final answer which tells the client that it may safely retry the request."""

    request_id: str
    retry_after_ms: float = 0.0  # how long the client should wait before the retry; 0: no advice


class FailRequest(Struct, frozen=True):
    """Give a final answer that leaves open whether the request has run."""

    request_id: str


class EnsureInstances(Struct, frozen=True):
    """Make sure that a worker has at least this many instances of a function.

    With 0 instances this is a probe, which only asks how many there are. Otherwise it is a start order.
    """

    worker_id: int
    function: str
    instances: int


class CheckHealth(Struct, frozen=True):
    """Send a health check, which asks a worker whether it is ready for new work or draining."""

    worker_id: int
    function: str  # the function whose requests need the check; may be empty


class NoteWithheld(Struct, frozen=True):
    """Record that a request was not sent to a worker because the worker has no valid lease."""

    request_id: str
    worker_id: int


class SetTimer(Struct, frozen=True):
    """Send a `TimerFired` event with this token after a delay."""

    delay_ms: float
    token: int


class LogMessage(Struct, frozen=True):
    """Write a line to the log."""

    text: str


Action = (
    SendRequest
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | EnsureInstances
    | CheckHealth
    | NoteWithheld
    | SetTimer
    | LogMessage
)
