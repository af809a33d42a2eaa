"""Tests of `timed_requests`: which requests are taken at a time."""

from typing import NamedTuple

from function_router.decisions.timed_requests import TimedRequests


class FakeRequest(NamedTuple):
    """A request, of which only the number matters."""

    number: int


def test_requests_are_taken_once_their_time_has_come_the_earliest_first():
    requests = TimedRequests()
    for number, time_ms in enumerate((30.0, 10.0, 20.0, 20.0)):
        requests.add(time_ms, FakeRequest(number))

    taken = [requests.take_until(time_ms) for time_ms in (9.0, 20.0, 20.0, 100.0)]

    assert [[request.number for request in each] for each in taken] == [[], [1, 2, 3], [], [0]]


def test_cleared_queue_has_no_requests():
    requests = TimedRequests()
    requests.add(10.0, FakeRequest(1))

    requests.clear()

    assert requests.take_until(10.0) == []
