"""The limit on a router's connections to all workers together."""

from collections.abc import Callable

from function_router.net.close_reason import CloseReason
from function_router.net.memory_budget import MemoryShare
from function_router.net.worker_connection import WorkerConnection

# Share of the budget within which spare connections are opened. The rest is reserved for exchanges for which
# no connection is available.
SPARE_CONNECTION_SHARE = 0.7


class ConnectionBudget:
    """Counts the connections to all workers, and closes idle ones if the budget is used up.

    Attributes:
        connection_count: The number of connections that are open or being established.
    """

    __slots__ = ("_all_connections", "_max_connections", "connection_count")

    def __init__(self, max_connections: int, all_connections: Callable[[], list[WorkerConnection]]) -> None:
        """Allow `max_connections` connections; `all_connections` returns the existing ones."""
        self.connection_count = 0
        self._max_connections = max_connections
        self._all_connections = all_connections

    def on_opened(self) -> None:
        """Count a connection that was opened."""
        self.connection_count += 1

    def on_closed(self) -> None:
        """Count a connection that was closed."""
        self.connection_count -= 1

    def allows_spare_connection(self) -> bool:
        """Return whether a spare connection, which no exchange needs yet, may be opened."""
        return self.connection_count < SPARE_CONNECTION_SHARE * self._max_connections

    def ensure_capacity(self) -> bool:
        """Ensure that one more connection may be opened, and return whether that succeeded.

        If the budget is used up, the connection that has been idle for longest is closed. If idle
        connections stayed open and there were more workers than connections, the workers that get exchanges
        first would keep all of them.
        """
        if self.connection_count < self._max_connections:
            return True
        idle = [
            connection
            for connection in self._all_connections()
            if connection.is_connected and not connection.exchanges
        ]
        longest_idle = max(idle, key=lambda connection: connection.idle_ms(), default=None)
        if longest_idle is None:
            return False
        longest_idle.close(CloseReason.IDLE)
        return True

    def close_heaviest_until_in_share(self, share: MemoryShare) -> None:
        """Close the connections with the largest incomplete answers until those are within their share."""
        heaviest_first = sorted(
            self._all_connections(), key=lambda connection: -connection.input_memory.used_bytes
        )
        for connection in heaviest_first:
            if not share.is_exceeded:
                return
            connection.close(CloseReason.MEMORY_FULL)
