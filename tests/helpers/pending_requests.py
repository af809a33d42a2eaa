"""Builds pending requests without a client."""

from function_router.net.client_request import ClientRequest, Invocation
from function_router.net.pending_request import PendingRequest
from function_router.net.timer_wheel import Timer

TIMEOUT_MS = 8000.0


def pending_request(key="r1", request_id=b"12345678", function="f", body=b""):
    """Build a request of the class `view`. Its deadline timer never fires, and its answer is discarded."""
    invocation = Invocation(
        request_id=request_id,
        class_name="view",
        tenant="acme",
        function=function,
        timeout_ms=TIMEOUT_MS,
        body=body,
        idempotency_key="",
        concurrency=1,
        memory_mb=None,
        expected_start_ms=None,
    )
    client_request = ClientRequest(
        invocation, age_ms=0.0, reply=lambda _answer: None, is_client_connected=lambda: True
    )
    return PendingRequest(key, client_request, TIMEOUT_MS, Timer(0, None))
