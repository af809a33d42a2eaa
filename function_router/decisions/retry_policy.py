"""The retry policy: which requests may be sent again, to which workers, and for how long."""

from function_router.decisions.events import Endpoint
from function_router.decisions.process_identity import ProcessIdentity
from function_router.decisions.records import Attempt, Request, Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import DeduplicationScope, RetrySafety

# Minimum time between a retry and the end of the idempotency window, because a retry must not only be sent
# but also arrive within the window.
IDEMPOTENCY_MARGIN_MS = 100.0


class RetryPolicy:
    """Applies the rules of the request classes. Attempts that provably did not run restrict no retries.

    Where only a zone or a cell shares the idempotency key, a request that may have run is repeated only if
    the process that may have run it and the one that would get it again are known; see `process_identity`.
    """

    def __init__(self, settings: Settings, process_identity: ProcessIdentity) -> None:
        self._process_identity = process_identity
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
            if request_class.is_key_scoped and not self._process_identity.is_attempt_known(first):
                return False
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
        if request_class.is_key_scoped and not self._is_in_scope(request, first, worker):
            return False
        return self.allows_attempt(request, now_ms)

    def _is_in_scope(self, request: Request, first: Attempt, worker: Worker) -> bool:
        """Return whether a worker is known to deduplicate a request that the first attempt may have run.

        A worker that could not be sent the request before has no connection that leads to it for certain.
        """
        if not _share_keys(request.request_class.deduplication_scope, first.endpoint, worker.endpoint):
            return False
        if any(attempt.worker is worker and attempt.is_unsent for attempt in request.attempts):
            return False
        return self._process_identity.has_known_connection(worker)

    def is_client_retry_safe(self, request: Request) -> bool:
        """Return whether the client may safely send the request again, whichever worker receives it."""
        request_class = request.request_class
        if request.first_possible_run() is None or request_class.retry_safety is RetrySafety.IDEMPOTENT:
            return True
        has_key = request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        return has_key and request_class.deduplication_scope is DeduplicationScope.ALL


def _share_keys(scope: DeduplicationScope, first: Endpoint, second: Endpoint) -> bool:
    """Return whether two workers share the idempotency keys of a class whose scope is a zone or a cell."""
    if scope is DeduplicationScope.ZONE:
        return first.zone == second.zone
    return first.cell == second.cell
