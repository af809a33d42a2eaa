"""A connection to a worker, with the exchanges in flight on the connection."""

import math
from typing import Protocol

from function_router.config import Address, TransportSettings
from function_router.decisions.types import WorkerState
from function_router.errors import FunctionRouterError
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames as frames
from function_router.net.connection import Connection
from function_router.net.connection_activity import ConnectionActivity
from function_router.net.event_loop import EventLoop
from function_router.net.memory_budget import MemoryAccount, MemoryBudget
from function_router.net.readiness import ReadinessAdapter
from function_router.net.send_checks import check_exchange, check_readiness, find_send_violations
from function_router.net.sockets import PeekResult
from function_router.net.telemetry import SENT, Telemetry
from function_router.net.timer_wheel import Timer
from function_router.net.used_exchange_ids import UsedExchangeIds
from function_router.net.worker_messages import Attempt, Exchange

# Timeout of a partial frame that does not grow. The frame then counts as truncated, and no later frame can be
# decoded.
PARTIAL_FRAME_TIMEOUT_MS = 250.0
# Number of unwritten bytes from which a connection gets no new exchange, as its worker does not read.
MAX_PENDING_BYTES = 256 * 1024

_CLOSED_REMOTELY = (CloseReason.RESET_BY_PEER, CloseReason.CLOSED_BY_PEER)


class WorkerConnectionOwner(Protocol):
    """The worker that a connection leads to, which is notified when the connection opens or closes."""

    @property
    def worker_id(self) -> int:
        """The id of the worker."""

    @property
    def address(self) -> Address:
        """The address on which the worker listens."""

    @property
    def state(self) -> WorkerState:
        """The state of the worker in the endpoint list."""

    def connection_cutoff_ms(self, exchange: Exchange) -> float:
        """Return the time by which a connection must have been established to carry an exchange now."""

    def on_worker_input_full(self) -> None:
        """Close connections, of any worker, until incomplete answers are within their share of the memory."""

    def on_connection_established(self, connection: "WorkerConnection") -> None:
        """Handle a connection that has just been established."""

    def on_connection_closed(self, connection: "WorkerConnection", reason: CloseReason) -> None:
        """Handle a connection that was closed or could not be established.

        The connection still has its exchanges.
        """


class ConnectError(FunctionRouterError):
    """Raised if a connect to a worker fails at once or would exceed a limit; `reason` is the cause."""

    def __init__(self, owner: WorkerConnectionOwner, reason: CloseReason) -> None:
        super().__init__(f"cannot connect to worker {owner.worker_id} at {owner.address}: {reason.name}")
        self.reason = reason


class WorkerConnection:
    """A connection to a worker, and the `ExchangeHolder` of the exchanges in flight on the connection.

    Args:
        loop: The event loop that serves the connection.
        owner: The worker that the connection leads to.
        transport: The settings with the connect timeout and the limit of exchanges on one connection.
        telemetry: Logs protocol errors of the worker, and records violations of invariants.
        readiness: Decides whether the connection may carry new work.
        memory: The memory that workers can fill.

    Attributes:
        connection: The TCP connection.
        exchanges: The exchanges in flight by id, in the order in which they were assigned.
        input_memory: The memory of the answer that has been received in part.
        is_retired: Whether the connection gets no new exchange and is closed once all exchanges are finished.
        established_at_ms: When the connection was established, on the monotonic clock; infinite before that.
    """

    __slots__ = (
        "_activity",
        "_loop",
        "_max_exchanges",
        "_owner",
        "_partial_frame_timer",
        "_reader",
        "_readiness",
        "_telemetry",
        "_unwritten_at_flush",
        "_used_ids",
        "connection",
        "established_at_ms",
        "exchanges",
        "input_memory",
        "is_retired",
    )

    def __init__(
        self,
        loop: EventLoop,
        owner: WorkerConnectionOwner,
        transport: TransportSettings,
        telemetry: Telemetry,
        readiness: ReadinessAdapter,
        memory: MemoryBudget,
    ) -> None:
        """Begin to connect to the worker `owner` at its current address.

        Raises:
            ConnectError: The connect failed at once; `owner` is not notified in this case.
        """
        self.exchanges: dict[bytes, Exchange] = {}
        self.is_retired = False
        self.established_at_ms = math.inf
        self._loop = loop
        self._owner = owner
        self._telemetry = telemetry
        self._readiness = readiness
        self.input_memory = MemoryAccount(memory.worker_input)
        self._max_exchanges = transport.max_exchanges_per_connection
        self._reader = frames.FrameReader()
        self._used_ids = UsedExchangeIds(memory.ids)
        self._unwritten_at_flush: list[Exchange] = []  # exchanges without a written byte at the last flush
        self._partial_frame_timer: Timer | None = None
        self.connection = _connect(loop, owner, self, transport.connect_timeout_ms)
        self._activity = ConnectionActivity(self.connection)

    # --- state ------------------------------------------------------------------------------

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established and open."""
        return self.connection.is_connected and not self.connection.is_closed

    @property
    def was_established(self) -> bool:
        """Whether the connection was ever established, even if it is closed now."""
        return self.connection.is_connected

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether one of the exchanges in flight is an attempt."""
        return any(isinstance(exchange, Attempt) for exchange in self.exchanges.values())

    def idle_ms(self) -> float:
        """Return how long the connection has been idle; 0 while exchanges are in flight."""
        return 0.0 if self.exchanges else self._activity.idle_ms()

    def is_unresponsive(self) -> bool:
        """Return whether answers are outstanding and nothing has been received for too long.

        Connections to a machine that has crashed or become unreachable stay open and silent.
        """
        return bool(self.exchanges) and self._activity.is_silent()

    def accepts(self, exchange_id: bytes) -> bool:
        """Return whether an exchange with this id may be assigned to the connection."""
        has_capacity = len(self.exchanges) < self._max_exchanges
        is_new_id = exchange_id not in self.exchanges and exchange_id not in self._used_ids
        return has_capacity and is_new_id and self.connection.pending_bytes < MAX_PENDING_BYTES

    def has_reached_end_of_stream(self) -> bool:
        """Return whether the worker has closed the connection and no received byte is unread."""
        return self.connection.peek() is PeekResult.END

    def stale_idle_ms(self, reason: CloseReason) -> float | None:
        """Return how long the connection had been idle if it broke just after its reuse; None otherwise.

        Args:
            reason: Why the connection closed; `take_all_exchanges` must not have been called yet.
        """
        is_broken_in_use = reason in _CLOSED_REMOTELY and bool(self.exchanges)
        is_stale = is_broken_in_use and self._activity.is_newly_active()
        return self._activity.idle_before_use_ms if is_stale else None

    def unwritten(self) -> list[Exchange]:
        """Return the exchanges of which no byte has been written."""
        return [exchange for exchange in self.exchanges.values() if not exchange.is_started]

    # --- exchanges --------------------------------------------------------------------------

    def assign(self, exchange: Exchange) -> None:
        """Add an exchange, which is written at the end of this turn of the event loop."""
        if not self.exchanges:
            self._activity.on_active()
        self.exchanges[exchange.exchange_id] = exchange
        exchange.attach(self, self.connection.write(exchange.encode()), self.established_at_ms)
        self._unwritten_at_flush.append(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange without an answer; if it is a started attempt, notify the worker."""
        self.exchanges.pop(exchange.exchange_id, None)
        pending_write = exchange.pending_write
        if pending_write is not None and self.connection.cancel_write(pending_write):
            return
        self._activity.on_exchange_removed()
        if isinstance(exchange, Attempt):
            self.connection.write(frames.encode_cancel(exchange.exchange_id))
        self._used_ids.add(exchange.exchange_id)

    def take_all_exchanges(self) -> list[Exchange]:
        """Remove and return all exchanges of a closed connection in the order of their assignment."""
        exchanges = list(self.exchanges.values())
        self.exchanges = {}
        return exchanges

    def on_exchange_finished(self) -> None:
        """Close a retired connection whose last exchange has just finished."""
        self._close_if_retired_and_empty()

    # --- closing ----------------------------------------------------------------------------

    def close(self, reason: CloseReason) -> None:
        """Close the connection; the owner is notified once."""
        self.connection.close(reason)

    def retire(self) -> None:
        """Assign no new exchange to the connection, and close it once all exchanges are finished."""
        self.is_retired = True
        self._close_if_retired_and_empty()

    def close_if_idle(self, max_idle_ms: float) -> None:
        """Close the connection if it has been idle for too long, or was silent when it became idle."""
        if not self.is_connected or self.exchanges:
            return
        if self._activity.was_silent_until_removal():
            self.close(CloseReason.READ_TIMEOUT)
        elif self.idle_ms() > max_idle_ms:
            self.close(CloseReason.IDLE)

    def _close_if_retired_and_empty(self) -> None:
        if self.is_retired and not self.exchanges and self.is_connected:
            self.close(CloseReason.ENDPOINT_REPLACED)

    # --- callbacks of the TCP connection ----------------------------------------------------

    def on_connected(self) -> None:
        """Record when the connection was established, and notify the owner."""
        self.established_at_ms = monotonic_ms()
        self._owner.on_connection_established(self)

    def on_data(self, data: bytes) -> None:
        """Finish the exchanges whose answers are complete with the received bytes."""
        for frame in self._reader.feed(data):
            exchange = self.exchanges.pop(frame.exchange_id, None)
            if exchange is None:  # the answer is late or a duplicate
                continue
            if frame.code != frames.OK:  # a duplicate of this answer must not end a retry with the same id
                self._used_ids.add(frame.exchange_id)
            exchange.finish(exchange.parse_answer(frame))
        self.input_memory.resize(self._reader.buffered_bytes)
        if self._reader.error is not None:
            self._telemetry.log(f"worker {self._owner.worker_id}: invalid frame: {self._reader.error}")
            self.close(CloseReason.PROTOCOL_ERROR)
        elif self._reader.has_partial_frame and self._partial_frame_timer is None:
            self._schedule_partial_frame_check(PARTIAL_FRAME_TIMEOUT_MS)
        if self.input_memory.is_share_exceeded:
            self._owner.on_worker_input_full()

    def on_flushed(self) -> None:
        """Check the invariants of the exchanges whose first byte was written by this flush."""
        if not self._unwritten_at_flush:
            return
        for exchange in self._unwritten_at_flush:
            if exchange.is_started:
                self._check_send(exchange)
        self._unwritten_at_flush = self.unwritten()

    def _check_send(self, exchange: Exchange) -> None:
        """Record by which lease a first byte was written, and the invariants that its exchange violated."""
        owner = self._owner
        if exchange.is_new_work:
            exchange.lease = self._readiness.record_sent(owner.worker_id)
            self._telemetry.count(SENT, exchange.lease.kind.value)
        conditions = self._readiness.conditions_of_send(
            owner.worker_id, owner.state, self.connection.writer.last_write_ms, self.established_at_ms
        )
        for violation in find_send_violations(exchange, conditions):
            self._telemetry.invariants.record(violation.invariant, violation.detail)

    def on_write_delayed(self) -> None:
        """Finish unwritten exchanges that may not be sent any more; update the timeouts of the others."""
        for exchange in self.unwritten():
            not_sent_reason = check_exchange(exchange, self._owner.state) or check_readiness(
                exchange, self.established_at_ms, self._owner.connection_cutoff_ms(exchange)
            )
            if not_sent_reason:
                exchange.finish_unsent(not_sent_reason, self._telemetry)
            elif exchange.pending_write is not None:
                self.connection.replace_write(exchange.pending_write, exchange.encode())

    def on_closed(self, reason: CloseReason) -> None:
        """Notify the owner that the connection was closed."""
        self.input_memory.close()
        self._used_ids.clear()
        self._owner.on_connection_closed(self, reason)

    def _schedule_partial_frame_check(self, delay_ms: float) -> None:
        self._partial_frame_timer = self._loop.timers.call_later(delay_ms, self._check_partial_frame)

    def _check_partial_frame(self) -> None:
        self._partial_frame_timer = None
        if not self._reader.has_partial_frame or self.connection.is_closed:
            return
        left_ms = PARTIAL_FRAME_TIMEOUT_MS - (monotonic_ms() - self.connection.last_received_ms)
        if left_ms > 0:
            self._schedule_partial_frame_check(left_ms)
        else:
            self._telemetry.log(f"worker {self._owner.worker_id}: incomplete frame")
            self.close(CloseReason.READ_TIMEOUT)


def _connect(
    loop: EventLoop, owner: WorkerConnectionOwner, handler: WorkerConnection, timeout_ms: float
) -> Connection:
    """Begin to connect to a worker.

    Raises:
        ConnectError: The connect failed at once.
    """
    connection = Connection.connect(loop, owner.address, handler, timeout_ms)
    if isinstance(connection, CloseReason):
        raise ConnectError(owner, connection)
    return connection
