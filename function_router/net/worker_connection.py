"""One connection to a worker, and the exchanges in flight on it."""

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
from function_router.net.readiness import ReadinessGate
from function_router.net.send_checks import check_exchange, check_readiness, start_violations
from function_router.net.sockets import PeekResult
from function_router.net.telemetry import Telemetry
from function_router.net.timer_wheel import Timer
from function_router.net.worker_messages import Attempt, Exchange

# A partial frame to which nothing was added for this long was cut off: nothing after it can be read.
PARTIAL_FRAME_TIMEOUT_MS = 250.0
# Exchange ids that are remembered on one connection, as a late or duplicate answer to them may still come.
MAX_USED_IDS = 1_024
# Unwritten bytes on one connection: a worker that doesn't read is sent no more.
MAX_PENDING_BYTES = 256 * 1024

_CLOSED_BY_NETWORK = (CloseReason.RESET_BY_PEER, CloseReason.CLOSED_BY_PEER)


class WorkerConnectionOwner(Protocol):
    """The worker that a connection leads to, which is notified of what happens to the connection."""

    @property
    def worker_id(self) -> int:
        """Its id."""

    @property
    def address(self) -> Address:
        """Where it listens."""

    @property
    def state(self) -> WorkerState:
        """Its state in the endpoint list."""

    def on_connection_established(self, connection: "WorkerConnection") -> None:
        """The connection is established."""

    def on_connection_closed(self, connection: "WorkerConnection", reason: CloseReason) -> None:
        """The connection is closed, or could not be established; its exchanges are still on it."""


class ConnectError(FunctionRouterError):
    """Connecting to a worker failed at once, or the limits forbid it; `reason` says why."""

    def __init__(self, owner: WorkerConnectionOwner, reason: CloseReason) -> None:
        super().__init__(f"cannot connect to worker {owner.worker_id} at {owner.address}: {reason.name}")
        self.reason = reason


class WorkerConnection:
    """One connection to a worker, and the exchanges in flight on it.

    Args:
        loop: The event loop that serves it.
        owner: The worker that it leads to.
        transport: Has the connect timeout and the limit of exchanges on one connection.
        telemetry: Logs what the worker did wrong.
        readiness: Says whether the connection may carry new work.

    Attributes:
        connection: The TCP connection.
        exchanges: The exchanges in flight by id, in the order in which they were put on it; it is the
            `ExchangeHolder` of each.
        is_retired: Whether it gets no new exchange and is closed once it has none.
        established_at_ms: When it was established, on the monotonic clock; infinite before.
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
        "is_retired",
    )

    def __init__(
        self,
        loop: EventLoop,
        owner: WorkerConnectionOwner,
        transport: TransportSettings,
        telemetry: Telemetry,
        readiness: ReadinessGate,
    ) -> None:
        """Begin to connect to `owner`, a worker, at its present address.

        Raises:
            ConnectError: Connecting failed at once; `owner` is not notified then.
        """
        self.exchanges: dict[bytes, Exchange] = {}
        self.is_retired = False
        self.established_at_ms = math.inf
        self._loop = loop
        self._owner = owner
        self._telemetry = telemetry
        self._readiness = readiness
        self._max_exchanges = transport.max_exchanges_per_connection
        self._reader = frames.FrameReader()
        self._used_ids: dict[bytes, None] = {}  # ids that may not be used again here, oldest first
        self._unwritten_at_flush: list[Exchange] = []  # of which nothing was written by the last flush
        self._partial_frame_timer: Timer | None = None
        connection = Connection.connect(loop, owner.address, self, transport.connect_timeout_ms)
        if isinstance(connection, CloseReason):
            raise ConnectError(owner, connection)
        self.connection = connection
        self._activity = ConnectionActivity(connection)

    # --- state ------------------------------------------------------------------------------

    @property
    def is_connected(self) -> bool:
        """Whether it is established and open."""
        return self.connection.is_connected and not self.connection.is_closed

    @property
    def was_established(self) -> bool:
        """Whether it has ever been established, even if it is closed by now."""
        return self.connection.is_connected

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether one of its exchanges is an attempt."""
        return any(isinstance(exchange, Attempt) for exchange in self.exchanges.values())

    def idle_ms(self) -> float:
        """For how long it has been idle; 0 while exchanges are in flight."""
        return 0.0 if self.exchanges else self._activity.idle_ms()

    def is_unresponsive(self) -> bool:
        """Whether answers are outstanding and nothing was received for long.

        Connections to a machine that has vanished stay open and silent.
        """
        return bool(self.exchanges) and self._activity.is_silent()

    def accepts(self, exchange_id: bytes) -> bool:
        """Whether an exchange with this id may be put on it."""
        has_capacity = len(self.exchanges) < self._max_exchanges
        is_new_id = exchange_id not in self.exchanges and exchange_id not in self._used_ids
        return has_capacity and is_new_id and self.connection.pending_bytes < MAX_PENDING_BYTES

    def has_reached_end_of_stream(self) -> bool:
        """Whether the worker has closed it, with nothing unread before that."""
        return self.connection.peek() is PeekResult.END

    def stale_idle_ms(self, reason: CloseReason) -> float | None:
        """For how long it had been idle, if it broke as soon as it was used again; None if it didn't.

        Args:
            reason: Why it closed; its exchanges have to be on it still.
        """
        is_broken_in_use = reason in _CLOSED_BY_NETWORK and bool(self.exchanges)
        is_stale = is_broken_in_use and self._activity.is_just_in_use()
        return self._activity.idle_before_use_ms if is_stale else None

    def unwritten(self) -> list[Exchange]:
        """The exchanges of which nothing has been written."""
        return [exchange for exchange in self.exchanges.values() if not exchange.is_started]

    # --- exchanges --------------------------------------------------------------------------

    def start(self, exchange: Exchange) -> None:
        """Put an exchange on it, to be written at the end of this turn of the loop."""
        if not self.exchanges:
            self._activity.on_in_use()
        self.exchanges[exchange.exchange_id] = exchange
        exchange.attach(self, self.connection.write(exchange.encode()), self.established_at_ms)
        self._unwritten_at_flush.append(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Take out an exchange without an answer, and cancel an attempt that the worker may have received."""
        self.exchanges.pop(exchange.exchange_id, None)
        pending_write = exchange.pending_write
        if pending_write is not None and self.connection.cancel_write(pending_write):
            return
        self._activity.on_exchange_removed()
        if isinstance(exchange, Attempt):
            self.connection.write(frames.encode_cancel(exchange.exchange_id))
        self._forbid_id(exchange.exchange_id)

    def take_all_exchanges(self) -> list[Exchange]:
        """Take all exchanges off a closed connection, in the order in which they were put on it."""
        exchanges = list(self.exchanges.values())
        self.exchanges = {}
        return exchanges

    def on_exchange_finished(self) -> None:
        """Close it if it was kept only for an exchange that is finished now."""
        self._close_if_retired_and_empty()

    def _forbid_id(self, exchange_id: bytes) -> None:
        """Accept no other exchange with this id, as an answer to this one may still come."""
        self._used_ids[exchange_id] = None
        if len(self._used_ids) > MAX_USED_IDS:
            oldest = next(iter(self._used_ids))
            del self._used_ids[oldest]

    # --- closing ----------------------------------------------------------------------------

    def close(self, reason: CloseReason) -> None:
        """Close it; the owner is notified once."""
        self.connection.close(reason)

    def retire(self) -> None:
        """Put nothing new on it, and close it once it is empty."""
        self.is_retired = True
        self._close_if_retired_and_empty()

    def close_if_idle(self, max_idle_ms: float) -> None:
        """Close it if it has been idle for too long, or was silent until its last exchange was removed."""
        if not self.is_connected or self.exchanges:
            return
        if self._activity.was_silent_until_removal():
            self.close(CloseReason.READ_TIMEOUT)
        elif self.idle_ms() > max_idle_ms:
            self.close(CloseReason.IDLE)

    def _close_if_retired_and_empty(self) -> None:
        if self.is_retired and not self.exchanges and self.is_connected:
            self.close(CloseReason.ENDPOINT_REPLACED)

    # --- from the TCP connection ------------------------------------------------------------

    def on_connected(self) -> None:
        """The connection is established."""
        self.established_at_ms = monotonic_ms()
        self._owner.on_connection_established(self)

    def on_data(self, data: bytes) -> None:
        """Finish the exchanges whose answers are complete with these bytes."""
        for frame in self._reader.feed(data):
            exchange = self.exchanges.pop(frame.exchange_id, None)
            if exchange is None:  # a late or duplicate answer
                continue
            if frame.code != frames.OK:  # a duplicate of this answer must not end a retry under the same id
                self._forbid_id(frame.exchange_id)
            exchange.finish(exchange.parse_answer(frame))
        if self._reader.error is not None:
            self._telemetry.log(f"worker {self._owner.worker_id}: invalid frame: {self._reader.error}")
            self.close(CloseReason.PROTOCOL_ERROR)
        elif self._reader.has_partial_frame and self._partial_frame_timer is None:
            self._check_partial_frame_after(PARTIAL_FRAME_TIMEOUT_MS)

    def on_flushed(self) -> None:
        """Check at run time that the exchanges that have just started were allowed to."""
        if not self._unwritten_at_flush:
            return
        for exchange in self._unwritten_at_flush:
            if exchange.is_started:
                self._check_start(exchange)
        self._unwritten_at_flush = self.unwritten()

    def _check_start(self, exchange: Exchange) -> None:
        """Check at run time that an exchange whose first bytes were just written was allowed to start."""
        written_at_ms = self.connection.last_write_ms
        is_in_grace = self._readiness.is_within_drain_grace(self._owner.worker_id, written_at_ms)
        violations = start_violations(exchange, self._owner.state, written_at_ms, is_in_grace=is_in_grace)
        for violation in violations:
            self._telemetry.invariants.record(violation.invariant, violation.detail)

    def on_write_delayed(self) -> None:
        """Finish exchanges that may not be sent any more, and have the others state the time left now."""
        latest_ms = self._readiness.latest_connection_ms(self._owner.worker_id)
        for exchange in self.unwritten():
            not_sent_reason = check_exchange(exchange, self._owner.state) or check_readiness(
                exchange, self.established_at_ms, latest_ms
            )
            if not_sent_reason:
                exchange.finish_unsent(not_sent_reason, self._telemetry)
            elif exchange.pending_write is not None:
                self.connection.replace_write(exchange.pending_write, exchange.encode())

    def on_closed(self, reason: CloseReason) -> None:
        """The connection is closed."""
        self._owner.on_connection_closed(self, reason)

    def _check_partial_frame_after(self, delay_ms: float) -> None:
        self._partial_frame_timer = self._loop.timers.call_later(delay_ms, self._check_partial_frame)

    def _check_partial_frame(self) -> None:
        self._partial_frame_timer = None
        if not self._reader.has_partial_frame or self.connection.is_closed:
            return
        left_ms = PARTIAL_FRAME_TIMEOUT_MS - (monotonic_ms() - self.connection.last_received_ms)
        if left_ms > 0:
            self._check_partial_frame_after(left_ms)
        else:
            self._telemetry.log(f"worker {self._owner.worker_id}: incomplete frame")
            self.close(CloseReason.READ_TIMEOUT)
