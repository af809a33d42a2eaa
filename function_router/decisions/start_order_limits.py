"""Limits on start orders: the number of pending ones, and their rate."""

from msgspec import Struct

from function_router.decisions.arrivals import MAX_START_ORDER_DELAY_MS, Arrivals
from function_router.decisions.records import Function, Worker
from function_router.decisions.settings import Settings
from function_router.limits import AdaptiveLimit
from function_router.statistics import SlidingWindow

# Initial, minimum and maximum value of the limit on pending start orders. Workers load functions from a
# shared store, which slows down when many instances start at the same time.
INITIAL_PENDING_ORDERS = 8.0
MIN_PENDING_ORDERS = 2.0
MAX_PENDING_ORDERS = 24.0

# Fraction by which a slow or failed start lowers the limit.
PENDING_ORDERS_DECREASE = 0.2


# A start that takes at least this multiple of the usual time lowers the limit on pending start orders. If no
# request waits for it any more, it does not count as pending from then on.
LONG_START_FACTOR = 2.5


class PendingOrder(Struct, frozen=True):
    """A start order whose end the worker has not reported yet."""

    function: Function
    overdue_ms: float  # when it has taken much longer than usual


class StartOrderLimits:
    """Counts the pending start orders, and those within the window of the rate limit."""

    def __init__(self, settings: Settings, arrivals: Arrivals) -> None:
        self._settings = settings
        self._arrivals = arrivals
        self._pending: dict[tuple[str, int], PendingOrder] = {}  # by function and worker id
        self.pending_limit = AdaptiveLimit(
            value=INITIAL_PENDING_ORDERS,
            minimum=MIN_PENDING_ORDERS,
            maximum=MAX_PENDING_ORDERS,
            decrease=PENDING_ORDERS_DECREASE,
        )
        # The time at which each start order counts: its decision, or its send if that was late.
        self.counted = SlidingWindow()

    def allows_order(self, now_ms: float) -> bool:
        """Return whether one more start order may be sent now."""
        has_room = len(self._pending) < self.pending_limit.value
        return has_room and self._settings.can_order_starts and not self._is_rate_limited(now_ms)

    def _is_rate_limited(self, now_ms: float) -> bool:
        """Return whether one more start order, sent now, would exceed the rate limit."""
        settings = self._settings
        window_ms = settings.start_order_window_ms
        # An order counts from its decision, but may be sent up to `MAX_START_ORDER_DELAY_MS` later, so it is
        # kept for that much longer, and for one tick more.
        self.counted.remove_before(now_ms - window_ms - settings.tick_ms - MAX_START_ORDER_DELAY_MS)
        self._arrivals.drop_old(now_ms)
        requests = len(self._arrivals.recent)
        allowed = settings.start_order_burst + settings.start_orders_per_request * requests
        return window_ms > 0 and len(self.counted) + 1 > allowed

    def record_order(self, function: Function, worker: Worker, usual_start_ms: float, now_ms: float) -> None:
        """Count a start order that is sent now; a start of the function usually takes `usual_start_ms`."""
        overdue_ms = now_ms + LONG_START_FACTOR * usual_start_ms
        self._pending[function.name, worker.id] = PendingOrder(function, overdue_ms)
        self.counted.add(now_ms)

    def record_end(self, function: Function, worker: Worker) -> None:
        """Count a start order as no longer pending."""
        self._pending.pop((function.name, worker.id), None)

    def release_abandoned(self, now_ms: float) -> None:
        """Count the overdue orders for which no request waits as no longer pending.

        Their workers may never report their end. The rate limit still counts them.
        """
        abandoned = [
            key
            for key, order in self._pending.items()
            if now_ms >= order.overdue_ms and not order.function.queue
        ]
        for key in abandoned:
            del self._pending[key]

    def revalidate(self, counted_ms: float, now_ms: float) -> float | None:
        """Check an order again if it is sent long after its decision; see `Router.revalidate_start_order`."""
        if now_ms - counted_ms <= MAX_START_ORDER_DELAY_MS:
            return counted_ms
        self.counted.discard(counted_ms)
        if self._is_rate_limited(now_ms):
            return None
        self.counted.add(now_ms)
        return now_ms
