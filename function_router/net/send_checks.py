"""Checks of whether the first byte of an exchange may be sent to a worker now.

The decision module decides what to send. The decision may be out of date when the first byte can be written:
the exchange may have been queued for a connection, or behind bytes that the worker was slow to read. The
rules that apply when a request or an order arrives at the worker are therefore checked again each time that a
first byte could be written.

This module has the rules about the worker, the connection, the client and the idempotency window. Two more
rules are checked by the `reason_not_to_send` of an exchange: `function_router.net.attempts_in_flight` checks
whether the request of an attempt is finished, and `function_router.net.start_orders` checks the rate limit
of start orders.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Sequence

from msgspec import Struct

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import RetrySafety, WorkerState
from function_router.net.invariants import MAX_TIMEOUT_EXCESS_MS, Invariant
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pending_request import PendingRequest, PossibleRun
from function_router.net.worker_messages import Attempt, Exchange

# Time before the end of the idempotency window from which an attempt is not repeated. A repeated attempt has
# to arrive, not just be sent, within the window.
IDEMPOTENCY_WINDOW_MARGIN_MS = 50.0


def check_worker(exchange: Exchange, state: WorkerState) -> NotSentReason | None:
    """Return why an exchange must not be sent to a worker in this state; None if it may be sent."""
    if state is WorkerState.REMOVED:
        return NotSentReason.WORKER_REMOVED
    if state is WorkerState.DRAINING and exchange.is_new_work:
        return NotSentReason.WORKER_DRAINING
    return None


def check_readiness(
    exchange: Exchange, connected_at_ms: float, connection_cutoff_ms: float
) -> NotSentReason | None:
    """Return why an exchange must not be sent on a connection; None if it may be sent.

    While the endpoint list is out of date, the worker may have drained unnoticed. Another worker may have
    taken over its address at any time.

    Args:
        exchange: The exchange.
        connected_at_ms: When the connection was established.
        connection_cutoff_ms: The time by which a connection must have been established to carry the exchange;
            see `PooledWorker.connection_cutoff_ms`.
    """
    if exchange.is_new_work and connected_at_ms > connection_cutoff_ms:
        return reason_without_connection(exchange)
    return None


def reason_without_connection(exchange: Exchange) -> NotSentReason:
    """Return why an exchange must not be sent on a connection that was established too late for it."""
    if exchange.is_scoped_repeat():
        return NotSentReason.PROCESS_UNKNOWN
    return NotSentReason.READINESS_UNPROVEN


def check_exchange(exchange: Exchange, state: WorkerState) -> NotSentReason | None:
    """Return why an exchange must not be started now at a worker in this state; None if it may be."""
    return check_worker(exchange, state) or exchange.reason_not_to_send()


class SendViolation(Struct, frozen=True):
    """An invariant that an exchange violated when its first byte was written."""

    invariant: Invariant
    detail: str


class SendConditions(Struct, frozen=True):
    """What was known when the first byte of an exchange was written.

    Attributes:
        state: The state of the worker.
        written_at_ms: When the byte was written, on the monotonic clock.
        is_in_drain_grace: Whether the byte was written within the drain grace, in which a worker may get new
            work even if it has drained unnoticed.
        is_process_known: Whether the connection leads to the worker of the endpoint list for certain.
    """

    state: WorkerState
    written_at_ms: float
    is_in_drain_grace: bool
    is_process_known: bool


def find_send_violations(exchange: Exchange, conditions: SendConditions) -> Iterator[SendViolation]:
    """Yield the invariants that an exchange violated when its first byte was written."""
    not_sent_reason = check_worker(exchange, conditions.state)
    if exchange.is_new_work and not conditions.is_in_drain_grace:
        not_sent_reason = not_sent_reason or NotSentReason.READINESS_UNPROVEN
    if not_sent_reason or exchange.is_done:
        cause = not_sent_reason.name if not_sent_reason else "already finished"
        yield SendViolation(Invariant.SENT_ONLY_WHILE_ALLOWED, f"{_describe(exchange)}: {cause}")
    if exchange.is_scoped_repeat() and not conditions.is_process_known:
        yield SendViolation(Invariant.REPEATED_IN_SCOPE, f"{_describe(exchange)}: the process is not known")
    excess_ms = exchange.timeout_excess_ms(conditions.written_at_ms)
    if excess_ms > MAX_TIMEOUT_EXCESS_MS:
        yield SendViolation(
            Invariant.TIMEOUT_WITHIN_DEADLINE,
            f"{_describe(exchange)}: timeout exceeds the time left by {excess_ms:.0f} ms",
        )


def check_request(
    request: PendingRequest,
    request_class: RequestClass | None,
    runs: Sequence[PossibleRun],
    now_ms: float,
    is_process_known: Callable[[int, float], bool],
) -> NotSentReason | None:
    """Return why an attempt of a pending request may not send its first byte; None if it may.

    Args:
        request: The request.
        request_class: The class of the request; None if the configuration has no such class.
        runs: Its other attempts that may have run; see `possible_runs`.
        now_ms: The current time on the monotonic clock.
        is_process_known: Called with the id of a worker and the time at which a connection was established;
            returns whether the connection leads to the worker of the endpoint list for certain.
    """
    if not is_in_idempotency_window(runs, request_class, now_ms):
        return NotSentReason.IDEMPOTENCY_WINDOW_PASSED
    # The zone or cell where the request may have run decides which workers recognize a repetition.
    if is_key_scoped(request_class) and not all(
        is_process_known(run.worker_id, run.connected_at_ms) for run in runs
    ):
        return NotSentReason.PROCESS_UNKNOWN
    if not request.client_request.is_client_connected():
        return NotSentReason.CLIENT_GONE
    return None


def possible_runs(
    request: PendingRequest, attempts: Iterable[tuple[int, Attempt]], number: int
) -> list[PossibleRun]:
    """Return the attempts that may have run a request before attempt `number` of it is sent.

    An attempt that is assigned to a connection may be written at the end of the turn. Of two such attempts,
    the earlier one counts as the first.

    Args:
        request: The request.
        attempts: Its attempts in flight, with their numbers.
        number: The number of the attempt that is about to be sent.
    """
    runs = [
        PossibleRun.of(attempt)
        for other, attempt in attempts
        if other != number and (attempt.is_started or (attempt.is_assigned and other < number))
    ]
    return runs if request.first_run is None else [request.first_run, *runs]


def is_key_scoped(request_class: RequestClass | None) -> bool:
    """Return whether only the workers of one zone or cell share the idempotency keys of a class."""
    return request_class is not None and request_class.is_key_scoped


def is_in_idempotency_window(
    runs: Iterable[PossibleRun], request_class: RequestClass | None, now_ms: float
) -> bool:
    """Return whether workers still recognize a repetition of the first attempt that may have run.

    The result is always True for classes that need no idempotency key.
    """
    if request_class is None or request_class.retry_safety is not RetrySafety.IDEMPOTENCY_KEY:
        return True
    first_run_at_ms = min((run.created_at_ms for run in runs if run.is_started), default=math.inf)
    return now_ms - first_run_at_ms < request_class.idempotency_window_ms - IDEMPOTENCY_WINDOW_MARGIN_MS


def _describe(exchange: Exchange) -> str:
    return f"{exchange.exchange_id.hex()} at worker {exchange.worker_id}"
