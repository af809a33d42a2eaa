"""Tests of `function_router.net.pending_request`."""

import pytest

from function_router.net.client_request import ClientRequest, Failed, Invocation, Rejected, Served
from function_router.net.pending_request import MAX_TRACE_STEPS, PendingRequest
from function_router.net.timer_wheel import Timer


@pytest.fixture
def pending_request():
    invocation = Invocation(
        request_id=bytes.fromhex("9b1f03aa5c7e2d41"),
        class_name="view",
        tenant="acme",
        function="f1",
        timeout_ms=8000.0,
        body=b"",
        idempotency_key="",
        concurrency=1,
        memory_mb=None,
        expected_start_ms=None,
    )
    client_request = ClientRequest(
        invocation, age_ms=0.0, reply=lambda _answer: None, is_client_connected=lambda: True
    )
    return PendingRequest("r1", client_request, 8000.0, Timer(0, None))


@pytest.mark.parametrize(
    ("answer", "name"), [(Served(b""), "served"), (Rejected(5.0), "rejected"), (Failed(), "failed")]
)
def test_trace_of_a_request_without_attempts_says_never_sent(pending_request, answer, name):
    line = pending_request.format_trace(answer, duration_ms=12.4)

    assert line == f"9b1f03aa5c7e2d41 view of f1 {name} after 12 ms (timeout 8000 ms): never sent"


def test_trace_steps_carry_the_time_since_admission(pending_request):
    pending_request.admitted_at_ms -= 1000.0

    pending_request.add_trace_step("sent to 7")

    [step] = pending_request.trace
    offset, text = step.split(" ", 1)
    assert int(offset) >= 1000
    assert text == "sent to 7"


def test_trace_drops_steps_beyond_its_limit(pending_request):
    for number in range(MAX_TRACE_STEPS + 1):
        pending_request.add_trace_step(f"step {number}")

    assert len(pending_request.trace) == MAX_TRACE_STEPS
    assert pending_request.trace[-1].endswith(f"step {MAX_TRACE_STEPS - 1}")
