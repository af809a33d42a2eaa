"""One connection to a worker, and the exchanges in flight on it."""

from typing import TYPE_CHECKING, Protocol

from function_router.config import TransportSettings
from function_router.errors import FunctionRouterError
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames as frames
from function_router.net.connection import Connection, Unread
from function_router.net.event_loop import EventLoop
from function_router.net.send_checks import check_exchange
from function_router.net.telemetry import Telemetry
from function_router.net.timer_wheel import Timer
from function_router.net.worker_messages import Attempt, Exchange

if TYPE_CHECKING:
    from function_router.net.pooled_worker import PooledWorker

# A connection on which answers are outstanding and nothing came for this long gets nothing new.
UNRESPONSIVE_AFTER_MS = 1_000.0
# A partial frame to which nothing was added for this long was cut off: nothing after it can be read.
PARTIAL_FRAME_TIMEOUT_MS = 250.0
# A reset so soon after the first bytes since an idle time shows a stale connection, not a faulty request.
STALE_RESET_MS = 20.0
# Exchange ids remembered on one connection, as late or duplicate answers to them may still come.
MAX_USED_IDS = 1_024
# Unwritten on one connection: a worker that does not read gets no more.
MAX_PENDING_BYTES = 256 * 1024

_CLOSED_BY_NETWORK = (CloseReason.RESET_BY_PEER, CloseReason.CLOSED_BY_PEER)


class ConnectError(FunctionRouterError):
    """No connection to a worker could even be tried; `reason` says why."""

    def __init__(self, worker: "PooledWorker", reason: CloseReason) -> None:
        super().__init__(f"cannot connect to worker {worker.worker_id} at {worker.address}: {reason.name}")
        self.reason = reason


class WorkerConnectionOwner(Protocol):
    """Whoever is notified of what happens on connections to workers."""

    def on_worker_connected(self, connection: "WorkerConnection") -> None:
        """The connection is established."""

    def on_worker_closed(self, connection: "WorkerConnection", reason: CloseReason) -> None:
        """The connection is closed, or could not be established; its exchanges are still on it."""

    def on_started(self, exchange: Exchange, written_at_ms: float) -> None:
        """The first byte of an exchange was written, at this time of the monotonic clock."""


class WorkerConnection:
    """One connection to a worker, and the exchanges in flight on it; closed by its owner, the pool.

    Args:
        loop: the event loop that serves it.
        worker: the worker to connect to, at its present address.
        owner: notified of what happens.
        wire: for the connect timeout and the most exchanges on one connection.
        telemetry: for what the worker did wrong.

    Raises:
        ConnectError: the connection could not even be tried.
    """

    __slots__ = (
        "_idle_before_use_ms",
        "_in_use_since_ms",
        "_last_removed_ms",
        "_loop",
        "_max_exchanges",
        "_owner",
        "_partial_frame_timer",
        "_reader",
        "_telemetry",
        "_unstarted",
        "_used_ids",
        "connection",
        "exchanges",
        "is_retired",
        "worker",
    )

    def __init__(
        self,
        loop: EventLoop,
        worker: "PooledWorker",
        owner: WorkerConnectionOwner,
        wire: TransportSettings,
        telemetry: Telemetry,
    ) -> None:
        self.worker = worker
        self.exchanges: dict[bytes, Exchange] = {}
        self.is_retired = False  # gets nothing new, and is closed once empty
        self._loop = loop
        self._owner = owner
        self._telemetry = telemetry
        self._max_exchanges = wire.max_exchanges_per_connection
        self._reader = frames.FrameReader()
        self._used_ids: dict[bytes, None] = {}  # ids that may not be used again here, oldest first
        self._unstarted: list[Exchange] = []  # of which no byte had been written when it was last looked
        self._partial_frame_timer: Timer | None = None
        self._in_use_since_ms = 0.0  # when it last went from idle to in use
        self._idle_before_use_ms = 0.0  # for how long it had been idle by then
        self._last_removed_ms = 0.0
        connection = Connection.connect(loop, worker.address, self, wire.connect_timeout_ms)
        if isinstance(connection, CloseReason):
            raise ConnectError(worker, connection)
        self.connection = connection

    # --- state ------------------------------------------------------------------------------

    @property
    def is_connected(self) -> bool:
        """Whether it is established and open."""
        return self.connection.is_connected and not self.connection.is_closed

    @property
    def was_established(self) -> bool:
        """Whether it has ever been established, also where it is closed by now."""
        return self.connection.is_connected

    @property
    def idle_before_use_ms(self) -> float:
        """For how long it had been idle when it was last used after an idle time."""
        return self._idle_before_use_ms

    def idle_ms(self) -> float:
        """For how long it has been idle; 0 while exchanges are in flight."""
        return 0.0 if self.exchanges else monotonic_ms() - self.connection.last_used_ms

    def is_unresponsive(self) -> bool:
        """Whether answers are outstanding and nothing came for long.

        The connections to a machine that vanished stay open and silent.
        """
        return bool(self.exchanges) and monotonic_ms() - self._silent_since_ms() > UNRESPONSIVE_AFTER_MS

    def accepts(self, exchange_id: bytes) -> bool:
        """Whether an exchange of this id may be put on it."""
        has_room = len(self.exchanges) < self._max_exchanges
        is_new_id = exchange_id not in self.exchanges and exchange_id not in self._used_ids
        return has_room and is_new_id and self.connection.pending_bytes < MAX_PENDING_BYTES

    def has_reached_end_of_stream(self) -> bool:
        """Whether the worker has closed it, with nothing unread before that."""
        return self.connection.peek() is Unread.END

    def was_stale(self, reason: CloseReason) -> bool:
        """Whether it broke as soon as it was used after an idle time.

        Args:
            reason: why it closed; its exchanges have to be on it still.
        """
        is_broken_in_use = reason in _CLOSED_BY_NETWORK and bool(self.exchanges)
        return is_broken_in_use and monotonic_ms() - self._in_use_since_ms < STALE_RESET_MS

    def unwritten(self) -> list[Exchange]:
        """The exchanges of which the worker has got no byte."""
        return [exchange for exchange in self.exchanges.values() if not exchange.is_started]

    def _silent_since_ms(self) -> float:
        return max(self.connection.last_received_ms, self._in_use_since_ms)

    # --- exchanges --------------------------------------------------------------------------

    def start(self, exchange: Exchange) -> None:
        """Put an exchange on it, to be written at the end of this turn of the loop."""
        if not self.exchanges:
            self._idle_before_use_ms = self.idle_ms()
            self._in_use_since_ms = monotonic_ms()
        self.exchanges[exchange.exchange_id] = exchange
        exchange.connection_wait_ms = monotonic_ms() - exchange.created_at_ms
        exchange.pending_write = self.connection.write(exchange.encode())
        exchange.holder = self
        self._unstarted.append(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Take out an exchange without an answer, and cancel an attempt that the worker may have received."""
        self.exchanges.pop(exchange.exchange_id, None)
        pending_write = exchange.pending_write
        if pending_write is not None and self.connection.cancel_write(pending_write):
            return
        self._last_removed_ms = monotonic_ms()
        if isinstance(exchange, Attempt):
            self.connection.write(frames.encode_cancel(exchange.exchange_id))
        self._forbid_id(exchange.exchange_id)

    def on_exchange_finished(self) -> None:
        """Close it if it was kept only for this exchange."""
        self.close_if_retired_and_empty()

    def take_all_exchanges(self) -> list[Exchange]:
        """Take all exchanges off a closed connection, oldest first."""
        exchanges = list(self.exchanges.values())
        self.exchanges = {}
        return exchanges

    def _forbid_id(self, exchange_id: bytes) -> None:
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
        self.close_if_retired_and_empty()

    def close_if_retired_and_empty(self) -> None:
        """Close it where it was only kept for exchanges that are over."""
        if self.is_retired and not self.exchanges and self.is_connected:
            self.close(CloseReason.ENDPOINT_REPLACED)

    def close_if_idle(self, max_idle_ms: float) -> None:
        """Close it where it was idle for too long, or silent until its last exchange was withdrawn."""
        if not self.is_connected or self.exchanges:
            return
        if self._last_removed_ms - self._silent_since_ms() > UNRESPONSIVE_AFTER_MS:
            self.close(CloseReason.READ_TIMEOUT)
        elif self.idle_ms() > max_idle_ms:
            self.close(CloseReason.IDLE)

    # --- from the connection ----------------------------------------------------------------

    def on_connected(self) -> None:
        """The connection is established."""
        self._owner.on_worker_connected(self)

    def on_data(self, data: bytes) -> None:
        """Bytes came: hand on the answers in them."""
        for frame in self._reader.feed(data):
            exchange = self.exchanges.pop(frame.exchange_id, None)
            if exchange is None:  # a late or duplicate answer
                continue
            if frame.code != frames.OK:  # a retry may come here, which a duplicate of this must not end
                self._forbid_id(frame.exchange_id)
            exchange.finish(exchange.parse_answer(frame))
        if self._reader.error is not None:
            self._telemetry.log(f"worker {self.worker.worker_id}: invalid frame: {self._reader.error}")
            self.close(CloseReason.PROTOCOL_ERROR)
        elif self._reader.has_partial_frame and self._partial_frame_timer is None:
            self._check_partial_frame_after(PARTIAL_FRAME_TIMEOUT_MS)

    def on_flushed(self) -> None:
        """Notify the owner of the exchanges of which the first byte has just been written."""
        if not self._unstarted:
            return
        for exchange in self._unstarted:
            if exchange.is_started:
                self._owner.on_started(exchange, self.connection.last_write_ms)
        self._unstarted = self.unwritten()

    def on_write_delayed(self) -> None:
        """Refuse exchanges that may not start any more, and have the others state the time left now."""
        for exchange in self.unwritten():
            if not_sent_reason := check_exchange(exchange, self.worker.state):
                exchange.finish_unsent(not_sent_reason, self._telemetry)
            elif exchange.pending_write is not None:
                self.connection.replace_write(exchange.pending_write, exchange.encode())

    def on_closed(self, reason: CloseReason) -> None:
        """The connection is closed."""
        self._owner.on_worker_closed(self, reason)

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
            self._telemetry.log(f"worker {self.worker.worker_id}: incomplete frame")
            self.close(CloseReason.READ_TIMEOUT)
