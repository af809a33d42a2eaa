"""Tests of `request_queue`: its order, checked against a plain sort, and what is removed from it."""

import random

import pytest
from msgspec import Struct

from function_router.decisions.request_queue import RequestQueue, arrival_order, iterate_in_arrival_order
from function_router.decisions.settings import RequestClass

CLASSES = [
    RequestClass("short", latency_objective_ms=300.0),
    RequestClass("long", latency_objective_ms=900.0),
]
REQUEST_COUNT = 200


class FakeRequest(Struct, eq=False):
    """A request with the properties that its place in the queue depends on."""

    id: str
    number: int
    request_class: RequestClass
    arrived_ms: float
    over_quota: bool
    queued_ms: float


@pytest.fixture
def requests():
    """Requests of two classes, some of them over quota, in no order; several arrive at the same time."""
    draw = random.Random(1)
    return [
        FakeRequest(
            id=f"r{number}",
            number=number,
            request_class=draw.choice(CLASSES),
            arrived_ms=float(draw.randrange(50)),
            over_quota=draw.random() < 0.3,
            queued_ms=float(number),
        )
        for number in range(REQUEST_COUNT)
    ]


@pytest.fixture
def queue(requests):
    queue = RequestQueue()
    for request in requests:
        queue.add(request, overdue_at_ms=request.arrived_ms + 100.0)
    return queue


def whole(group):
    """Return the part of a group that has all of its requests."""
    return group, 0, len(group.requests)


def in_arrival_order(queue, *, over_quota):
    return iterate_in_arrival_order([whole(group) for group in queue.groups(over_quota=over_quota)])


@pytest.mark.parametrize("over_quota", [False, True])
def test_groups_together_have_the_order_of_a_plain_sort(queue, requests, over_quota):
    expected = sorted(
        (request for request in requests if request.over_quota is over_quota), key=arrival_order
    )

    assert list(in_arrival_order(queue, over_quota=over_quota)) == expected


def test_request_may_be_removed_while_it_is_the_last_that_was_returned(queue, requests):
    draw = random.Random(2)
    expected = sorted((request for request in requests if not request.over_quota), key=arrival_order)
    removed = []
    seen = []

    for request in in_arrival_order(queue, over_quota=False):
        seen.append(request)
        if draw.random() < 0.5:
            queue.remove(request)
            removed.append(request)

    assert seen == expected
    assert len(queue) == REQUEST_COUNT - len(removed)
    assert not any(request in queue for request in removed)


def test_queue_iterates_in_the_order_in_which_requests_were_queued(queue, requests):
    first = requests[0]

    queue.remove(first)
    first.queued_ms = 500.0
    queue.add(first, overdue_at_ms=0.0)

    assert list(queue) == [*requests[1:], first]
    assert queue.first_queued_ms == requests[1].queued_ms


def test_empty_queue_has_neither_groups_nor_a_first_request(queue, requests):
    for request in requests:
        queue.remove(request)

    assert (len(queue), queue.groups(), queue.first_queued_ms) == (0, [], None)


def overdue_requests(queue, now_ms):
    """Return the overdue requests of all groups."""
    return [request for group in queue.groups() for request in group.overdue(now_ms)]


def test_request_within_the_quota_is_overdue_from_its_time_on_until_it_is_removed(queue, requests):
    removed = next(request for request in requests if request.arrived_ms <= 20.0 and not request.over_quota)
    queue.remove(removed)

    overdue = overdue_requests(queue, now_ms=120.0)

    expected = {request.id for request in requests if request.over_quota or request.arrived_ms <= 20.0} - {
        removed.id
    }
    assert {request.id for request in overdue} == expected
    queue.remove(overdue[0])
    assert {request.id for request in overdue_requests(queue, 120.0)} == expected - {overdue[0].id}


def test_overdue_requests_of_a_group_are_in_order_of_arrival(queue):
    for now_ms in (110.0, 130.0, 200.0):
        for group in queue.groups():
            overdue = group.overdue(now_ms)
            assert overdue == sorted(overdue, key=arrival_order)


def test_request_that_was_queued_again_is_overdue_once(queue, requests):
    request = next(request for request in requests if not request.over_quota)
    queue.remove(request)
    queue.add(request, overdue_at_ms=request.arrived_ms + 100.0)

    overdue = overdue_requests(queue, now_ms=1000.0)

    assert overdue.count(request) == 1


def test_rescheduled_requests_become_overdue_at_their_new_times(queue, requests):
    overdue_requests(queue, now_ms=1000.0)

    queue.reschedule(lambda request: request.arrived_ms + 2000.0)

    overdue = {request.id for request in overdue_requests(queue, now_ms=2010.0)}
    assert overdue == {request.id for request in requests if request.over_quota or request.arrived_ms <= 10.0}
