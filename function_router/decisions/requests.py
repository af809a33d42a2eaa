"""The table of open requests, which are those without a final answer, and of attempts in flight."""

from collections import deque

from function_router.decisions.events import AttemptEnded
from function_router.decisions.records import Attempt, Request
from function_router.decisions.types import Outcome


class OpenRequests:
    """Owns the open requests and the attempts in flight.

    An attempt may outlive its request, because it keeps its worker busy until it ends.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # by request id and attempt number
        self.recent_attempts: deque[Attempt] = deque()  # attempts that count against the in-flight limit

    def add_attempt(self, request: Request, attempt: Attempt) -> None:
        """Add an attempt that is being sent."""
        self.attempts[request.id, len(request.attempts)] = attempt
        self.recent_attempts.append(attempt)
        request.attempts.append(attempt)
        attempt.function.pools[attempt.worker.id].in_flight += 1
        attempt.worker.in_flight += 1

    def end_attempt(self, event: AttemptEnded) -> Attempt | None:
        """Record the end of an attempt and return it; None if it is not in flight."""
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return None
        if attempt in self.recent_attempts:
            self.recent_attempts.remove(attempt)
        attempt.in_flight = False
        attempt.may_have_run = event.outcome.may_have_run
        attempt.is_unsent = event.outcome is Outcome.NOT_SENT
        if event.transmission is not None:
            attempt.connected_at_ms = event.transmission.connected_at_ms
        attempt.function.pools[attempt.worker.id].in_flight -= 1
        attempt.worker.in_flight -= 1
        return attempt

    def expire_recent_attempts(self, max_age_ms: float, now_ms: float) -> None:
        """Stop counting attempts above an age against the in-flight limit, as they are most likely lost."""
        while self.recent_attempts and now_ms - self.recent_attempts[0].sent_ms > max_age_ms:
            self.recent_attempts.popleft()
