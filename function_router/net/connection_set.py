"""The connections to one worker, which are opened within limits and chosen for each exchange."""

import contextlib
from collections.abc import Iterator

from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason, is_connection_loss
from function_router.net.pool_resources import PoolResources
from function_router.net.telemetry import WORKER_CONNECTIONS_CLOSED, WORKER_CONNECTS
from function_router.net.worker_connection import ConnectError, WorkerConnection, WorkerConnectionOwner
from function_router.net.worker_messages import Exchange, HealthCheck

# Maximum number of connections to one worker, not counting retired ones.
MAX_CONNECTIONS = 6
# Number of connections below which a spare one is opened while all are in use. Exchanges then rarely share a
# connection, which matters as a broken connection ends all exchanges on it.
CONNECTIONS_BEFORE_SHARING = 4


class ConnectionSet:
    """Opens and owns the connections to one worker, and chooses among them.

    A connection to an earlier process of the worker is retired: it stays open until its exchanges are
    finished, gets no new exchange and doesn't count towards the worker's limit of connections.

    Attributes:
        last_lost_ms: When a connection to the current process was last lost or could not be established, on
            the monotonic clock; None if that has not happened. Only reasons for which `is_connection_loss`
            returns True count.
    """

    __slots__ = ("_connections", "_resources", "last_lost_ms")

    def __init__(self, resources: PoolResources) -> None:
        """Create an empty set; `resources` has the limits on connections of the pool."""
        self._resources = resources
        self._connections: list[WorkerConnection] = []
        self.last_lost_ms: float | None = None

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[WorkerConnection]:
        return iter(self._connections)

    # --- choice of a connection ---------------------------------------------------------------

    def choose(self, exchange: Exchange, connection_cutoff_ms: float) -> WorkerConnection | None:
        """Choose the connection for an exchange; return None if no connection may be used.

        Connections that were established after `connection_cutoff_ms`, on the monotonic clock, are excluded.

        An idle connection that the worker has closed is closed here instead of being used. Bytes written to
        it would be lost, but the router could not know whether the request has run. It could then not retry
        a request that must not run twice.
        """
        while (chosen := self._best_connection(exchange, connection_cutoff_ms)) is not None:
            if chosen.exchanges or not chosen.has_reached_end_of_stream():
                return chosen
            chosen.close(CloseReason.CLOSED_BY_PEER)
        return None

    def _best_connection(self, exchange: Exchange, connection_cutoff_ms: float) -> WorkerConnection | None:
        """Return the usable connection with the fewest exchanges, if possible a responsive one.

        A health check gets the oldest connection, which shows best whether the process is still the same.
        """
        candidates = [
            connection
            for connection in self._usable_connections(exchange.exchange_id)
            if connection.established_at_ms <= connection_cutoff_ms
        ]
        if isinstance(exchange, HealthCheck):
            return min(candidates, key=lambda connection: connection.established_at_ms, default=None)
        # Among connections with equally few exchanges, the most recently used one is chosen: the others have
        # been idle for longer and may be closed soon.
        return min(
            candidates,
            key=lambda connection: (len(connection.exchanges), -connection.connection.last_used_ms),
            default=None,
        )

    def _usable_connections(self, exchange_id: bytes) -> list[WorkerConnection]:
        """Return the connections that may carry an exchange with this id, if possible responsive ones.

        Unresponsive connections are included only if no responsive one is usable and no more may be opened.
        """
        max_idle_ms = self._resources.idle_limit.limit_ms
        usable = [
            connection
            for connection in self._connections
            if connection.is_connected and not connection.is_retired and connection.accepts(exchange_id)
        ]
        usable = [connection for connection in usable if connection.idle_ms() <= max_idle_ms]
        candidates = [connection for connection in usable if not connection.is_unresponsive()]
        if not candidates and len(self._current_connections()) >= MAX_CONNECTIONS:
            return usable
        return candidates

    # --- opening ------------------------------------------------------------------------------

    def open(self, owner: WorkerConnectionOwner) -> None:
        """Open a connection; if the budget is used up, close an idle connection, possibly of another worker.

        Args:
            owner: The worker to connect to, which is notified when the connection is established or closed.

        Raises:
            ConnectError: The limits allow no more connections, or the connect failed at once.
        """
        if (
            len(self._current_connections()) >= MAX_CONNECTIONS
            or not self._resources.budget.ensure_capacity()
        ):
            raise ConnectError(owner, CloseReason.CONNECTION_LIMIT)
        self._open_unchecked(owner)

    def open_spare_if_needed(self, owner: WorkerConnectionOwner) -> None:
        """Open a spare connection if the next exchange would have to share one and the limits allow it."""
        if self._needs_spare_connection() and self._resources.budget.allows_spare_connection():
            with contextlib.suppress(ConnectError):  # no exchange needs the connection yet
                self._open_unchecked(owner)

    def connecting_count(self) -> int:
        """Return how many connections to the current process of the worker are not established yet."""
        return sum(not connection.is_connected for connection in self._current_connections())

    def _needs_spare_connection(self) -> bool:
        """Return whether all connections are established and in use, and few enough to open another.

        Health checks don't count as use: they finish at once, and must not cause a connection to be opened.
        """
        current = self._current_connections()
        return len(current) < CONNECTIONS_BEFORE_SHARING and all(
            connection.is_connected and _is_in_use(connection) for connection in current
        )

    def _open_unchecked(self, owner: WorkerConnectionOwner) -> None:
        resources = self._resources
        connection = WorkerConnection(
            resources.loop,
            owner,
            resources.transport,
            resources.telemetry,
            resources.readiness,
            resources.memory,
        )
        self._connections.append(connection)
        resources.budget.on_opened()
        resources.telemetry.count(WORKER_CONNECTS)

    def _current_connections(self) -> list[WorkerConnection]:
        """Return the connections to the current process of the worker."""
        return [connection for connection in self._connections if not connection.is_retired]

    # --- closing ------------------------------------------------------------------------------

    def retire_all(self) -> None:
        """Retire all connections, as the worker has moved, restarted or been removed."""
        for connection in list(self._connections):
            connection.retire()

    def discard(self, connection: WorkerConnection, reason: CloseReason) -> None:
        """Remove a closed connection.

        `take_all_exchanges` must not have been called on the connection yet: its exchanges show whether it
        broke while in use, and so whether it was stale.
        """
        resources = self._resources
        self._connections.remove(connection)
        resources.budget.on_closed()
        resources.telemetry.count(WORKER_CONNECTIONS_CLOSED, reason.name)
        if is_connection_loss(reason) and not connection.is_retired:
            self.last_lost_ms = monotonic_ms()
        idle_ms = connection.stale_idle_ms(reason)
        if idle_ms is not None:
            resources.idle_limit.on_stale_connection(idle_ms)

    def unwritten_exchanges(self) -> list[Exchange]:
        """Return the exchanges on all connections of which no byte has been written."""
        return [exchange for connection in self._connections for exchange in connection.unwritten()]


def _is_in_use(connection: WorkerConnection) -> bool:
    """Return whether a connection carries any exchange other than health checks."""
    return any(not isinstance(exchange, HealthCheck) for exchange in connection.exchanges.values())
