"""The retry policy: which requests may be sent again, to which workers, and for how long."""

from function_router.decisions.events import Endpoint
from function_router.decisions.records import Request, Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import DeduplicationScope, RetrySafety

# Minimum time between a retry and the end of the idempotency window, because a retry must not only be sent
# but also arrive within the window.
IDEMPOTENCY_MARGIN_MS = 100.0


class RetryPolicy:
    """Applies the rules of the request classes. Attempts that provably did not run restrict no retries."""

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._can_hedge = settings.can_hedge

    def allows_attempt(self, request: Request, now_ms: float) -> bool:
        """Return whether another attempt is allowed. It is a hedge if an attempt is in flight."""
        if len(request.attempts) >= self._max_attempts:
            return False
        if not self._can_hedge and request.has_attempt_in_flight():
            return False
        first = request.first_possible_run()
        if first is None:
            return True
        request_class = request.request_class
        if request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY:
            window_ms = request_class.idempotency_window_ms - IDEMPOTENCY_MARGIN_MS
            return now_ms - first.sent_ms < window_ms
        return request_class.retry_safety is RetrySafety.IDEMPOTENT

    def allows_worker(self, request: Request, worker: Worker, now_ms: float) -> bool:
        """Return whether another attempt may go to a worker.

        A worker that may have run the request never gets it again. With an idempotency key, retries go only
        to workers in the same deduplication scope as the first worker that may have run it.
        """
        if any(attempt.worker.id == worker.id and attempt.may_have_run for attempt in request.attempts):
            return False
        first = request.first_possible_run()
        request_class = request.request_class
        if first is None or request_class.retry_safety is RetrySafety.IDEMPOTENT:
            return True
        if request_class.retry_safety is RetrySafety.AT_MOST_ONCE:
            return False
        scope = request_class.deduplication_scope
        is_in_scope = _is_in_scope(scope, first.worker.endpoint, worker.endpoint)
        return is_in_scope and self.allows_attempt(request, now_ms)

    def is_client_retry_safe(self, request: Request) -> bool:
        """Return whether the client may safely send the request again, whichever worker receives it."""
        request_class = request.request_class
        if request.first_possible_run() is None or request_class.retry_safety is RetrySafety.IDEMPOTENT:
            return True
        has_key = request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        return has_key and request_class.deduplication_scope is DeduplicationScope.ALL


def _is_in_scope(scope: DeduplicationScope, first: Endpoint, second: Endpoint) -> bool:
    """Return whether the second worker deduplicates a request that the first one may have run."""
    if scope is DeduplicationScope.ZONE:
        return first.zone == second.zone
    if scope is DeduplicationScope.CELL:
        return first.cell == second.cell
    return True
