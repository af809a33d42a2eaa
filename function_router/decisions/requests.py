"""The table of open requests, which are those without a final answer, and of attempts in flight."""

from collections import OrderedDict

from function_router.decisions.events import AttemptEnded
from function_router.decisions.records import Attempt, Request
from function_router.decisions.timed_requests import TimedRequests
from function_router.decisions.types import Outcome


class OpenRequests:
    """Owns the open requests and the attempts in flight.

    An attempt may outlive its request, because it keeps its worker busy until it ends.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # by request id and attempt number
        # The attempts that count against the in-flight limit, oldest first; an ordered set.
        self.recent_attempts: OrderedDict[Attempt, None] = OrderedDict()
        self._by_deadline: TimedRequests[Request] = TimedRequests(self.is_open)

    def add(self, request: Request) -> None:
        """Add a new request."""
        self.by_id[request.id] = request
        self._by_deadline.add(request.deadline_ms, request)

    def remove(self, request: Request) -> None:
        """Remove a request that has its final answer or was cancelled."""
        del self.by_id[request.id]
        self._by_deadline.on_obsolete()

    def is_open(self, request: Request) -> bool:
        """Return whether a request has no final answer yet."""
        return self.by_id.get(request.id) is request

    def take_due(self, time_ms: float) -> list[Request]:
        """Return the open requests whose deadlines are not after a time; each is returned once."""
        return self._by_deadline.take_until(time_ms)

    def limit_deadlines(self, latest_ms: float) -> None:
        """Shorten all deadlines to a time."""
        self._by_deadline.clear()
        for request in self.by_id.values():
            request.deadline_ms = min(request.deadline_ms, latest_ms)
            self._by_deadline.add(request.deadline_ms, request)

    def in_flight(self) -> list[Request]:
        """Return the open requests with an attempt in flight, in the order of their arrival."""
        attempts = self.attempts.values()
        requests = {attempt.request_id: self.by_id.get(attempt.request_id) for attempt in attempts}
        still_open = [request for request in requests.values() if request is not None]
        return sorted(still_open, key=lambda request: request.number)

    def add_attempt(self, request: Request, attempt: Attempt) -> None:
        """Add an attempt that is being sent."""
        self.attempts[request.id, len(request.attempts)] = attempt
        self.recent_attempts[attempt] = None
        request.attempts.append(attempt)
        attempt.function.pools[attempt.worker.id].in_flight += 1
        attempt.worker.in_flight += 1

    def end_attempt(self, event: AttemptEnded) -> Attempt | None:
        """Record the end of an attempt and return it; None if it is not in flight."""
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return None
        self.recent_attempts.pop(attempt, None)
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
        while self.recent_attempts and now_ms - next(iter(self.recent_attempts)).sent_ms > max_age_ms:
            self.recent_attempts.popitem(last=False)
