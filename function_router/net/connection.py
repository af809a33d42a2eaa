"""A non-blocking TCP connection on the event loop, with bounded reads and queued writes."""

import contextlib
import socket
from collections.abc import Callable

from function_router.config import Address
from function_router.net import sockets
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason, reason_of_connect_error, reason_of_immediate_error
from function_router.net.connection_handler import CLOSED_CONNECTION_HANDLER, ConnectionHandler
from function_router.net.event_loop import READ, WRITE, EventLoop
from function_router.net.socket_reader import SocketReader
from function_router.net.socket_watch import SocketWatch
from function_router.net.socket_writer import SocketWriter
from function_router.net.sockets import PeekResult
from function_router.net.timer_wheel import Timer
from function_router.net.write_queue import PendingWrite

# Maximum number of reads from one connection in one turn. Together with the event loop's share of the bytes,
# the limit keeps one peer from starving the others. It is above 1 so that a cancellation, which arrives after
# the request that it cancels, can be read in the same turn, before the request is sent to a worker.
MAX_READS_PER_TURN = 4
# Minimum number of bytes that a read may take, however little the handler allows.
MIN_READ_BYTES = 1024
# How long after `close_after_flush` the peer may read the last data and close the connection itself.
LINGER_MS = 1_000.0


class Connection:
    """A non-blocking TCP connection, which owns its socket and has one handler.

    Writes are queued during a turn of the event loop and are sent in one system call at its end.

    Attributes:
        loop: The event loop that serves the connection.
        handler: The owner of the connection, which is notified of its events.
        read_allowance: Returns how many bytes one turn may read; by default, the event loop decides that.
        reader: Reads from the socket, and measures how long received bytes were unread.
        writer: Writes to the socket, and owns the queued writes.
        is_connected: Whether the connection was established; stays True after it is closed.
        is_closed: Whether the connection was closed, or could not be established.
        last_received_ms: When bytes were last received, on the monotonic clock.
        last_used_ms: When bytes were last received or written, on the monotonic clock.
    """

    __slots__ = (
        "__weakref__",
        "_close_reason_after_flush",
        "_connect_timer",
        "_is_reading",
        "_sock",
        "_watch",
        "handler",
        "is_closed",
        "is_connected",
        "last_received_ms",
        "last_used_ms",
        "loop",
        "read_allowance",
        "reader",
        "writer",
    )

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        handler: ConnectionHandler,
        *,
        is_connected: bool,
        unread_since_ms: float | None = None,
    ) -> None:
        """Own a non-blocking socket; unread bytes arrived at `unread_since_ms` (default: now) or later."""
        now_ms = monotonic_ms()
        self.loop = loop
        self.handler = handler
        self.read_allowance: Callable[[], int] | None = None
        self.reader = SocketReader(loop, sock, now_ms if unread_since_ms is None else unread_since_ms)
        self.is_connected = is_connected
        self.is_closed = False
        self.last_received_ms = now_ms
        self.last_used_ms = now_ms
        self._sock = sock
        self._is_reading = True  # whether the handler wants to read
        self.writer = SocketWriter(sock)
        self._connect_timer: Timer | None = None
        self._close_reason_after_flush: CloseReason | None = None
        mask = READ if is_connected else WRITE
        self._watch = SocketWatch(loop, sock, mask, self._on_ready, self.reader.on_watch_changed)

    @classmethod
    def accepted(
        cls,
        loop: EventLoop,
        sock: socket.socket,
        handler: ConnectionHandler,
        unread_since_ms: float | None = None,
    ) -> "Connection":
        """Take ownership of an accepted socket, whose peer connected at `unread_since_ms` or later."""
        sockets.configure_socket(sock)
        return cls(loop, sock, handler, is_connected=True, unread_since_ms=unread_since_ms)

    @classmethod
    def connect(
        cls, loop: EventLoop, address: Address, handler: ConnectionHandler, timeout_ms: float
    ) -> "Connection | CloseReason":
        """Start to connect; the handler is notified of success, failure or a timeout.

        If connecting fails at once, the reason is returned instead, and the handler is not notified.
        """
        try:
            sock = sockets.begin_connect(address)
        except OSError as error:
            return reason_of_immediate_error(error)
        try:
            connection = cls(loop, sock, handler, is_connected=False)
        except OSError as error:  # the selector cannot watch it
            sock.close()
            return reason_of_immediate_error(error)
        connection._connect_timer = loop.timers.call_later(
            timeout_ms, lambda: connection.close(CloseReason.CONNECT_TIMEOUT)
        )
        return connection

    # --- writing ------------------------------------------------------------------------------

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that are queued and not written yet."""
        return self.writer.queue.pending_bytes

    def write(self, data: bytes) -> PendingWrite:
        """Queue bytes to be written at the end of this turn; on a closed connection they are dropped."""
        pending_write = PendingWrite(data)
        if not self.is_closed:
            self.writer.queue.append(pending_write)
            self.loop.flush_later(self)
        return pending_write

    def cancel_write(self, pending_write: PendingWrite) -> bool:
        """Remove a write from the queue; return False if any of it has been written already."""
        return self.writer.queue.cancel(pending_write)

    def replace_write(self, pending_write: PendingWrite, data: bytes) -> bool:
        """Replace the bytes of a queued write; return False if any of it has been written already."""
        return self.writer.queue.replace(pending_write, data)

    def on_delayed(self) -> None:
        """Notify the handler that queued writes are delayed; the event loop calls this."""
        if not self.is_closed and self.writer.queue:
            self.handler.on_write_delayed()

    def flush(self) -> None:
        """Write as much of the queue as the socket accepts; the event loop calls this."""
        if self.is_connected and not self.is_closed and not self.writer.is_blocked:
            if self.writer.queue:
                self._write_queued()
            else:  # the write that was blocked has been cancelled
                self._update_mask()
        if self._close_reason_after_flush and not self.is_closed and not self.writer.queue:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
        if not self.is_closed:
            self.handler.on_flushed()

    def _write_queued(self) -> None:
        if reason := self.writer.flush():
            self.close(reason)
            return
        self.last_used_ms = monotonic_ms()
        self._update_mask()

    # --- reading ------------------------------------------------------------------------------

    def peek(self) -> PeekResult:
        """Return what the next read would find, without reading it."""
        return sockets.peek(self._sock)

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed the connection, even if bytes that it sent before are unread."""
        return self.is_closed or sockets.has_peer_closed(self._sock)

    def set_reading(self, *, enabled: bool) -> None:
        """Pause or resume reading, as backpressure on a peer that does not read what is sent to it."""
        if self._is_reading != enabled and not self.is_closed:
            self._is_reading = enabled
            self.reader.on_watch_changed()
            self._update_mask()

    def _update_mask(self) -> None:
        mask = (READ if self._is_reading else 0) | (WRITE if self.writer.is_blocked else 0)
        if not self.is_closed:
            self._watch.set_mask(mask)

    def _on_ready(self, mask: int) -> None:
        if not self.is_connected:
            self._finish_connect()
            return
        if mask & WRITE:
            self.writer.is_blocked = False
            self.handler.on_write_delayed()
            self.loop.flush_later(self)
        if mask & READ:
            self._read()

    def _finish_connect(self) -> None:
        if error := sockets.connect_error(self._sock):
            self.close(reason_of_connect_error(error))
            return
        self.is_connected = True
        if self._connect_timer:
            self._connect_timer.cancel()
        self.last_received_ms = monotonic_ms()
        self.last_used_ms = self.last_received_ms
        self._watch.set_mask(READ)
        self.handler.on_connected()

    def _read(self) -> None:
        self.reader.on_reported_readable()
        left_bytes = self.loop.read_share_bytes
        if self.read_allowance is not None:
            left_bytes = max(MIN_READ_BYTES, min(left_bytes, self.read_allowance()))
        for _ in range(MAX_READS_PER_TURN):
            if left_bytes <= 0 or self.is_closed or not self._is_reading:
                return
            received = self.reader.receive(left_bytes)
            if isinstance(received, CloseReason):
                self.close(received)
            if not isinstance(received, bytes):
                return
            if not self._close_reason_after_flush:
                self._deliver(received)
            left_bytes -= len(received)
            if not self.reader.should_read_again(received):
                return

    def _deliver(self, data: bytes) -> None:
        self.last_received_ms = monotonic_ms()
        self.last_used_ms = self.last_received_ms
        if not self.loop.call_safely(self.handler.on_data, data):
            self.close(CloseReason.PROTOCOL_ERROR)

    # --- closing ------------------------------------------------------------------------------

    @property
    def is_closing(self) -> bool:
        """Whether `close_after_flush` was called."""
        return self._close_reason_after_flush is not None

    def close_after_flush(self, reason: CloseReason) -> None:
        """Write what is queued, shut down the sending side, and close when the peer does or after LINGER_MS.

        Bytes received in the meantime are read and discarded: closing with unread bytes would make the kernel
        reset the connection, and the peer could lose the last data that was written.
        """
        if not self.is_closed and not self._close_reason_after_flush:
            self._close_reason_after_flush = reason
            self.loop.timers.call_later(LINGER_MS, lambda: self.close(reason))
            self.loop.flush_later(self)

    def close(self, reason: CloseReason) -> None:
        """Close at once, drop queued writes and notify the handler; further calls do nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._connect_timer:
            self._connect_timer.cancel()
        self._watch.close()
        self.read_allowance = None
        # If bytes are unread, the kernel resets the connection, which tells a client that its request was not
        # accepted.
        self._sock.close()
        self.writer.queue.clear()
        handler = self.handler
        self.handler = CLOSED_CONNECTION_HANDLER
        handler.on_closed(reason)
