"""The table of functions."""

from collections.abc import Iterable

from function_router.decisions.events import RequestArrived
from function_router.decisions.records import Function, Worker
from function_router.hashing import hash64

# Maximum number of functions, which bounds the memory. When it is reached, the functions whose last requests
# are oldest are evicted, up to half of the maximum.
MAX_FUNCTIONS = 2_000

# How long a function without requests is kept.
IDLE_FUNCTION_TTL_MS = 60_000.0


class FunctionTable:
    """Owns the function records and their instance pools."""

    def __init__(self) -> None:
        self.by_name: dict[str, Function] = {}

    def describe(self) -> str:
        """Return how full the table is, for the log."""
        return f"functions {len(self.by_name)} of {MAX_FUNCTIONS}"

    def is_full(self) -> bool:
        """Return whether other functions must be evicted before one is added."""
        return len(self.by_name) >= MAX_FUNCTIONS

    def get_or_add(self, event: RequestArrived) -> Function:
        """Return the function of a request, added if missing, and updated by the request's properties."""
        function = self.by_name.get(event.function)
        if function is None:
            function = Function(
                event.function, event.class_name, event.concurrency, None, hash64(event.function)
            )
            self.by_name[function.name] = function
        function.class_name = event.class_name
        function.concurrency = max(1, event.concurrency)
        function.hinted_start_ms = event.expected_start_ms or function.hinted_start_ms
        return function

    def evict_idle(self, workers: Iterable[Worker], now_ms: float) -> None:
        """Evict functions without recent requests.

        If the table is full, also evict the functions whose last requests are oldest, up to half of them.
        Functions with queued requests or pending work at a worker are always kept. The function last used at
        a worker is kept, too, because pings probe it.
        """
        in_use = {worker.last_function for worker in workers}
        expired_ms = now_ms - IDLE_FUNCTION_TTL_MS
        surplus = MAX_FUNCTIONS // 2 if self.is_full() else 0
        oldest_first = sorted(self.by_name.values(), key=lambda function: function.arrivals.last_ms)
        for index, function in enumerate(oldest_first):
            if function.queue or function in in_use or _has_pending_work(function):
                continue
            if index < surplus or function.arrivals.last_ms < expired_ms:
                del self.by_name[function.name]

    def remove_worker(self, worker: Worker) -> None:
        """Drop all pools at a worker whose record is evicted."""
        for function in self.by_name.values():
            function.pools.pop(worker.id, None)
            function.workers_with_pool = None


def _has_pending_work(function: Function) -> bool:
    """Return whether an attempt, a probe or a start order is pending at any worker."""
    return any(
        pool.in_flight or pool.pending_probes or pool.start_ordered_ms is not None
        for pool in function.pools.values()
    )
