"""The one place that says whether an exchange may send its first byte to a worker now, and if not, why.

The decision module decides what to send. Its decision may be out of date by the time that the first byte can
leave: the exchange was queued for a connection, or behind bytes that the worker was slow to read. So the
rules that count when a request or an order arrives at the worker are checked again here, each time that a
first byte could leave.
"""

from collections.abc import Iterable, Iterator

from msgspec import Struct

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import RetrySafety, WorkerState
from function_router.net.invariants import MAX_TIMEOUT_EXCESS_MS, Invariant
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pending_request import PendingRequest
from function_router.net.worker_messages import Attempt, Exchange

# A repeated attempt must arrive inside the idempotency window, not just leave inside it.
IDEMPOTENCY_WINDOW_MARGIN_MS = 50.0


def check_worker(exchange: Exchange, state: WorkerState) -> NotSentReason | None:
    """Why a worker in this state must not be sent the exchange; None if it may be."""
    if state is WorkerState.REMOVED:
        return NotSentReason.WORKER_REMOVED
    if state is WorkerState.DRAINING and exchange.is_new_work:
        return NotSentReason.WORKER_DRAINING
    return None


def check_readiness(
    exchange: Exchange, connected_at_ms: float, latest_connection_ms: float
) -> NotSentReason | None:
    """Why an exchange may not leave on a connection whose worker may have drained or restarted unnoticed.

    Args:
        exchange: The exchange.
        connected_at_ms: When the connection was established.
        latest_connection_ms: Until when it must have been, so that it leads to a process known to be ready;
            see `function_router.net.readiness`.
    """
    if exchange.is_new_work and connected_at_ms > latest_connection_ms:
        return NotSentReason.READINESS_UNPROVEN
    return None


def check_exchange(exchange: Exchange, state: WorkerState) -> NotSentReason | None:
    """Why an exchange must not send its first byte now to a worker in this state; None if it may."""
    return check_worker(exchange, state) or exchange.reason_not_to_send()


class SendViolation(Struct, frozen=True):
    """A rule that an exchange broke when its first byte was written."""

    invariant: Invariant
    detail: str


def find_send_violations(
    exchange: Exchange, state: WorkerState, written_at_ms: float, *, is_in_grace: bool
) -> Iterator[SendViolation]:
    """The rules that an exchange broke when its first byte was written.

    Args:
        exchange: The exchange.
        state: The state of its worker.
        written_at_ms: When the byte was written, on the monotonic clock.
        is_in_grace: Whether the worker may have got new work then, even if it had drained unnoticed.
    """
    not_sent_reason = check_worker(exchange, state)
    if exchange.is_new_work and not is_in_grace:
        not_sent_reason = not_sent_reason or NotSentReason.READINESS_UNPROVEN
    if not_sent_reason or exchange.is_done:
        cause = not_sent_reason.name if not_sent_reason else "finished already"
        yield SendViolation(Invariant.SENT_ONLY_WHILE_ALLOWED, f"{_describe(exchange)}: {cause}")
    excess_ms = exchange.timeout_excess_ms(written_at_ms)
    if excess_ms > MAX_TIMEOUT_EXCESS_MS:
        yield SendViolation(Invariant.TIMEOUT_WITHIN_DEADLINE, f"{_describe(exchange)}: {excess_ms:.0f} ms")


def check_request(
    request: PendingRequest,
    request_class: RequestClass | None,
    attempts: Iterable[Attempt],
    now_ms: float,
) -> NotSentReason | None:
    """Why no attempt of a pending request may send its first byte; None if one may.

    Args:
        request: The request.
        request_class: Its class; None if the configuration has no such class.
        attempts: Its attempts in flight.
        now_ms: The time on the monotonic clock.
    """
    if not is_in_idempotency_window(request, request_class, attempts, now_ms):
        return NotSentReason.IDEMPOTENCY_WINDOW_PASSED
    if not request.client_request.is_client_connected():
        return NotSentReason.CLIENT_GONE
    return None


def is_in_idempotency_window(
    request: PendingRequest,
    request_class: RequestClass | None,
    attempts: Iterable[Attempt],
    now_ms: float,
) -> bool:
    """Whether workers would still recognize a repetition of the first attempt that may have run.

    Always true for classes that need no idempotency key.
    """
    if request_class is None or request_class.retry_safety is not RetrySafety.IDEMPOTENCY_KEY:
        return True
    started = [attempt.created_at_ms for attempt in attempts if attempt.is_started]
    first_run_at_ms = min([request.first_run_at_ms, *started])
    return now_ms - first_run_at_ms < request_class.idempotency_window_ms - IDEMPOTENCY_WINDOW_MARGIN_MS


def _describe(exchange: Exchange) -> str:
    return f"{exchange.exchange_id.hex()} at worker {exchange.worker_id}"
