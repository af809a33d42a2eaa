"""Sends the health checks that the decision module requests, and reports their results."""

from collections.abc import Callable

from function_router.decisions.actions import CheckHealth
from function_router.decisions.events import HealthChecked
from function_router.decisions.types import Outcome, Readiness
from function_router.net.close_reason import outcome_without_answer
from function_router.net.event_loop import EventLoop
from function_router.net.telemetry import HEALTH_CHECKS, Telemetry
from function_router.net.worker_messages import HealthCheck, Result, WorkerAnswer
from function_router.net.worker_pool import WorkerPool


class HealthChecker:
    """Sends health checks, and reports the results to the decision module."""

    def __init__(
        self,
        loop: EventLoop,
        pool: WorkerPool,
        add_trace_step: Callable[[str, str], None],
        telemetry: Telemetry,
    ) -> None:
        """Create a sender of health checks to the workers of `pool`.

        Args:
            loop: The event loop, which has the clock of the decision module and takes the results.
            pool: The workers.
            add_trace_step: Called with a function and a text for each health check and each result.
            telemetry: Counts the results.
        """
        self._loop = loop
        self._pool = pool
        self._add_trace_step = add_trace_step
        self._telemetry = telemetry

    def send(self, action: CheckHealth) -> None:
        """Send a health check."""
        self._add_trace_step(action.function, f"health check of {action.worker_id}")
        check = HealthCheck(
            worker_id=action.worker_id,
            on_done=lambda check, result: self._on_done(action.function, check, result),
        )
        self._pool.check_health(check)

    def _on_done(self, function: str, check: HealthCheck, result: Result) -> None:
        if isinstance(result, WorkerAnswer):
            outcome = result.outcome
            readiness = result.readiness
        else:
            outcome = outcome_without_answer(result, is_started=check.is_started)
            readiness = Readiness.UNKNOWN
        description = readiness.name if outcome is Outcome.OK else outcome.name
        self._telemetry.count(HEALTH_CHECKS, description)
        self._add_trace_step(function, f"{check.worker_id}: {description}")
        self._loop.submit(self._report(check, outcome, readiness))

    def _report(self, check: HealthCheck, outcome: Outcome, readiness: Readiness) -> HealthChecked:
        clock = self._loop.clock
        lost_at_ms = self._pool.connection_lost_at_ms(check.worker_id)
        return HealthChecked(
            worker_id=check.worker_id,
            outcome=outcome,
            readiness=readiness,
            sent_at_ms=clock.from_monotonic_ms(check.sent_at_ms),
            connected_at_ms=clock.from_monotonic_ms(check.connected_at_ms),
            connection_lost_at_ms=None if lost_at_ms is None else clock.from_monotonic_ms(lost_at_ms),
        )
