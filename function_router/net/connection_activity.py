"""Tracking of how long a connection to a worker has been active, idle or silent."""

from function_router.net.clock import monotonic_ms
from function_router.net.connection import Connection

# Silence after which a connection with outstanding answers gets no new exchange.
UNRESPONSIVE_AFTER_MS = 1_000.0
# A connection that breaks within this time after it became active was stale: the exchange isn't the cause.
STALE_RESET_MS = 20.0


class ConnectionActivity:
    """Tracks the use of a connection, to tell whether the connection is idle, silent or stale.

    A connection is active while exchanges are in flight on it, and idle otherwise. Its silence lasts since
    the last bytes were received or since it last became active, whichever is later.

    Attributes:
        idle_before_use_ms: How long the connection had been idle when it last became active.
    """

    __slots__ = ("_active_since_ms", "_connection", "_last_removed_ms", "idle_before_use_ms")

    def __init__(self, connection: Connection) -> None:
        """Track a TCP connection that has not been used yet."""
        self.idle_before_use_ms = 0.0
        self._connection = connection
        self._active_since_ms = 0.0
        self._last_removed_ms = 0.0  # when an exchange that the worker may have received was last removed

    def on_active(self) -> None:
        """Record that the connection goes from idle to active."""
        self.idle_before_use_ms = self.idle_ms()
        self._active_since_ms = monotonic_ms()

    def on_exchange_removed(self) -> None:
        """Record the removal, without an answer, of an exchange that the worker may have received."""
        self._last_removed_ms = monotonic_ms()

    def idle_ms(self) -> float:
        """Return how long the connection has been idle; valid only while the connection is idle."""
        return monotonic_ms() - self._connection.last_used_ms

    def is_silent(self) -> bool:
        """Return whether the connection has been silent for too long; valid only while it is active."""
        return monotonic_ms() - self._silent_since_ms() > UNRESPONSIVE_AFTER_MS

    def was_silent_until_removal(self) -> bool:
        """Return whether the connection was silent for too long at the last removal of an exchange.

        Bytes that were received after the removal end the silence, so that the result is False.
        """
        return self._last_removed_ms - self._silent_since_ms() > UNRESPONSIVE_AFTER_MS

    def is_newly_active(self) -> bool:
        """Return whether the connection became active so recently that a close now shows it was stale."""
        return monotonic_ms() - self._active_since_ms < STALE_RESET_MS

    def _silent_since_ms(self) -> float:
        return max(self._connection.last_received_ms, self._active_since_ms)
