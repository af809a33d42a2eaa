"""The ids of requests that may have run and must not run again.

A client gives each request a new id, including its own retries. If an id comes again nevertheless, for
example on a new connection after its client has closed the first one, the router can't tell a repeat from a
new request, and a worker may still run the first one.
"""

from msgspec import Struct

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import DeduplicationScope, RetrySafety
from function_router.net.memory_budget import MemoryShare
from function_router.net.send_checks import IDEMPOTENCY_WINDOW_MARGIN_MS

# How long a run is remembered, far longer than the longest timeout of a client.
KEPT_MS = 60_000.0
# Memory of an id.
ENTRY_BYTES = 200


class PastRun(Struct, frozen=True):
    """A request that may have run, at a time on the monotonic clock or later."""

    first_run_ms: float
    request_class: RequestClass


class PastRuns:
    """Remembers when requests may first have run, as long as the share of the memory allows."""

    __slots__ = ("_runs", "_share")

    def __init__(self, share: MemoryShare) -> None:
        """Start without runs; they are counted in a share of the memory budget."""
        self._runs: dict[bytes, PastRun] = {}  # by request id, in the order in which they were recorded
        self._share = share

    def record(
        self, request_id: bytes, request_class: RequestClass | None, first_run_ms: float, now_ms: float
    ) -> None:
        """Remember a request that may have run, unless its class allows any repeat."""
        self._forget_old(now_ms)
        if request_class is None or request_class.retry_safety is RetrySafety.IDEMPOTENT:
            return
        if request_id not in self._runs:
            self._runs[request_id] = PastRun(first_run_ms, request_class)
            self._share.add(ENTRY_BYTES, 0)
        while self._share.is_exceeded:
            self._forget_oldest()

    def allows_repeat(self, request_id: bytes, request_class: RequestClass | None, now_ms: float) -> bool:
        """Return whether a request may be sent: none with its id has run, or all workers recognize it."""
        run = self._runs.get(request_id)
        if run is None or now_ms - run.first_run_ms > KEPT_MS:
            return True
        is_same_class = run.request_class == request_class
        has_key = run.request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        is_shared_by_all = run.request_class.deduplication_scope is DeduplicationScope.ALL
        window_ms = run.request_class.idempotency_window_ms - IDEMPOTENCY_WINDOW_MARGIN_MS
        return is_same_class and has_key and is_shared_by_all and now_ms - run.first_run_ms < window_ms

    def _forget_old(self, now_ms: float) -> None:
        while self._runs and now_ms - next(iter(self._runs.values())).first_run_ms > KEPT_MS:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        del self._runs[next(iter(self._runs))]
        self._share.add(-ENTRY_BYTES, 0)
