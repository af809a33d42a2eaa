"""Tests of `timed_requests`: which requests are taken at a time."""

from typing import NamedTuple

from function_router.decisions.timed_requests import MAX_OBSOLETE_ENTRIES, TimedRequests


class FakeRequest(NamedTuple):
    """A request, of which only the number matters."""

    number: int


def test_requests_are_taken_once_their_time_has_come_the_earliest_first():
    requests = TimedRequests(is_current=lambda _request: True)
    for number, time_ms in enumerate((30.0, 10.0, 20.0, 20.0)):
        requests.add(time_ms, FakeRequest(number))

    taken = [requests.take_until(time_ms) for time_ms in (9.0, 20.0, 20.0, 100.0)]

    assert [[request.number for request in each] for each in taken] == [[], [1, 2, 3], [], [0]]


def test_cleared_queue_has_no_requests():
    requests = TimedRequests(is_current=lambda _request: True)
    requests.add(10.0, FakeRequest(1))

    requests.clear()

    assert requests.take_until(10.0) == []


def test_obsolete_entries_are_not_returned_and_are_removed_before_their_time():
    current = {7, 500, 999}
    requests = TimedRequests(is_current=lambda request: request.number in current)
    for number in range(1000):
        requests.add(1000.0 - number, FakeRequest(number))
        if number not in current:
            requests.on_obsolete()
    length = len(requests)

    taken = requests.take_until(2000.0)

    assert length <= 2 * MAX_OBSOLETE_ENTRIES
    assert [request.number for request in taken] == [999, 500, 7]
