"""Retries of connects that fail on this machine, which says nothing about the worker."""

from collections.abc import Callable

from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.timer_wheel import Timer, TimerWheel

# Between retries: descriptors, ports or memory that this machine lacked may be free again by then.
RETRY_INTERVAL_MS = 20.0
# After this time the queued exchanges are reported as not sent: the decisions may send them elsewhere.
MAX_RETRY_MS = 200.0

_LOCAL_FAILURES = (
    CloseReason.LOCAL_FAILURE,
    CloseReason.NO_FILE_DESCRIPTOR,
    CloseReason.CONNECTION_LIMIT,
)


class ConnectRetry:
    """Decides whether a failed connect to one worker is retried, and has a timer for the next time."""

    __slots__ = ("_failing_since_ms", "_timer", "_timers")

    def __init__(self, timers: TimerWheel) -> None:
        """No connect has failed yet."""
        self._timers = timers
        self._failing_since_ms: float | None = None  # connects have failed on this machine since then
        self._timer: Timer | None = None

    @property
    def is_scheduled(self) -> bool:
        """Whether connects are to wait for the next retry."""
        return self._timer is not None

    def schedule_after(self, reason: CloseReason, on_retry: Callable[[], None]) -> bool:
        """Schedule a retry after a failed connect, unless one is scheduled.

        Args:
            reason: Why the connect failed.
            on_retry: Called when it is time to connect again.

        Returns:
            False if there will be no retry: the cause isn't on this machine, or connects have failed for too
            long.
        """
        if reason not in _LOCAL_FAILURES:
            return False
        now_ms = monotonic_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        elif now_ms - self._failing_since_ms >= MAX_RETRY_MS:
            self._failing_since_ms = None
            return False
        if self._timer is None:
            self._timer = self._timers.call_later(RETRY_INTERVAL_MS, lambda: self._on_timer(on_retry))
        return True

    def on_connected(self) -> None:
        """A connection was established: the next failure is the first one again."""
        self._failing_since_ms = None

    def _on_timer(self, on_retry: Callable[[], None]) -> None:
        self._timer = None
        on_retry()
