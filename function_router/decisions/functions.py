"""The table of functions."""

from collections import OrderedDict

from function_router.decisions.events import RequestArrived
from function_router.decisions.records import Function, Worker
from function_router.decisions.settings import Settings
from function_router.hashing import hash64

# Memory of a function's record with its pools at a few workers, and of its entry in the order of each worker.
FUNCTION_BYTES = 4_096
ORDER_ENTRY_BYTES = 8

# How long a function without requests is kept.
IDLE_FUNCTION_TTL_MS = 60_000.0

# Fraction of the table that is left to functions which no worker has served yet. Those above it are evicted
# before functions that were served.
MIN_PROBATIONARY_FRACTION = 0.25

# Maximum number of functions that are examined to evict one. Those among them that are in use are examined
# again after all others.
MAX_EXAMINED = 16


class FunctionTable:
    """Owns the function records and their instance pools, of which there are never more than the maximum.

    The table is a segmented least recently used cache (Karedla, Love and Wherry, "Caching strategies to
    improve disk system performance", IEEE Computer 27(3), 1994): a function is protected once a worker has
    served it, so that requests for ever new functions evict only each other.

    Attributes:
        by_name: The functions by name.
    """

    def __init__(self, settings: Settings) -> None:
        self.by_name: dict[str, Function] = {}
        self._settings = settings
        self._max_functions = settings.max_functions
        self._rejected_count = 0
        # The functions of both segments, with those whose last requests are oldest first.
        self._probationary: OrderedDict[str, Function] = OrderedDict()
        self._protected: OrderedDict[str, Function] = OrderedDict()

    def describe(self) -> str:
        """Return how full the table is, and how many requests it has rejected since the last call."""
        rejected_count = self._rejected_count
        self._rejected_count = 0
        rejected = f", {rejected_count} requests rejected" if rejected_count else ""
        return f"functions {len(self.by_name)} of {self._max_functions}{rejected}"

    def set_worker_count(self, worker_count: int) -> None:
        """Adapt the maximum to the number of workers, whose order is kept for each function."""
        settings = self._settings
        if settings.functions_bytes:
            function_bytes = FUNCTION_BYTES + ORDER_ENTRY_BYTES * worker_count
            self._max_functions = min(settings.max_functions, settings.functions_bytes // function_bytes)

    def find_or_add(self, event: RequestArrived) -> Function | None:
        """Return the function of a request, added if missing, and updated by the request's properties.

        The result is None if the table is full and no function can be evicted.
        """
        function = self.by_name.get(event.function)
        if function is None:
            if not self._make_room():
                self._rejected_count += 1
                return None
            function = self._add(event)
        self._touch(function)
        function.class_name = event.class_name
        function.concurrency = max(1, event.concurrency)
        function.hinted_start_ms = event.expected_start_ms or function.hinted_start_ms
        return function

    def _add(self, event: RequestArrived) -> Function:
        name = event.function
        function = Function(name, event.class_name, event.concurrency, None, hash64(name))
        self.by_name[name] = function
        self._probationary[name] = function
        return function

    def _touch(self, function: Function) -> None:
        """Record that the function's last request is the newest one."""
        segment = self._protected if function.name in self._protected else self._probationary
        segment.move_to_end(function.name)

    def _protect(self, function: Function) -> None:
        """Move a function that was served to the protected segment."""
        self._protected[function.name] = self._probationary.pop(function.name)

    def _make_room(self) -> bool:
        """Return whether a function may be added, after evicting others if the table is full."""
        in_use_count = 0
        while len(self.by_name) >= self._max_functions:
            if in_use_count == MAX_EXAMINED:
                return False
            segment = self._segment_to_evict_from()
            function = next(iter(segment.values()))
            if function.was_served and segment is self._probationary:
                self._protect(function)
            elif _is_in_use(function):
                in_use_count += 1
                segment.move_to_end(function.name)
            else:
                self._evict(function)
        return True

    def _segment_to_evict_from(self) -> OrderedDict[str, Function]:
        """Return the segment whose oldest function is evicted first; the table must not be empty."""
        min_probationary = MIN_PROBATIONARY_FRACTION * self._max_functions
        is_small = self._protected and len(self._probationary) <= min_probationary
        return self._protected if is_small else self._probationary

    def _evict(self, function: Function) -> None:
        del self.by_name[function.name]
        self._probationary.pop(function.name, None)
        self._protected.pop(function.name, None)

    def evict_idle(self, now_ms: float) -> None:
        """Evict functions without recent requests, unless they are in use."""
        expired_ms = now_ms - IDLE_FUNCTION_TTL_MS
        for function in list(self.by_name.values()):
            if function.arrivals.last_ms < expired_ms and not _is_in_use(function):
                self._evict(function)

    def remove_worker(self, worker: Worker) -> None:
        """Drop all pools at a worker whose record is evicted."""
        for function in self.by_name.values():
            function.pools.pop(worker.id, None)
            function.workers_with_pool = None


def _is_in_use(function: Function) -> bool:
    """Return whether a function has queued requests, attempts in flight or pending start orders.

    Pending probes don't count: if their function is evicted, their answers only show that the worker replies.
    """
    return bool(function.queue) or any(
        pool.in_flight or pool.start_ordered_ms is not None for pool in function.pools.values()
    )
