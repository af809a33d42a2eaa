"""Builds exchanges that a test passes directly to the worker pool, without the decision module."""

from function_router.net.clock import monotonic_ms
from function_router.net.worker_messages import Attempt, StartOrder
from helpers.client_messages import FUNCTION


def attempt(worker_id, results, exchange_id=b"12345678", body=b"", timeout_ms=8000.0):
    """Build an attempt that appends its result to a list.

    The result is a pair. Its first item is the outcome of the worker's answer, or the close reason if there
    is no answer. The second item says whether any byte of the attempt was sent.
    """
    return Attempt(
        worker_id=worker_id,
        on_done=_append_to(results),
        exchange_id=exchange_id,
        class_name="view",
        function=FUNCTION,
        body=body,
        deadline_ms=monotonic_ms() + timeout_ms,
    )


def start_order(worker_id, results, instances=1):
    """Build a start order, or a probe (0 instances), that appends its result to a list as an attempt does."""
    return StartOrder(
        worker_id=worker_id,
        on_done=_append_to(results),
        function=FUNCTION,
        instances=instances,
    )


def _append_to(results):
    """Create a callback that appends the result of an exchange to a list."""

    def on_done(exchange, result):
        outcome_or_close_reason = getattr(result, "outcome", result)
        results.append((outcome_or_close_reason, exchange.is_started))

    return on_done
