"""Updates the router's estimates when attempts, start orders, probes and health checks end."""

from function_router.decisions.events import AttemptEnded, HealthChecked, InstancesReported, Transmission
from function_router.decisions.fleet import Fleet
from function_router.decisions.health import PING_INTERVAL_MS, SLOW_RUN_FACTOR
from function_router.decisions.records import Attempt, Function, Worker
from function_router.decisions.types import Outcome, StartKind

# Weight of one answer in the estimate of a function's requests in flight from all routers.
IN_FLIGHT_GAIN = 0.4

# Slowdown that is recorded for a full queue, as a multiple of the usual run time.
FULL_QUEUE_SLOWDOWN = 2 * SLOW_RUN_FACTOR

# Outcomes which prove that the worker has replied: to an attempt, and to a start order or probe.
REPLY_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.QUEUE_FULL, Outcome.NOT_LOADED)
REPORT_REPLY_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.QUEUE_FULL)


class Feedback:
    """Updates durations, health, instances and process identities according to the workers' answers."""

    def __init__(self, fleet: Fleet) -> None:
        self._process_identity = fleet.process_identity
        self._durations = fleet.durations
        self._health = fleet.health
        self._instances = fleet.instances

    def record_attempt(self, event: AttemptEnded, attempt: Attempt, now_ms: float) -> bool:
        """Update the estimates at the end of an attempt.

        Returns:
            Whether its worker has just become unresponsive.
        """
        outcome = event.outcome
        became_unresponsive = False
        if outcome in REPLY_OUTCOMES:
            self._health.record_reply(attempt.worker, now_ms)
            self._process_identity.record_reply(attempt.worker, event.transmission)
            attempt.worker.answered_function = attempt.function
        if outcome is Outcome.OK:
            self._record_served(event, attempt, now_ms)
        elif outcome is Outcome.NOT_LOADED or event.start_kind is StartKind.START_FAILED:
            attempt.function.pools[attempt.worker.id].count = 0
        elif outcome is Outcome.ERROR and attempt.function.run_times:
            # Without a recent warm run, the function itself may be the cause of the error.
            self._health.breakers.record_failure(attempt.worker, attempt.class_name, now_ms)
        elif outcome is Outcome.QUEUE_FULL:
            self._record_full_queue(attempt, now_ms)
        else:
            became_unresponsive = self._health.record_no_reply(attempt.worker, outcome, now_ms)
        if outcome in (Outcome.OK, Outcome.QUEUE_FULL) and event.in_flight is not None:
            self._record_in_flight(attempt, event.in_flight)
        return became_unresponsive

    def _record_served(self, event: AttemptEnded, attempt: Attempt, now_ms: float) -> None:
        """Record an answer. Its duration counts as a run time unless it includes a cold start."""
        function = attempt.function
        run_ms = event.duration_ms
        function.was_served = True
        self._instances.record_served(event, attempt, now_ms)
        if event.start_kind in (StartKind.UNKNOWN, StartKind.WARM):
            self._durations.record_run(function, run_ms, now_ms, is_unloaded=attempt.is_unloaded)
            median_ms = self._durations.median_run_ms(function, now_ms)
            self._health.record_slowdown(attempt.worker, run_ms / median_ms, now_ms)
        self._health.breakers.record_success(attempt)

    def _record_full_queue(self, attempt: Attempt, now_ms: float) -> None:
        """Block the function at the worker, whose queue is full, for about the duration of a run."""
        pool = attempt.function.pools[attempt.worker.id]
        pool.blocked_until_ms = now_ms + self._durations.median_run_ms(attempt.function, now_ms)
        self._health.record_slowdown(attempt.worker, FULL_QUEUE_SLOWDOWN, now_ms)

    def _record_in_flight(self, attempt: Attempt, in_flight: int) -> None:
        """Estimate a function's requests in flight at all workers from the number at one worker."""
        function = attempt.function
        at_all_workers = in_flight * attempt.preferred_pool_count
        function.estimated_in_flight += IN_FLIGHT_GAIN * (at_all_workers - function.estimated_in_flight)

    def record_report(
        self, event: InstancesReported, function: Function | None, worker: Worker, now_ms: float
    ) -> bool:
        """Update the estimates at the end of a start order or probe, whose function may have been evicted.

        If an unresponsive worker replies and has lost its instances, it is assumed to have restarted, even if
        the endpoint log has not announced that yet.

        Returns:
            Whether the worker has just become unresponsive.
        """
        if event.outcome not in REPORT_REPLY_OUTCOMES:
            return self._health.record_no_reply(worker, event.outcome, now_ms)
        self._process_identity.record_reply(worker, event.transmission)
        pool = function.pool_at(worker) if function is not None else None
        if worker.unresponsive_since_ms is not None and pool and pool.count and not event.instances:
            worker.started_ms = now_ms
        self._health.record_reply(worker, now_ms, reply_grace_ms=PING_INTERVAL_MS)
        if function is not None and pool is not None:
            worker.answered_function = function
            self._instances.record_report(event, pool, function.concurrency, now_ms)
        return False

    def record_health_check(self, event: HealthChecked, worker: Worker, now_ms: float) -> bool:
        """Record at the end of a health check whether the worker replied.

        Returns:
            Whether the worker has just become unresponsive.
        """
        if event.outcome is not Outcome.OK:
            return self._health.record_no_reply(worker, event.outcome, now_ms)
        transmission = Transmission(event.sent_at_ms, event.connected_at_ms)
        self._process_identity.record_reply(worker, transmission)
        self._health.record_reply(worker, now_ms, reply_grace_ms=PING_INTERVAL_MS)
        return False
