"""Circuit breakers: a worker at which requests of a class fail gets no more of them for a while."""

from function_router.decisions.records import Attempt, Worker
from function_router.decisions.workers import WorkerTable
from function_router.limits import CircuitBreaker

# This many failures of a class at a worker open its breaker.
FAILURE_THRESHOLD = 2.0

# After a success, this fraction of the failures is kept.
FAILURE_DECAY_FACTOR = 0.7

# A breaker is open for this long at first. Each trial doubles it, up to the maximum.
OPEN_MS = 2_000.0
MAX_OPEN_MS = 8_000.0


class CircuitBreakers:
    """The breakers of all workers, one for each class of requests that has failed there."""

    def __init__(self, workers: WorkerTable) -> None:
        self._workers = workers

    def is_open(self, worker: Worker, class_name: str, now_ms: float) -> bool:
        """Whether requests of a class are kept from a worker.

        They aren't if the breakers of most workers are open, as in Envoy's panic mode.
        """
        breaker = worker.breakers.get(class_name)
        if breaker is None or not breaker.is_open(now_ms):
            return False
        ready = self._workers.ready
        breakers = (other.breakers[class_name] for other in ready if class_name in other.breakers)
        open_count = sum(other.has_open_time_left(now_ms) for other in breakers)
        return open_count * 2 <= len(ready)

    def is_tripped(self, worker: Worker, class_name: str) -> bool:
        """Whether a class has failed so often at a worker that its breaker is open or on trial."""
        breaker = worker.breakers.get(class_name)
        return breaker is not None and breaker.is_tripped

    def record_send(self, worker: Worker, class_name: str, now_ms: float) -> None:
        """Record a send: if the breaker is tripped, it is a trial."""
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
        """Record an answer. One to an attempt that was presumed lost takes that failure back."""
        breakers = attempt.worker.breakers
        breaker = breakers.get(attempt.class_name)
        if breaker is None:
            return
        breaker.record_success(was_counted_as_failure=attempt.is_lost)
        if breaker.is_clear:
            del breakers[attempt.class_name]
