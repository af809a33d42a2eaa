"""Builds pending requests without a client."""

from function_router.net.client_request import ClientRequest, Invocation
from function_router.net.memory_budget import MemoryAccount, MemoryOwner, MemoryShare
from function_router.net.pending_request import PendingRequest
from function_router.net.timer_wheel import Timer

TIMEOUT_MS = 8000.0
MEMORY_BYTES = 1024 * 1024


def pending_request(key="r1", request_id=b"12345678", function="f", body=b"", memory=None):
    """Build a request of the class `view`. Its deadline timer never fires, and its answer is discarded.

    Its client has `memory` for its pending requests; by default, an account of its own share.
    """
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
        invocation,
        age_ms=0.0,
        reply=lambda _answer: None,
        is_client_connected=lambda: True,
        memory=memory or MemoryAccount(MemoryShare(MemoryOwner.REQUESTS, MEMORY_BYTES, max_holders=1)),
    )
    return PendingRequest(key, client_request, TIMEOUT_MS, Timer(0, None))
