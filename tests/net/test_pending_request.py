"""Tests of `pending_request`: the trace of a request and its log line."""

import pytest
from helpers.pending_requests import pending_request

from function_router.net.client_request import Failed, Rejected, Served
from function_router.net.pending_request import MAX_TRACE_STEPS


@pytest.fixture
def request_of_client():
    return pending_request(request_id=bytes.fromhex("9b1f03aa5c7e2d41"), function="f1")


@pytest.mark.parametrize(
    ("answer", "name"), [(Served(b""), "served"), (Rejected(5.0), "rejected"), (Failed(), "failed")]
)
def test_trace_of_a_request_without_attempts_says_never_sent(request_of_client, answer, name):
    line = request_of_client.format_trace(answer, duration_ms=12.4)

    assert line == f"9b1f03aa5c7e2d41 view of f1 {name} after 12 ms (timeout 8000 ms): never sent"


def test_trace_steps_have_the_time_since_admission(request_of_client):
    request_of_client.admitted_at_ms -= 1000.0

    request_of_client.add_trace_step("sent to 7")

    [step] = request_of_client.trace
    offset, text = step.split(" ", 1)
    assert int(offset) >= 1000
    assert text == "sent to 7"


def test_trace_drops_steps_beyond_its_limit(request_of_client):
    for number in range(MAX_TRACE_STEPS + 1):
        request_of_client.add_trace_step(f"step {number}")

    assert len(request_of_client.trace) == MAX_TRACE_STEPS
    assert request_of_client.trace[-1].endswith(f"step {MAX_TRACE_STEPS - 1}")
