"""Retries and hedges, which send a request again unless its class forbids that."""

from function_router.decisions.answers import Answers
from function_router.decisions.dispatch import Dispatcher
from function_router.decisions.fleet import Fleet
from function_router.decisions.health import LOST_AFTER_RUNS, OVERDUE_AFTER_RUNS
from function_router.decisions.records import Attempt, Request, Worker
from function_router.decisions.requests import OpenRequests
from function_router.decisions.retry_policy import RetryPolicy

# Hedge budget: each request adds this fraction of a hedge, up to the maximum.
HEDGES_PER_REQUEST = 0.1
MAX_HEDGE_BUDGET = 3.0

# An attempt counts as overdue after this fraction of its latency objective at the latest.
OVERDUE_OBJECTIVE_FRACTION = 0.5


class Retries:
    """Sends a request again if its attempt has failed, is overdue or is presumed lost."""

    def __init__(
        self,
        fleet: Fleet,
        requests: OpenRequests,
        retry_policy: RetryPolicy,
        answers: Answers,
        dispatcher: Dispatcher,
    ) -> None:
        self._durations = fleet.durations
        self._breakers = fleet.health.breakers
        self._requests = requests
        self._retry_policy = retry_policy
        self._answers = answers
        self._dispatcher = dispatcher
        self._hedge_budget = MAX_HEDGE_BUDGET

    def record_arrival(self) -> None:
        """Increase the hedge budget for a new request."""
        self._hedge_budget = min(MAX_HEDGE_BUDGET, self._hedge_budget + HEDGES_PER_REQUEST)

    def record_answer(self, request: Request, attempt: Attempt) -> None:
        """Refund a hedge to the budget if it was answered while the first attempt was still in flight."""
        first = request.attempts[0]
        if attempt is not first and first.in_flight:
            self._hedge_budget += 1

    def retry_or_finish(self, request: Request, now_ms: float) -> None:
        """Queue a request for another attempt if its class allows one; otherwise answer it.

        If no further attempt is allowed while one is in flight, the request waits for that one.
        """
        if self._retry_policy.allows_attempt(request, now_ms):
            self._dispatcher.enqueue(request, now_ms)
        elif not request.has_attempt_in_flight():
            self._answers.finish(request)

    def retry_elsewhere(self, worker: Worker, now_ms: float) -> None:
        """Retry the requests in flight at an unresponsive worker, or answer those that can't be retried."""
        for attempt in list(self._requests.attempts.values()):
            if attempt.worker is not worker:
                continue
            request = self._requests.by_id.get(attempt.request_id)
            if request is not None and request not in attempt.function.queue:
                self.retry_or_finish(request, now_ms)
                self._dispatcher.dispatch(attempt.function, now_ms)

    def hedge_overdue_requests(self, now_ms: float) -> None:
        """Queue the requests in flight for a hedge whose last attempts are overdue, the earliest first."""
        for request in self._requests.in_flight():
            if request not in request.function.queue:
                self._hedge_if_overdue(request, now_ms)

    def _hedge_if_overdue(self, request: Request, now_ms: float) -> None:
        """Queue a request for a hedge if its last attempt is overdue and the hedge budget allows it."""
        runs_ms = OVERDUE_AFTER_RUNS * self._durations.median_run_ms(request.function, now_ms)
        objective_ms = request.request_class.latency_objective_ms
        limit_ms = min(runs_ms, objective_ms * OVERDUE_OBJECTIVE_FRACTION)
        attempt = request.attempts[-1]
        is_overdue = attempt.in_flight and now_ms - attempt.sent_ms > limit_ms
        if not is_overdue or self._hedge_budget < 1:
            return
        if self._retry_policy.allows_attempt(request, now_ms):
            self._hedge_budget -= 1
            self._dispatcher.enqueue(request, now_ms)

    def retry_lost_attempts(self, now_ms: float) -> None:
        """Presume attempts lost that take too long, and count them as failures of their workers.

        If this trips the circuit breaker, the request is sent again, but only if another worker has a free
        slot now. Unresponsive workers are skipped, as their requests have been retried already.
        """
        for attempt in list(self._requests.attempts.values()):
            takes_too_long = self._takes_too_long(attempt, now_ms)
            if attempt.is_lost or not takes_too_long or attempt.worker.unresponsive_since_ms is not None:
                continue
            attempt.is_lost = True
            self._breakers.record_failure(attempt.worker, attempt.class_name, now_ms)
            request = self._requests.by_id.get(attempt.request_id)
            if request is None or not self._breakers.is_tripped(attempt.worker, attempt.class_name):
                continue
            if request not in attempt.function.queue and self._retry_policy.allows_attempt(request, now_ms):
                self._dispatcher.send_at_once(request, now_ms)

    def _takes_too_long(self, attempt: Attempt, now_ms: float) -> bool:
        """Return whether an attempt takes much longer than a run. A tripped breaker lowers the limit."""
        has_failures = self._breakers.is_tripped(attempt.worker, attempt.class_name)
        runs = OVERDUE_AFTER_RUNS if has_failures else LOST_AFTER_RUNS
        run_ms = max(
            self._durations.median_run_ms(attempt.function, now_ms),
            self._durations.median_run_of_all_ms(now_ms),
        )
        return now_ms >= attempt.sent_ms + runs * run_ms
