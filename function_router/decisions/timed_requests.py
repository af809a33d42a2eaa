"""Requests ordered by the time at which something about them has to be checked."""

import heapq
from typing import Generic, Protocol, TypeVar


class NumberedRequest(Protocol):
    """A request with a number that no other request of the router has."""

    number: int


RequestT = TypeVar("RequestT", bound=NumberedRequest)


class TimedRequests(Generic[RequestT]):
    """A priority queue of requests by time, in which adding or taking one costs in the order of log n.

    A request that is closed stays in it until its time, and the caller ignores it then.
    """

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, RequestT]] = []  # the number decides between equal times

    def add(self, time_ms: float, request: RequestT) -> None:
        """Add a request that has to be checked at a time."""
        heapq.heappush(self._heap, (time_ms, request.number, request))

    def take_until(self, time_ms: float) -> list[RequestT]:
        """Remove and return the requests whose time has come, the earliest first."""
        taken = []
        while self._heap and self._heap[0][0] <= time_ms:
            taken.append(heapq.heappop(self._heap)[2])
        return taken

    def clear(self) -> None:
        """Drop all requests."""
        self._heap.clear()
