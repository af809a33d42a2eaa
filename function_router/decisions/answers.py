"""Closes requests, with a final answer of the router itself if no worker gave one."""

from function_router.decisions.actions import CancelAttempt, FailRequest, RejectRequest
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import Request
from function_router.decisions.requests import OpenRequests
from function_router.decisions.retry_policy import RetryPolicy
from function_router.decisions.settings import Settings


class Answers:
    """Closes requests. No other component gives answers of the router itself."""

    def __init__(
        self, settings: Settings, requests: OpenRequests, retry_policy: RetryPolicy, outbox: Outbox
    ) -> None:
        self._can_cancel = settings.can_cancel
        self._max_retry_after_ms = settings.max_retry_after_ms
        self._requests = requests
        self._retry_policy = retry_policy
        self._outbox = outbox

    def finish(self, request: Request) -> None:
        """Close a request with a final answer: a rejection if a client's retry is safe, else a failure.

        If the request was never sent or is over quota, the client is advised to wait before the retry, as
        there is unlikely to be capacity for it soon.
        """
        self.close(request)
        if not self._retry_policy.is_client_retry_safe(request):
            self._outbox.add(FailRequest(request.id))
            return
        may_retry_at_once = bool(request.attempts) and not request.over_quota
        retry_after_ms = 0.0 if may_retry_at_once else self._max_retry_after_ms
        self._outbox.add(RejectRequest(request.id, retry_after_ms))

    def reject_unqueued(self, request_id: str) -> None:
        """Reject a new request that was not added to any table."""
        self._outbox.add(RejectRequest(request_id, self._max_retry_after_ms))

    def close(self, request: Request) -> None:
        """Close a request without an answer of the router, and cancel its attempts in flight."""
        self._requests.remove(request)
        queue = request.function.queue
        if request in queue:
            queue.remove(request)
        if not self._can_cancel:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.in_flight:
                self._outbox.add(CancelAttempt(request.id, number))
