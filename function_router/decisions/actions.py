"""What to do: the actions that `Router.handle` returns, to be carried out in order. No logic lives here.

Durations are milliseconds.
"""

from msgspec import Struct


class SendRequest(Struct, frozen=True):
    """Send an attempt of a request to a worker."""

    request_id: str
    worker_id: int


class CancelAttempt(Struct, frozen=True):
    """Tell the worker of an attempt that nobody waits for it any more."""

    request_id: str
    attempt_number: int


class RejectRequest(Struct, frozen=True):
    """Give the final answer that promises the client that a retry is harmless."""

    request_id: str
    retry_after_ms: float = 0.0  # how long to stay away; 0: no advice


class FailRequest(Struct, frozen=True):
    """Give the final answer that promises nothing."""

    request_id: str


class EnsureInstances(Struct, frozen=True):
    """Order a worker to hold so many instances of a function; 0 is a probe, and only asks how many stand."""

    worker_id: int
    function: str
    instances: int


class SetTimer(Struct, frozen=True):
    """Send a `TimerFired` with this token after a delay."""

    delay_ms: float
    token: int


class LogMessage(Struct, frozen=True):
    """Write a line to the log."""

    text: str


Action = SendRequest | CancelAttempt | RejectRequest | FailRequest | EnsureInstances | SetTimer | LogMessage
