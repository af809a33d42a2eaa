"""Exchanges with a worker that a test hands to the worker pool itself, without the decision module."""

from function_router.net.clock import monotonic_ms
from function_router.net.worker_messages import Attempt, StartOrder
from helpers.client_messages import FUNCTION


def attempt(worker_id, results, exchange_id=b"12345678", body=b"", timeout_ms=8000.0):
    """An attempt that adds its result to a list: an outcome or a close reason, and whether a byte was sent.

    The outcome is that of the worker's answer; a close reason says why there is no answer.
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
    """A start order, or a probe of 0 instances, that adds its result to a list as an attempt does."""
    return StartOrder(
        worker_id=worker_id,
        on_done=_append_to(results),
        function=FUNCTION,
        instances=instances,
    )


def _append_to(results):
    """A callback for the end of an exchange."""

    def on_done(exchange, result):
        outcome_or_close_reason = getattr(result, "outcome", result)
        results.append((outcome_or_close_reason, exchange.is_started))

    return on_done
