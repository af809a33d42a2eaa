"""Since when a connection to a worker has been in use, idle or silent."""

from function_router.net.clock import monotonic_ms
from function_router.net.connection import Connection

# A connection on which answers are outstanding and nothing was received for this long gets no new exchange.
UNRESPONSIVE_AFTER_MS = 1_000.0
# A connection that breaks so soon after it was used again was stale; it isn't the exchange that broke it.
STALE_RESET_MS = 20.0


class ConnectionActivity:
    """When a connection was last used and for what, by which it is known to be idle, silent or stale.

    It is in use while exchanges are in flight on it, and idle otherwise. It has been silent since it was last
    received on or went from idle to in use.

    Attributes:
        idle_before_use_ms: For how long it had been idle when it was last used again.
    """

    __slots__ = ("_active_since_ms", "_connection", "_last_removed_ms", "idle_before_use_ms")

    def __init__(self, connection: Connection) -> None:
        """Observe a TCP connection that was not used yet."""
        self.idle_before_use_ms = 0.0
        self._connection = connection
        self._active_since_ms = 0.0
        self._last_removed_ms = 0.0  # when an exchange that the worker may have received was last removed

    def on_active(self) -> None:
        """It goes from idle to in use."""
        self.idle_before_use_ms = self.idle_ms()
        self._active_since_ms = monotonic_ms()

    def on_exchange_removed(self) -> None:
        """An exchange that the worker may have received was removed without an answer."""
        self._last_removed_ms = monotonic_ms()

    def idle_ms(self) -> float:
        """For how long it has been idle, if it is."""
        return monotonic_ms() - self._connection.last_used_ms

    def is_silent(self) -> bool:
        """Whether it has been silent for too long, if it is in use."""
        return monotonic_ms() - self._silent_since_ms() > UNRESPONSIVE_AFTER_MS

    def was_silent_until_removal(self) -> bool:
        """Whether it had been silent for too long when an exchange was last removed, and is silent still."""
        return self._last_removed_ms - self._silent_since_ms() > UNRESPONSIVE_AFTER_MS

    def is_newly_active(self) -> bool:
        """Whether it went from idle to in use so recently that a close now shows that it was stale."""
        return monotonic_ms() - self._active_since_ms < STALE_RESET_MS

    def _silent_since_ms(self) -> float:
        return max(self._connection.last_received_ms, self._active_since_ms)
