"""Tests of `pending_requests`: limits, ids, and the requests that have finished recently."""

from unittest import mock

import pytest
from helpers.pending_requests import pending_request

from function_router.net import pending_requests
from function_router.net.memory_budget import MemoryAccount, MemoryOwner, MemoryShare
from function_router.net.pending_requests import PendingRequests, RecentlyFinishedRequests, RejectReason


@pytest.fixture
def requests():
    return PendingRequests(max_requests=2)


def test_number_of_requests_is_limited(requests):
    reasons = []
    for key in ("r1", "r2"):
        reasons.append(requests.reason_to_reject(pending_request(key).client_request))
        requests.add(pending_request(key))

    assert reasons == [None, None]
    assert requests.reason_to_reject(pending_request("r3").client_request) is RejectReason.TABLE_FULL


def test_memory_of_pending_requests_is_limited(requests):
    share = MemoryShare(MemoryOwner.REQUESTS, 100_000, max_holders=1)
    client = MemoryAccount(share)
    first = pending_request("r1", body=b"x" * 20_000, memory=client)
    second = pending_request("r2", body=b"x" * 20_000, memory=client)
    reasons = [requests.reason_to_reject(second.client_request)]

    requests.add(first)
    reasons.append(requests.reason_to_reject(second.client_request))
    requests.remove("r1")
    reasons.append(requests.reason_to_reject(second.client_request))

    assert reasons == [None, RejectReason.MEMORY_FULL, None]


def test_request_is_found_by_its_client_request_id_until_it_is_removed(requests):
    request = pending_request("r1", request_id=b"abcdefgh")
    requests.add(request)

    assert requests.find_by_client_request_id(b"abcdefgh") is request
    assert requests.find_by_client_request_id(b"12345678") is None

    assert requests.remove("r1") is request
    assert requests.remove("r1") is None
    assert requests.find_by_client_request_id(b"abcdefgh") is None


def test_trace_step_goes_to_the_requests_for_its_function_only(requests):
    concerned = pending_request("r1", function="f")
    other = pending_request("r2", function="g", request_id=b"abcdefgh")
    requests.add(concerned)
    requests.add(other)

    requests.add_trace_step("f", "ensure 1 instances at 7")

    assert [step.split(" ", 1)[1] for step in concerned.trace] == ["ensure 1 instances at 7"]
    assert other.trace == []


def test_trace_step_goes_to_a_limited_number_of_requests_and_the_oldest_first():
    requests = PendingRequests(max_requests=3)
    pending = [pending_request(f"r{number}", request_id=b"abcdefg%d" % number) for number in range(3)]
    for request in pending:
        requests.add(request)
    requests.remove("r0")

    with mock.patch.object(pending_requests, "MAX_TRACED_REQUESTS", 1):
        requests.add_trace_step(pending[0].invocation.function, "ensure 1 instances at 7")

    assert [len(request.trace) for request in pending] == [0, 1, 0]


def test_finished_request_is_known_in_the_batch_it_finished_in_and_the_one_after():
    finished = RecentlyFinishedRequests()
    request = pending_request("r1")
    finished.begin_batch()
    finished.add(request)

    found = [finished.get("r1")]
    for _ in range(2):
        finished.begin_batch()
        found.append(finished.get("r1"))

    assert found == [request, request, None]
