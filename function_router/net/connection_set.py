"""The connections to one worker: opening them within the limits, and the choice among them."""

import contextlib
from collections.abc import Iterator

from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason, is_lost
from function_router.net.pool_resources import PoolResources
from function_router.net.telemetry import WORKER_CONNECTIONS_CLOSED, WORKER_CONNECTS
from function_router.net.worker_connection import ConnectError, WorkerConnection, WorkerConnectionOwner
from function_router.net.worker_messages import Exchange, HealthCheck

# Connections to one worker, without retired ones.
MAX_CONNECTIONS = 6
# While all of fewer connections are in use, a spare one is opened, so that exchanges rarely share one: a
# broken connection ends all exchanges on it.
CONNECTIONS_BEFORE_SHARING = 4


class ConnectionSet:
    """Opens and owns the connections to one worker, and chooses among them.

    A connection to an earlier process of the worker is retired: it stays until its exchanges are finished,
    gets no new ones and doesn't count towards the limits of the worker.

    Attributes:
        last_lost_ms: When a connection last ended without this router's doing, on the monotonic clock; None
            if none has.
    """

    __slots__ = ("_connections", "_resources", "last_lost_ms")

    def __init__(self, resources: PoolResources) -> None:
        """An empty set; `resources` has the limits."""
        self._resources = resources
        self._connections: list[WorkerConnection] = []
        self.last_lost_ms: float | None = None

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[WorkerConnection]:
        return iter(self._connections)

    # --- choosing -----------------------------------------------------------------------------

    def choose(self, exchange: Exchange, latest_connection_ms: float) -> WorkerConnection | None:
        """The connection to use for an exchange; None if none may be used.

        Connections that were established after `latest_connection_ms`, on the monotonic clock, are left out.

        An idle connection that the worker has closed is closed here, too, in place of being used: what would
        be written to it would be lost, but as it might have run, a request that must not run twice could not
        be sent again.
        """
        while (chosen := self._best(exchange, latest_connection_ms)) is not None:
            if chosen.exchanges or not chosen.has_reached_end_of_stream():
                return chosen
            chosen.close(CloseReason.CLOSED_BY_PEER)
        return None

    def _best(self, exchange: Exchange, latest_connection_ms: float) -> WorkerConnection | None:
        """The usable connection with the fewest exchanges, if possible a responsive one.

        For a health check it is the oldest one, as that shows best whether the process is still the same.
        """
        candidates = [
            connection
            for connection in self._usable(exchange.exchange_id)
            if connection.established_at_ms <= latest_connection_ms
        ]
        if isinstance(exchange, HealthCheck):
            return min(candidates, key=lambda connection: connection.established_at_ms, default=None)
        # Of those with equally few exchanges the one used last: one that has been idle for long may soon be
        # closed.
        return min(
            candidates,
            key=lambda connection: (len(connection.exchanges), -connection.connection.last_used_ms),
            default=None,
        )

    def _usable(self, exchange_id: bytes) -> list[WorkerConnection]:
        """The connections that may carry an exchange with this id, if possible responsive ones."""
        max_idle_ms = self._resources.idle_limit.limit_ms
        usable = [
            connection
            for connection in self._connections
            if connection.is_connected and not connection.is_retired and connection.accepts(exchange_id)
        ]
        usable = [connection for connection in usable if connection.idle_ms() <= max_idle_ms]
        candidates = [connection for connection in usable if not connection.is_unresponsive()]
        if not candidates and len(self._current()) >= MAX_CONNECTIONS:
            return usable
        return candidates

    # --- opening ------------------------------------------------------------------------------

    def open(self, owner: WorkerConnectionOwner) -> None:
        """Open a connection, at the cost of an idle one to another worker if there are too many.

        Args:
            owner: The worker to connect to, which is notified.

        Raises:
            ConnectError: The limits allow no other connection, or connecting failed at once.
        """
        if len(self._current()) >= MAX_CONNECTIONS or not self._resources.budget.make_room():
            raise ConnectError(owner, CloseReason.CONNECTION_LIMIT)
        self._open_unchecked(owner)

    def open_spare_if_needed(self, owner: WorkerConnectionOwner) -> None:
        """Open a connection for the next exchange if that would have to share one, as far as limits allow."""
        if self._is_each_in_use() and self._resources.budget.allows_spare_connection():
            with contextlib.suppress(ConnectError):  # nothing needs it yet
                self._open_unchecked(owner)

    def connecting_count(self) -> int:
        """How many connections to the present process of the worker are not established yet."""
        return sum(not connection.is_connected for connection in self._current())

    def _is_each_in_use(self) -> bool:
        """Whether all connections are established and in use, and few enough for another one.

        A health check doesn't count: it is over at once, and must not cause a connection.
        """
        current = self._current()
        return len(current) < CONNECTIONS_BEFORE_SHARING and all(
            connection.is_connected and _is_in_use(connection) for connection in current
        )

    def _open_unchecked(self, owner: WorkerConnectionOwner) -> None:
        resources = self._resources
        connection = WorkerConnection(
            resources.loop, owner, resources.transport, resources.telemetry, resources.readiness
        )
        self._connections.append(connection)
        resources.budget.on_opened()
        resources.telemetry.count(WORKER_CONNECTS)

    def _current(self) -> list[WorkerConnection]:
        """The connections to the present process of the worker."""
        return [connection for connection in self._connections if not connection.is_retired]

    # --- ending -------------------------------------------------------------------------------

    def retire_all(self) -> None:
        """Retire the connections, as the worker has moved, restarted or been removed."""
        for connection in list(self._connections):
            connection.retire()

    def discard(self, connection: WorkerConnection, reason: CloseReason) -> None:
        """Forget a connection that was closed for this reason; its exchanges have to be on it still."""
        resources = self._resources
        self._connections.remove(connection)
        resources.budget.on_closed()
        resources.telemetry.count(WORKER_CONNECTIONS_CLOSED, reason.name)
        if is_lost(reason) and not connection.is_retired:
            self.last_lost_ms = monotonic_ms()
        idle_ms = connection.stale_idle_ms(reason)
        if idle_ms is not None:
            resources.idle_limit.on_stale_connection(idle_ms)

    def unwritten_exchanges(self) -> list[Exchange]:
        """The exchanges on the connections of which nothing has been written."""
        return [exchange for connection in self._connections for exchange in connection.unwritten()]


def _is_in_use(connection: WorkerConnection) -> bool:
    """Whether a connection carries anything but health checks."""
    return any(not isinstance(exchange, HealthCheck) for exchange in connection.exchanges.values())
