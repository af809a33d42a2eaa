"""Graceful shutdown: drains the router from SIGTERM until every admitted request is answered."""

from collections.abc import Callable, Iterable

from function_router.decisions.settings import RequestClass
from function_router.net.client_listener import ClientListener
from function_router.net.clock import monotonic_ms
from function_router.net.event_loop import EventLoop
from function_router.net.request_table import RequestTable

# Minimum duration of a drain. New connections and requests may arrive for 0.6 s after SIGTERM; the rest is
# a margin.
LATE_ARRIVALS_MS = 800.0
# Maximum duration of a drain, even with pending requests.
MAX_DRAIN_MS = 20_000.0
# Interval between checks of whether the drain is complete.
CHECK_INTERVAL_MS = 20.0

# SIGKILL may follow SIGTERM after a delay: the longest timeout of the request classes, limited to
# MAX_TIMEOUT_BEFORE_KILL_MS, plus KILL_GRACE_MS.
MAX_TIMEOUT_BEFORE_KILL_MS = 3_000.0
KILL_GRACE_MS = 700.0
# How long before the earliest SIGKILL the last answers are sent.
KILL_MARGIN_MS = 200.0


class Drain:
    """Reports the router as not ready, continues to serve, and stops the loop once all requests are answered.

    The drain also ends after MAX_DRAIN_MS.
    """

    def __init__(
        self,
        loop: EventLoop,
        listener: ClientListener,
        table: RequestTable,
        classes: Iterable[RequestClass],
        log: Callable[[str], None],
    ) -> None:
        """Prepare to drain; the timeouts of the request classes determine when SIGKILL may follow."""
        self._loop = loop
        self._listener = listener
        self._table = table
        self._log = log
        self._max_timeout_ms = max((spec.timeout_ms for spec in classes), default=0.0)
        self._is_started = False
        self._started_ms = 0.0  # monotonic; valid once started

    def start(self) -> None:
        """Start to drain; do nothing if the drain has started already."""
        if self._is_started:
            return
        self._log("draining before exit")
        self._is_started = True
        self._started_ms = monotonic_ms()
        self._listener.is_ready = False
        killed_after_ms = min(self._max_timeout_ms, MAX_TIMEOUT_BEFORE_KILL_MS) + KILL_GRACE_MS
        self._table.drain(killed_after_ms - KILL_MARGIN_MS)
        self._stop_if_complete()

    def _stop_if_complete(self) -> None:
        """Stop the loop if the drain is complete or has timed out; otherwise check again later."""
        drained_for_ms = monotonic_ms() - self._started_ms
        has_timed_out = drained_for_ms > MAX_DRAIN_MS
        if has_timed_out or (drained_for_ms > LATE_ARRIVALS_MS and not self._has_pending_work()):
            self._loop.stop()
        else:
            self._loop.timers.call_later(CHECK_INTERVAL_MS, self._stop_if_complete)

    def _has_pending_work(self) -> bool:
        """Return whether a request is pending or may be unread, or an answer is not written yet.

        Clients regard a request as accepted as soon as their connection is accepted, even if the router has
        not read the request yet.
        """
        listener = self._listener
        return bool(self._table.pending) or listener.has_unwritten_answers() or listener.has_unread_data()
