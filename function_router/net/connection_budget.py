"""How many connections to workers a router may have, all workers together."""

from collections.abc import Callable

from function_router.net.close_reason import CloseReason
from function_router.net.worker_connection import WorkerConnection

# Spare connections are opened only within this share of the budget: the rest is kept for exchanges that find
# no connection.
SPARE_CONNECTION_SHARE = 0.7


class ConnectionBudget:
    """Counts the connections to all workers, and makes room for another one where it can.

    Attributes:
        connection_count: How many are open or being established.
    """

    __slots__ = ("_all_connections", "_max_connections", "connection_count")

    def __init__(self, max_connections: int, all_connections: Callable[[], list[WorkerConnection]]) -> None:
        """Allow `max_connections`; `all_connections` lists those that there are."""
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
        """Whether one more connection may be opened that nothing needs yet."""
        return self.connection_count < SPARE_CONNECTION_SHARE * self._max_connections

    def ensure_capacity(self) -> bool:
        """Make sure that one more connection may be opened; False if that is impossible.

        Where the budget is used up, the connection that has been idle for longest is closed. With more
        workers than connections, the workers that were sent to first would otherwise keep all of them.
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
