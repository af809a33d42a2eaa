"""The workers that are known, and the sending of attempts and start orders to them."""

import contextlib
import itertools
import random

from function_router.config import Address, TransportSettings
from function_router.decisions.types import WorkerState
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.event_loop import EventLoop
from function_router.net.idle_limit import IdleLimit
from function_router.net.invariants import MAX_TIMEOUT_EXCESS_MS, Invariant
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pooled_worker import MAX_CONNECTIONS, PooledWorker
from function_router.net.send_checks import check_worker
from function_router.net.telemetry import (
    CLOSED,
    CONNECTS,
    PROBES,
    REQUESTS,
    START_ORDERS,
    Telemetry,
)
from function_router.net.worker_connection import ConnectError, WorkerConnection
from function_router.net.worker_messages import Attempt, Exchange, StartOrder

# Of the most connections, those that spare ones may be among: the rest is kept for exchanges that find none.
SPARE_CONNECTIONS_PART = 0.7
EXCHANGE_ID_BYTES = 8
# A connect that fails on this machine is tried again at this interval, and for so long ...
LOCAL_RETRY_INTERVAL_MS = 20.0
# ... before what waits for it is reported as not sent: the decisions may send it elsewhere.
LOCAL_RETRY_MS = 200.0
# Reasons that tell nothing about the worker.
FAILED_ON_THIS_MACHINE = (CloseReason.LOCAL_FAILURE, CloseReason.NO_FILE_DESCRIPTOR)
# The first id of start orders is random, so that routers don't use the same ones.
FIRST_ORDER_ID_BITS = 62


class WorkerPool:
    """Owns the workers and the connections to them.

    Args:
        loop: the event loop that serves the connections.
        wire: timeouts and limits of the transport.
        max_connections: to all workers together.
        seed: for the ids of start orders.
        telemetry: for what was sent, how connections closed, and what workers did wrong.
    """

    def __init__(
        self, loop: EventLoop, wire: TransportSettings, max_connections: int, seed: int, telemetry: Telemetry
    ) -> None:
        self.loop = loop
        self.wire = wire
        self.telemetry = telemetry
        self.workers: dict[int, PooledWorker] = {}
        self._max_connections = max_connections
        self._connection_count = 0
        self._idle_limit = IdleLimit(wire.keepalive_ms)
        self._order_ids = itertools.count(random.Random(seed).getrandbits(FIRST_ORDER_ID_BITS))

    # --- endpoints ----------------------------------------------------------------------------

    def update_endpoint(
        self, worker_id: int, address: Address | None, state: WorkerState, started_at_ms: float
    ) -> None:
        """Take in what the endpoint list says of a worker.

        Args:
            worker_id: its id.
            address: where it listens; None leaves that as it is.
            state: its state.
            started_at_ms: when its process started, in Unix time; 0 where that is unknown.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            if address is not None and state is not WorkerState.REMOVED:
                self.workers[worker_id] = PooledWorker(worker_id, address, state, started_at_ms)
            return
        is_replaced = worker.is_replaced_by(address, started_at_ms)
        if is_replaced:
            worker.retire_connections()
        worker.address = address or worker.address
        worker.state = state
        worker.started_at_ms = max(started_at_ms, worker.started_at_ms)
        if state is not WorkerState.READY:
            self._return_unsent(worker)
        if is_replaced and worker.queue:  # for a connection to the process before
            self._connect_for_queued(worker)
        if state is WorkerState.REMOVED:
            worker.retire_connections()
            self._forget_if_unused(worker)

    def workers_at(self, address: Address) -> list[int]:
        """The ids of the workers at an address that are not removed."""
        return [
            worker.worker_id
            for worker in self.workers.values()
            if worker.address == address and worker.state is not WorkerState.REMOVED
        ]

    def remove_all_except(self, named: set[int]) -> None:
        """Remove the workers that a complete endpoint list does not name."""
        absent = [worker_id for worker_id in self.workers if worker_id not in named]
        for worker_id in absent:
            self.update_endpoint(worker_id, None, WorkerState.REMOVED, 0.0)

    def _return_unsent(self, worker: PooledWorker) -> None:
        """Finish what was not sent to a worker yet and may not be sent to it any more."""
        for exchange in [*worker.queue, *worker.unwritten_exchanges()]:
            if check_worker(exchange, worker.state):
                exchange.abort(CloseReason.DRAINING)

    def _forget_if_unused(self, worker: PooledWorker) -> None:
        if worker.state is WorkerState.REMOVED and not worker.connections and not worker.queue:
            self.workers.pop(worker.worker_id, None)

    # --- sending ------------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Send an attempt; it finishes at its deadline at the latest."""
        left_ms = attempt.deadline_ms - monotonic_ms()
        if left_ms <= 0:
            attempt.finish_unsent(NotSentReason.DEADLINE_PASSED, self.telemetry)
            return
        self.telemetry.count(REQUESTS)
        attempt.timeout_timer = self.loop.timers.call_later(left_ms, attempt.time_out)
        self._dispatch(attempt)

    def ensure_instances(self, order: StartOrder) -> None:
        """Send a start order or a probe, under an id that is given here."""
        self.telemetry.count(START_ORDERS if order.instances else PROBES)
        order.exchange_id = next(self._order_ids).to_bytes(EXCHANGE_ID_BYTES, "big")
        timeout_ms = self.wire.start_order_timeout_ms
        order.timeout_timer = self.loop.timers.call_later(timeout_ms, order.time_out)
        self._dispatch(order)

    def _dispatch(self, exchange: Exchange) -> None:
        """Put an exchange on a connection, or have it wait for one."""
        if exchange.is_done:  # cancelled as a consequence of dispatching the one before
            return
        worker = self.workers.get(exchange.worker_id)
        if worker is None:
            exchange.finish_unsent(NotSentReason.WORKER_UNKNOWN, self.telemetry)
            return
        if not_sent_reason := check_worker(exchange, worker.state):
            exchange.finish_unsent(not_sent_reason, self.telemetry)
            return
        connection = worker.choose_connection(exchange.exchange_id, self._idle_limit.limit_ms)
        if connection is None:
            worker.queue.append(exchange)
            self._connect_for_queued(worker)
        elif not_sent_reason := exchange.reason_not_to_send():
            exchange.finish_unsent(not_sent_reason, self.telemetry)
        else:
            self._start(exchange, connection)

    def _start(self, exchange: Exchange, connection: WorkerConnection) -> None:
        """Put an exchange on a connection, and open a spare one for the next where that is wanted."""
        is_shared = any(isinstance(other, Attempt) for other in connection.exchanges.values())
        connection.start(exchange)
        may_open_spare = is_shared or self.wire.may_preconnect
        worker = connection.worker
        if may_open_spare and worker.needs_spare_connection() and self._has_room_for_spare():
            with contextlib.suppress(ConnectError):  # the spare one is not needed yet
                self._connect(worker)

    def _has_room_for_spare(self) -> bool:
        return self._connection_count < SPARE_CONNECTIONS_PART * self._max_connections

    # --- connecting ---------------------------------------------------------------------------

    def _connect_for_queued(self, worker: PooledWorker) -> None:
        """Open as many connections as the waiting exchanges need; they wait for a connect at the most."""
        if worker.reconnect_timer is not None:  # connects fail on this machine: not more often than that
            return
        max_exchanges = self.wire.max_exchanges_per_connection
        while worker.connecting_count() * max_exchanges < len(worker.queue):
            try:
                self._connect_within_limits(worker)
            except ConnectError as error:
                reason = error.reason
                break
        else:
            return
        if not worker.connecting_count():
            self._on_connect_failed(worker, reason)

    def _on_connect_failed(self, worker: PooledWorker, reason: CloseReason) -> None:
        """Fail what waits, or try again a moment later where the failure tells nothing about the worker."""
        now_ms = monotonic_ms()
        if reason not in FAILED_ON_THIS_MACHINE:
            self._fail_queued(worker, reason)
        elif worker.connect_failing_since_ms is None:
            worker.connect_failing_since_ms = now_ms
            self._connect_later(worker)
        elif now_ms - worker.connect_failing_since_ms < LOCAL_RETRY_MS:
            self._connect_later(worker)
        else:
            worker.connect_failing_since_ms = None
            self._fail_queued(worker, reason)

    def _connect_later(self, worker: PooledWorker) -> None:
        """Try again for what waits, with one timer however often this is asked for."""
        if worker.reconnect_timer is None:
            worker.reconnect_timer = self.loop.timers.call_later(
                LOCAL_RETRY_INTERVAL_MS, lambda: self._connect_again(worker)
            )

    def _connect_again(self, worker: PooledWorker) -> None:
        """Dispatch what still waits: a connection may have become free, or another connect may succeed."""
        worker.reconnect_timer = None
        for exchange in worker.queue.take_all():
            self._dispatch(exchange)

    def _connect_within_limits(self, worker: PooledWorker) -> None:
        """Open a connection, closing an idle one to another worker where there are too many."""
        if len(worker.current_connections()) >= MAX_CONNECTIONS:
            raise ConnectError(worker, CloseReason.NO_FILE_DESCRIPTOR)
        if self._connection_count >= self._max_connections and not self._close_longest_idle():
            raise ConnectError(worker, CloseReason.NO_FILE_DESCRIPTOR)
        self._connect(worker)

    def _connect(self, worker: PooledWorker) -> None:
        connection = WorkerConnection(self.loop, worker, owner=self, wire=self.wire, telemetry=self.telemetry)
        worker.connections.append(connection)
        self._connection_count += 1
        self.telemetry.count(CONNECTS)

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; False where none is idle.

        With more workers than connections, those that were sent to first would otherwise keep all of them.
        """
        idle = [
            connection
            for connection in self._all_connections()
            if connection.is_connected and not connection.exchanges
        ]
        longest = max(idle, key=WorkerConnection.idle_ms, default=None)
        if longest is None:
            return False
        longest.close(CloseReason.IDLE)
        return True

    def _fail_queued(self, worker: PooledWorker, reason: CloseReason) -> None:
        for exchange in worker.queue.take_all():
            exchange.finish(reason)

    # --- from the connections -----------------------------------------------------------------

    def on_worker_connected(self, connection: WorkerConnection) -> None:
        """Send what waits for the connection."""
        if connection.is_retired:  # its worker was removed, moved or restarted in the meantime
            connection.close(CloseReason.ENDPOINT_REPLACED)
            return
        connection.worker.connect_failing_since_ms = None
        for exchange in connection.worker.queue.take_all():
            self._dispatch(exchange)

    def on_worker_closed(self, connection: WorkerConnection, reason: CloseReason) -> None:
        """Finish the exchanges on the connection; those of which nothing was sent use another one."""
        worker = connection.worker
        worker.connections.remove(connection)
        self._connection_count -= 1
        self.telemetry.count(CLOSED, reason.name)
        if connection.was_stale(reason):
            self._idle_limit.on_stale_connection(connection.idle_before_use_ms)
        for exchange in connection.take_all_exchanges():
            if exchange.is_started:
                exchange.finish(reason)
            else:
                exchange.detach()
                self._dispatch(exchange)
        if not connection.was_established and not worker.connecting_count():
            self._on_connect_failed(worker, reason)
        self._forget_if_unused(worker)

    def on_started(self, exchange: Exchange, written_at_ms: float) -> None:
        """Check at run time that the exchange was allowed to start when its first byte was written."""
        worker = self.workers.get(exchange.worker_id)
        not_sent_reason = check_worker(exchange, worker.state) if worker else NotSentReason.WORKER_UNKNOWN
        if not_sent_reason or exchange.is_done:
            self._record_violation(Invariant.STARTED_BY_THE_RULES, exchange, str(not_sent_reason))
        excess_ms = exchange.timeout_excess_ms(written_at_ms)
        if excess_ms > MAX_TIMEOUT_EXCESS_MS:
            self._record_violation(Invariant.TIMEOUT_PASSED_ON, exchange, f"{excess_ms:.0f} ms")

    def _record_violation(self, invariant: Invariant, exchange: Exchange, detail: str) -> None:
        what = f"{exchange.exchange_id.hex()} at worker {exchange.worker_id}"
        self.telemetry.invariants.record(invariant, f"{what}: {detail}")

    # --- finishing ----------------------------------------------------------------------------

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange, unless it is done; the worker is notified if it may have got an attempt."""
        exchange.abort(CloseReason.CANCELLED)

    def cancel_if_unsent(self, exchange: Exchange) -> None:
        """Cancel an exchange whose request is over, unless the worker may have got some of it."""
        if not exchange.is_started:
            exchange.finish_unsent(NotSentReason.REQUEST_FINISHED, self.telemetry)

    # --- housekeeping -------------------------------------------------------------------------

    def check_timeouts(self) -> None:
        """Close connections that are idle for too long; called periodically."""
        self._idle_limit.grow()
        for connection in self._all_connections():
            connection.close_if_idle(self._idle_limit.limit_ms)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._all_connections():
            connection.close(CloseReason.SHUTDOWN)

    def _all_connections(self) -> list[WorkerConnection]:
        return [connection for worker in self.workers.values() for connection in worker.connections]
