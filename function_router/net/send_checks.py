"""The one place that says whether an exchange may send its first byte to a worker now, and if not, why.

The decision module decides what is to be sent. What it decided may be overtaken before the first byte can
leave: the exchange waits for a connection, or stands behind bytes that the worker does not read. So the rules
that a worker's end counts are looked at again here, each time that a first byte could leave.
"""

from collections.abc import Iterable
from enum import Enum, auto
from typing import TYPE_CHECKING

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import RetrySafety, WorkerState
from function_router.net.pending_request import PendingRequest

if TYPE_CHECKING:
    from function_router.net.worker_messages import Attempt, Exchange

# A repeat must arrive inside the idempotency window, not just leave inside it.
IDEMPOTENCY_WINDOW_MARGIN_MS = 50.0


class NotSentReason(Enum):
    """Why an exchange may not start."""

    WORKER_UNKNOWN = auto()  # the endpoint list has no such worker, or no longer
    WORKER_REMOVED = auto()
    WORKER_DRAINING = auto()  # it takes no new work
    DEADLINE_PASSED = auto()  # no time is left for an answer
    REQUEST_FINISHED = auto()  # its request has its final answer, or was cancelled
    CLIENT_GONE = auto()  # its client has closed, which may not have been read yet
    IDEMPOTENCY_WINDOW_PASSED = auto()  # workers may have forgotten the attempt before
    START_ORDER_LIMIT_REACHED = auto()  # one more start order would exceed the ration


def check_worker(exchange: "Exchange", state: WorkerState) -> NotSentReason | None:
    """Why a worker in this state must not get the exchange; None where it may."""
    if state is WorkerState.REMOVED:
        return NotSentReason.WORKER_REMOVED
    if state is WorkerState.DRAINING and exchange.is_new_work:
        return NotSentReason.WORKER_DRAINING
    return None


def check_exchange(exchange: "Exchange", state: WorkerState) -> NotSentReason | None:
    """Why an exchange must not send its first byte now to a worker in this state; None where it may."""
    return check_worker(exchange, state) or exchange.reason_not_to_send()


def check_request(
    request: PendingRequest,
    request_class: RequestClass | None,
    attempts: Iterable["Attempt"],
    now_ms: float,
) -> NotSentReason | None:
    """Why no attempt of a pending request may start; None where one may.

    Args:
        request: the request.
        request_class: its class.
        attempts: its attempts in flight.
        now_ms: the time on the monotonic clock.
    """
    if not is_in_idempotency_window(request, request_class, attempts, now_ms):
        return NotSentReason.IDEMPOTENCY_WINDOW_PASSED
    if not request.client_request.is_client_connected():
        return NotSentReason.CLIENT_GONE
    return None


def is_in_idempotency_window(
    request: PendingRequest,
    request_class: RequestClass | None,
    attempts: Iterable["Attempt"],
    now_ms: float,
) -> bool:
    """Whether workers would still recognize a repeat of the first attempt that may have run.

    Always true of classes that need no idempotency key.
    """
    if request_class is None or request_class.retry_safety is not RetrySafety.IDEMPOTENCY_KEY:
        return True
    started = [attempt.created_at_ms for attempt in attempts if attempt.is_started]
    first_run_at_ms = min([request.first_run_at_ms, *started])
    return now_ms - first_run_at_ms < request_class.idempotency_window_ms - IDEMPOTENCY_WINDOW_MARGIN_MS
