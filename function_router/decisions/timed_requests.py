"""Requests ordered by the time at which something about them has to be checked."""

import heapq
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

# Number of obsolete entries up to which they are not removed before their time.
MAX_OBSOLETE_ENTRIES = 64


class NumberedRequest(Protocol):
    """A request with a number that no other request of the router has."""

    number: int


RequestT = TypeVar("RequestT", bound=NumberedRequest)


class TimedRequests(Generic[RequestT]):
    """A priority queue of requests by time, in which adding or taking one costs in the order of log n.

    The entry of a request that need not be checked any more is obsolete. Obsolete entries are removed
    together once there are more of them than of the others, so that removing one costs little on average.
    """

    __slots__ = ("_heap", "_is_current", "_obsolete_count")

    def __init__(self, is_current: Callable[[RequestT], bool]) -> None:
        """Create an empty queue; `is_current` returns whether a request still has to be checked."""
        self._heap: list[tuple[float, int, RequestT]] = []  # the number decides between equal times
        self._is_current = is_current
        self._obsolete_count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, time_ms: float, request: RequestT) -> None:
        """Add a request that has to be checked at a time."""
        heapq.heappush(self._heap, (time_ms, request.number, request))

    def on_obsolete(self) -> None:
        """Count an entry whose request need not be checked any more; remove such entries if they are many."""
        self._obsolete_count += 1
        if self._obsolete_count > max(MAX_OBSOLETE_ENTRIES, len(self._heap) // 2):
            self._heap = [entry for entry in self._heap if self._is_current(entry[2])]
            heapq.heapify(self._heap)
            self._obsolete_count = 0

    def take_until(self, time_ms: float) -> list[RequestT]:
        """Remove the entries whose time has come; return the requests to be checked, the earliest first."""
        taken = []
        while self._heap and self._heap[0][0] <= time_ms:
            request = heapq.heappop(self._heap)[2]
            if self._is_current(request):
                taken.append(request)
            else:
                self._obsolete_count = max(0, self._obsolete_count - 1)
        return taken

    def clear(self) -> None:
        """Drop all requests."""
        self._heap.clear()
        self._obsolete_count = 0
