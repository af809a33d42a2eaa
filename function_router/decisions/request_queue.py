"""The queue of a function, whose requests are kept in the order in which they are served.

The order of two requests of the same group never changes while they are queued: a group has the requests with
the same latency objective that are all within the quota, or all over it. The earlier one of them also misses
its objective first. Those that will miss it are therefore the first requests of a group, and a binary search
finds their number. Nothing has to be sorted when the time or a median changes.
"""

import heapq
from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from typing import Generic, Protocol, TypeVar

from function_router.decisions.settings import RequestClass
from function_router.decisions.timed_requests import TimedRequests


class QueuedRequest(Protocol):
    """The properties of a request that its place in the queue depends on."""

    id: str
    number: int
    request_class: RequestClass
    arrived_ms: float
    over_quota: bool
    queued_ms: float


RequestT = TypeVar("RequestT", bound=QueuedRequest)


def arrival_order(request: QueuedRequest) -> tuple[float, str]:
    """Return the sort key of the requests of a group."""
    return request.arrived_ms, request.id


class QueueGroup(Generic[RequestT]):
    """The queued requests with one latency objective that are within the quota, or those over it.

    Attributes:
        over_quota: Whether the requests are over quota.
        objective_ms: Their latency objective.
        requests: The requests in order of arrival.
    """

    __slots__ = ("_overdue", "_waiting", "_waiting_by_id", "objective_ms", "over_quota", "requests")

    def __init__(self, objective_ms: float, *, over_quota: bool) -> None:
        self.over_quota = over_quota
        self.objective_ms = objective_ms
        self.requests: list[RequestT] = []
        self._overdue: list[RequestT] = []  # in order of arrival; not used if the requests are over quota
        # The requests that are not overdue yet, by id and by the time at which they will be. The latter
        # refers to the former and not to this group, which a reference cycle would keep until a collection.
        waiting_by_id: dict[str, RequestT] = {}
        self._waiting_by_id = waiting_by_id
        self._waiting: TimedRequests[RequestT] = TimedRequests(
            lambda request: waiting_by_id.get(request.id) is request
        )

    def add(self, request: RequestT, overdue_at_ms: float) -> None:
        """Add a request, which becomes overdue at a time."""
        insort(self.requests, request, key=arrival_order)
        if not self.over_quota:
            self._wait(request, overdue_at_ms)

    def remove(self, request: RequestT) -> None:
        """Remove a request."""
        _remove_from(self.requests, request)
        if not self.over_quota:
            if self._waiting_by_id.pop(request.id, None) is None:
                _remove_from(self._overdue, request)
            else:
                self._waiting.on_obsolete()
        if not self.requests:
            self._waiting.clear()

    def overdue(self, now_ms: float) -> list[RequestT]:
        """Return the requests that may be given up once they will miss their objective, by arrival.

        Those within the quota have waited for a part of their timeout, those over it need not.
        """
        if self.over_quota:
            return self.requests
        for request in self._waiting.take_until(now_ms):
            if self._waiting_by_id.pop(request.id, None) is not None:  # may have been queued twice
                insort(self._overdue, request, key=arrival_order)
        return self._overdue

    def reschedule(self, overdue_at_ms: Callable[[RequestT], float]) -> None:
        """Compute again when each request becomes overdue, after their deadlines have changed."""
        if self.over_quota:
            return
        self._overdue.clear()
        self._waiting.clear()
        for request in self.requests:
            self._wait(request, overdue_at_ms(request))

    def _wait(self, request: RequestT, overdue_at_ms: float) -> None:
        self._waiting.add(overdue_at_ms, request)
        self._waiting_by_id[request.id] = request


class RequestQueue(Generic[RequestT]):
    """The queued requests of a function.

    Adding and removing a request costs in the order of log n, apart from moving pointers within a list.
    """

    __slots__ = ("_by_id", "_groups")

    def __init__(self) -> None:
        self._by_id: OrderedDict[str, RequestT] = OrderedDict()  # the one that was queued first comes first
        self._groups: dict[tuple[bool, float], QueueGroup[RequestT]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request: RequestT) -> bool:
        return self._by_id.get(request.id) is request

    def __iter__(self) -> Iterator[RequestT]:
        """Iterate over the requests in the order in which they were queued."""
        return iter(self._by_id.values())

    @property
    def first_queued_ms(self) -> float | None:
        """When the request that was queued first was queued; None if the queue is empty."""
        return next(iter(self._by_id.values())).queued_ms if self._by_id else None

    def groups(self, *, over_quota: bool | None = None) -> list[QueueGroup[RequestT]]:
        """Return the groups that have requests: all of them, or those within or over the quota."""
        return [
            group
            for group in self._groups.values()
            if group.requests and (over_quota is None or group.over_quota is over_quota)
        ]

    def add(self, request: RequestT, overdue_at_ms: float) -> None:
        """Add a request, which becomes overdue at a time if it is within the quota."""
        key = (request.over_quota, request.request_class.latency_objective_ms)
        group = self._groups.get(key)
        if group is None:
            group = QueueGroup(key[1], over_quota=key[0])
            self._groups[key] = group
        group.add(request, overdue_at_ms)
        self._by_id[request.id] = request

    def reschedule(self, overdue_at_ms: Callable[[RequestT], float]) -> None:
        """Compute again when each request becomes overdue, after their deadlines have changed."""
        for group in self._groups.values():
            group.reschedule(overdue_at_ms)

    def remove(self, request: RequestT) -> None:
        """Remove a request, which must be in the queue."""
        del self._by_id[request.id]
        self._groups[request.over_quota, request.request_class.latency_objective_ms].remove(request)


def iterate_in_arrival_order(parts: Sequence[tuple[QueueGroup[RequestT], int, int]]) -> Iterator[RequestT]:
    """Iterate over parts of groups, each with the index of its first request and the index behind its last.

    The caller may remove the request that the iterator has returned last, and no other one.
    """
    if len(parts) == 1:
        return _iterate_part(*parts[0])
    return heapq.merge(*(_iterate_part(*part) for part in parts), key=arrival_order)


def _iterate_part(group: QueueGroup[RequestT], start: int, end: int) -> Iterator[RequestT]:
    index = start
    for _ in range(end - start):
        request = group.requests[index]
        yield request
        if index < len(group.requests) and group.requests[index] is request:
            index += 1


def _remove_from(requests: list[RequestT], request: RequestT) -> None:
    """Remove a request from a list in order of arrival."""
    index = bisect_left(requests, arrival_order(request), key=arrival_order)
    del requests[index]
