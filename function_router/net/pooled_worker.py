"""A worker of the pool: its connections, what waits for one, and the choice among them."""

from dataclasses import dataclass, field

from function_router.config import Address
from function_router.decisions.types import WorkerState
from function_router.net.close_reason import CloseReason
from function_router.net.exchange_queue import ExchangeQueue
from function_router.net.timer_wheel import Timer
from function_router.net.worker_connection import WorkerConnection
from function_router.net.worker_messages import Exchange

# To one worker, those to a process before it not counted.
MAX_CONNECTIONS = 6
# Up to so many, each exchange finds a connection of its own: what breaks one ends all exchanges on it.
CONNECTIONS_BEFORE_SHARING = 4


@dataclass(slots=True, eq=False)
class PooledWorker:
    """A worker by its id, never by its address alone: a new one may have the address of a removed one."""

    worker_id: int
    address: Address
    state: WorkerState
    started_at_ms: float
    connections: list[WorkerConnection] = field(default_factory=list)
    queue: ExchangeQueue = field(default_factory=ExchangeQueue)
    connect_failing_since_ms: float | None = None  # connects fail on this machine since then
    reconnect_timer: Timer | None = None  # set while those that wait are to be tried for again

    def is_replaced_by(self, address: Address | None, started_at_ms: float) -> bool:
        """Whether an endpoint record shows a new process: a new address, or a later start."""
        has_moved = address is not None and address != self.address
        return has_moved or started_at_ms > self.started_at_ms

    def choose_connection(self, exchange_id: bytes, max_idle_ms: float) -> WorkerConnection | None:
        """The connection to use for an exchange; None where none may be used.

        An idle one that the worker has closed is closed here instead: what is written to it is lost, but as
        it might have run, a request that may not run twice could not be sent again.
        """
        while (chosen := self._least_used_connection(exchange_id, max_idle_ms)) is not None:
            if chosen.exchanges or not chosen.has_reached_end_of_stream():
                return chosen
            chosen.close(CloseReason.CLOSED_BY_PEER)
        return None

    def _least_used_connection(self, exchange_id: bytes, max_idle_ms: float) -> WorkerConnection | None:
        usable = [
            connection
            for connection in self.connections
            if connection.is_connected and not connection.is_retired and connection.accepts(exchange_id)
        ]
        usable = [connection for connection in usable if connection.idle_ms() <= max_idle_ms]
        responsive = [connection for connection in usable if not connection.is_unresponsive()]
        if not responsive and len(self.current_connections()) >= MAX_CONNECTIONS:
            responsive = usable
        # Of those with equally few exchanges the one used last: one that is idle for long may soon be closed.
        return min(
            responsive,
            key=lambda connection: (len(connection.exchanges), -connection.connection.last_used_ms),
            default=None,
        )

    def needs_spare_connection(self) -> bool:
        """Whether the next exchange would share a connection, while there may be more of them."""
        current = self.current_connections()
        return len(current) < CONNECTIONS_BEFORE_SHARING and all(
            connection.is_connected and connection.exchanges for connection in current
        )

    def current_connections(self) -> list[WorkerConnection]:
        """The connections to the present process, without those kept for exchanges with one before it."""
        return [connection for connection in self.connections if not connection.is_retired]

    def connecting_count(self) -> int:
        """How many connections to the present process are not established yet."""
        return sum(not connection.is_connected for connection in self.current_connections())

    def unwritten_exchanges(self) -> list[Exchange]:
        """The exchanges on its connections of which it has got no byte."""
        return [exchange for connection in self.connections for exchange in connection.unwritten()]

    def retire_connections(self) -> None:
        """Close the connections that are empty, and the others once they are."""
        for connection in list(self.connections):
            connection.retire()
