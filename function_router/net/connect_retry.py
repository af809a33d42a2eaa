"""Retries of connects that fail for a local reason, which says nothing about the worker."""

from collections.abc import Callable

from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.timer_wheel import Timer, TimerWheel

# Interval between retries. File descriptors, ports or memory may be available again by then.
RETRY_INTERVAL_MS = 20.0
# Maximum duration of retries. The queued exchanges are then reported as not sent, so that the decision module
# may send them to other workers.
MAX_RETRY_DURATION_MS = 200.0

_LOCAL_FAILURES = (
    CloseReason.LOCAL_FAILURE,
    CloseReason.NO_FILE_DESCRIPTOR,
    CloseReason.CONNECTION_LIMIT,
)


class ConnectRetry:
    """Decides whether a failed connect to one worker is retried, and schedules the retry."""

    __slots__ = ("_failing_since_ms", "_timer", "_timers")

    def __init__(self, timers: TimerWheel) -> None:
        """Create the state of a worker to which no connect has failed; `timers` schedules the retries."""
        self._timers = timers
        self._failing_since_ms: float | None = None  # since when all connects have failed for local reasons
        self._timer: Timer | None = None

    @property
    def is_scheduled(self) -> bool:
        """Whether a retry is scheduled; other connects wait for it."""
        return self._timer is not None

    def schedule_after(self, reason: CloseReason, on_retry: Callable[[], None]) -> bool:
        """Schedule a retry after a failed connect, unless a retry is scheduled already.

        Args:
            reason: Why the connect failed.
            on_retry: Called when it is time to connect again.

        Returns:
            Whether there will be a retry. There is none if the cause isn't on this machine, or if connects
            have failed for too long.
        """
        if reason not in _LOCAL_FAILURES:
            return False
        now_ms = monotonic_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        elif now_ms - self._failing_since_ms >= MAX_RETRY_DURATION_MS:
            self._failing_since_ms = None
            return False
        if self._timer is None:
            self._timer = self._timers.call_later(RETRY_INTERVAL_MS, lambda: self._on_timer(on_retry))
        return True

    def on_connected(self) -> None:
        """Reset the time limit of retries, as a connection was established."""
        self._failing_since_ms = None

    def _on_timer(self, on_retry: Callable[[], None]) -> None:
        self._timer = None
        on_retry()
