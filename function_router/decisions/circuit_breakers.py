"""Circuit breakers, which keep requests of a class from a worker for a while after failures there."""

from function_router.decisions.records import Attempt, Worker
from function_router.decisions.workers import WorkerTable
from function_router.limits import CircuitBreaker

# Number of failures of a class at a worker that open its breaker.
FAILURE_THRESHOLD = 2.0

# Factor by which a success multiplies the number of failures.
FAILURE_DECAY_FACTOR = 0.7

# Initial time for which a breaker is open, and the maximum. Each trial doubles the time.
OPEN_MS = 2_000.0
MAX_OPEN_MS = 8_000.0


class CircuitBreakers:
    """The circuit breakers of all workers, one per worker and request class that has failed there."""

    def __init__(self, workers: WorkerTable) -> None:
        self._workers = workers

    def is_open(self, worker: Worker, class_name: str, now_ms: float) -> bool:
        """Return whether requests of a class must not go to a worker.

        If most ready workers have a breaker of the class with open time left, none has an effect, as in
        Envoy's panic mode. This includes breakers that successes have closed before the end of that time.
        """
        breaker = worker.breakers.get(class_name)
        if breaker is None or not breaker.is_open(now_ms):
            return False
        ready = self._workers.ready
        breakers = (other.breakers[class_name] for other in ready if class_name in other.breakers)
        open_time_left_count = sum(other.has_open_time_left(now_ms) for other in breakers)
        return open_time_left_count * 2 <= len(ready)

    def is_tripped(self, worker: Worker, class_name: str) -> bool:
        """Return whether the breaker of a class at a worker is tripped, that is, open or half-open."""
        breaker = worker.breakers.get(class_name)
        return breaker is not None and breaker.is_tripped

    def record_send(self, worker: Worker, class_name: str, now_ms: float) -> None:
        """Record a send, which is a trial if the breaker is tripped."""
        breaker = worker.breakers.get(class_name)
        if breaker is not None:
            breaker.record_trial(now_ms)

    def record_failure(self, worker: Worker, class_name: str, now_ms: float) -> None:
        """Record a failure, which may open the breaker."""
        breaker = worker.breakers.get(class_name)
        if breaker is None:
            breaker = CircuitBreaker(
                threshold=FAILURE_THRESHOLD,
                decay_factor=FAILURE_DECAY_FACTOR,
                open_ms=OPEN_MS,
                max_open_ms=MAX_OPEN_MS,
            )
            worker.breakers[class_name] = breaker
        breaker.record_failure(now_ms)

    def record_success(self, attempt: Attempt) -> None:
        """Record a success. If the attempt was presumed lost, this takes back the failure counted for it."""
        breakers = attempt.worker.breakers
        breaker = breakers.get(attempt.class_name)
        if breaker is None:
            return
        breaker.record_success(was_counted_as_failure=attempt.is_lost)
        if breaker.is_clear:
            del breakers[attempt.class_name]
