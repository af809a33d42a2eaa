"""Actions, which `Router.handle` returns, to be carried out in their order. Nothing is decided here.

Durations are milliseconds.
"""

from msgspec import Struct


class SendRequest(Struct, frozen=True):
    """Send an attempt of a request to a worker."""

    request_id: str
    worker_id: int


class CancelAttempt(Struct, frozen=True):
    """Tell a worker that nobody waits for the answer to an attempt any more."""

    request_id: str
    attempt_number: int


class RejectRequest(Struct, frozen=True):
    """Give the final answer that says that the request may be retried without harm."""

    request_id: str
    retry_after_ms: float = 0.0  # how long the client should wait before that; 0: no advice


class FailRequest(Struct, frozen=True):
    """Give the final answer that says nothing about whether the request has run."""

    request_id: str


class EnsureInstances(Struct, frozen=True):
    """Order a worker to have at least this many instances of a function, or just ask how many it has.

    With 0 instances this is a probe, otherwise a start order.
    """

    worker_id: int
    function: str
    instances: int


class CheckHealth(Struct, frozen=True):
    """Ask a worker whether it is ready for new work or draining."""

    worker_id: int
    function: str  # for whose requests it is asked; may be empty


class NoteWithheld(Struct, frozen=True):
    """Note that a request was not sent to a worker, as nothing proves that the worker is ready."""

    request_id: str
    worker_id: int


class SetTimer(Struct, frozen=True):
    """Send a `TimerFired` with this token after a delay."""

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
