"""A worker of the pool, with its address, its connections and the exchanges that wait for a connection."""

import math
from collections.abc import Callable

from function_router.config import Address
from function_router.decisions.types import WorkerState
from function_router.net.close_reason import CloseReason
from function_router.net.connect_retry import ConnectRetry
from function_router.net.connection_set import ConnectionSet
from function_router.net.exchange_queue import ExchangeQueue
from function_router.net.pool_resources import PoolResources
from function_router.net.send_checks import check_worker, reason_without_connection
from function_router.net.worker_connection import ConnectError, WorkerConnection
from function_router.net.worker_messages import Exchange, HealthCheck


class PooledWorker:
    """A worker of the pool, which assigns each exchange to a connection or queues it until there is one.

    The id identifies the worker. The address alone does not: another worker may get the same address later.
    The worker is the owner of its connections, which notify it when they are established and closed.

    Attributes:
        worker_id: The id of the worker.
        address: The address on which the worker listens.
        state: The state of the worker in the endpoint list.
        connections: The connections to the worker, including those to an earlier process.
        queue: The exchanges that wait for a connection.
    """

    __slots__ = (
        "_connect_retry",
        "_on_unused",
        "_resources",
        "_started_at_unix_ms",
        "address",
        "connections",
        "queue",
        "state",
        "worker_id",
    )

    def __init__(
        self,
        worker_id: int,
        address: Address,
        state: WorkerState,
        started_at_unix_ms: float,
        resources: PoolResources,
        on_unused: Callable[[int], None],
    ) -> None:
        """Create a worker without connections.

        Args:
            worker_id: The id of the worker.
            address: The address on which the worker listens.
            state: The state of the worker in the endpoint list.
            started_at_unix_ms: When the worker's process started, in Unix time; 0 if unknown.
            resources: The resources that the workers of the pool share.
            on_unused: Called with the id once the worker is removed and has no connection and no exchange.
        """
        self.worker_id = worker_id
        self.address = address
        self.state = state
        self.connections = ConnectionSet(resources)
        self.queue = ExchangeQueue()
        self._started_at_unix_ms = started_at_unix_ms
        self._resources = resources
        self._on_unused = on_unused
        self._connect_retry = ConnectRetry(resources.loop.timers)

    # --- endpoint -----------------------------------------------------------------------------

    def update(self, address: Address | None, state: WorkerState, started_at_unix_ms: float) -> None:
        """Apply a new record of the worker in the endpoint list.

        Args:
            address: The address on which the worker listens; None leaves it unchanged.
            state: The state of the worker.
            started_at_unix_ms: When the worker's process started, in Unix time; 0 if unknown.
        """
        is_replaced = self._is_replaced_by(address, started_at_unix_ms)
        if is_replaced:
            self.connections.retire_all()
        self.address = address or self.address
        self.state = state
        self._started_at_unix_ms = max(started_at_unix_ms, self._started_at_unix_ms)
        if state is not WorkerState.READY:
            self._abort_unsendable()
        if is_replaced and self.queue:  # connects in progress lead to the earlier process
            self._connect_for_queued()
        if state is WorkerState.REMOVED:
            self.connections.retire_all()
            self._report_if_unused()

    def _is_replaced_by(self, address: Address | None, started_at_unix_ms: float) -> bool:
        """Return whether an endpoint record shows a new process, by a new address or a later start."""
        has_moved = address is not None and address != self.address
        return has_moved or started_at_unix_ms > self._started_at_unix_ms

    def _abort_unsendable(self) -> None:
        """Abort the unwritten exchanges that the worker's state does not allow any more."""
        for exchange in [*self.queue, *self.connections.unwritten_exchanges()]:
            if check_worker(exchange, self.state):
                exchange.abort(CloseReason.DRAINING)

    def _report_if_unused(self) -> None:
        """Notify the pool if the worker is removed and has neither connections nor queued exchanges."""
        if self.state is WorkerState.REMOVED and not self.connections and not self.queue:
            self._on_unused(self.worker_id)

    # --- exchanges ----------------------------------------------------------------------------

    def dispatch(self, exchange: Exchange) -> None:
        """Assign an exchange to a connection or queue it; finish the exchange if it may not be sent."""
        if exchange.is_done:  # aborted as a consequence of dispatching the previous exchange
            return
        telemetry = self._resources.telemetry
        if not_sent_reason := check_worker(exchange, self.state):
            exchange.finish_unsent(not_sent_reason, telemetry)
            return
        connection_cutoff_ms = self.connection_cutoff_ms(exchange)
        connection = self.connections.choose(exchange, connection_cutoff_ms)
        if connection is None and connection_cutoff_ms < math.inf:
            exchange.finish_unsent(reason_without_connection(exchange), telemetry)
        elif connection is None:
            self.queue.append(exchange)
            self._connect_for_queued()
        elif not_sent_reason := exchange.reason_not_to_send():
            exchange.finish_unsent(not_sent_reason, telemetry)
        else:
            self._assign(exchange, connection)

    def connection_cutoff_ms(self, exchange: Exchange) -> float:
        """Return the time by which a connection must have been established to carry the exchange.

        The time is infinite if any connection may carry the exchange, and negative infinite if none may.
        """
        if not exchange.is_new_work:
            return math.inf
        readiness = self._resources.readiness
        if not readiness.allows_new_work(self.worker_id):
            return -math.inf
        if exchange.is_scoped_repeat():
            return readiness.process_cutoff_ms(self.worker_id)
        return math.inf

    def _assign(self, exchange: Exchange, connection: WorkerConnection) -> None:
        """Assign an exchange to a connection, and open a spare connection if the next exchange may need it.

        A spare connection is considered if an attempt is already in flight on the connection, or if the
        settings allow connections to be opened in advance. A health check requires no spare connection, as
        workers answer it at once.
        """
        is_shared = connection.has_attempt_in_flight
        connection.assign(exchange)
        if isinstance(exchange, HealthCheck):
            return
        if is_shared or self._resources.transport.may_preconnect:
            self.connections.open_spare_if_needed(self)

    def _dispatch_queued(self) -> None:
        """Dispatch the queued exchanges: a connection may have capacity now, or a new connect may succeed."""
        for exchange in self.queue.take_all():
            self.dispatch(exchange)

    # --- connecting ---------------------------------------------------------------------------

    def _connect_for_queued(self) -> None:
        """Open as many connections as the queued exchanges need, unless a retry of a connect is scheduled."""
        if self._connect_retry.is_scheduled:
            return
        max_exchanges = self._resources.transport.max_exchanges_per_connection
        while self.connections.connecting_count() * max_exchanges < len(self.queue):
            try:
                self.connections.open(self)
            except ConnectError as error:
                if not self.connections.connecting_count():
                    self._on_connect_failed(error.reason)
                return

    def _on_connect_failed(self, reason: CloseReason) -> None:
        """Schedule a retry for the queued exchanges, or finish them if there will be no retry."""
        if not self._connect_retry.schedule_after(reason, self._dispatch_queued):
            for exchange in self.queue.take_all():
                exchange.finish(reason)

    def on_worker_input_full(self) -> None:
        """Close connections, of any worker, until incomplete answers are within their share of the memory."""
        self._resources.budget.close_heaviest_until_in_share(self._resources.memory.worker_input)

    # --- callbacks of the connections ---------------------------------------------------------

    def on_connection_established(self, connection: WorkerConnection) -> None:
        """Dispatch the queued exchanges, or close the connection if it leads to an earlier process."""
        if connection.is_retired:
            connection.close(CloseReason.ENDPOINT_REPLACED)
            return
        self._connect_retry.on_connected()
        self._dispatch_queued()

    def on_connection_closed(self, connection: WorkerConnection, reason: CloseReason) -> None:
        """Finish the started exchanges of a closed connection, and dispatch the unwritten ones again."""
        self.connections.discard(connection, reason)
        for exchange in connection.take_all_exchanges():
            if exchange.is_started:
                exchange.finish(reason)
            else:
                exchange.detach()
                self.dispatch(exchange)
        if not connection.was_established and not self.connections.connecting_count():
            self._on_connect_failed(reason)
        self._report_if_unused()
