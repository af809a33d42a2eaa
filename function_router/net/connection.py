"""One TCP connection of the event loop: connecting, bounded reads, partial writes and a single close."""

import contextlib
import errno
import select
import socket
from enum import Enum, auto
from typing import Protocol

from function_router.config import Address
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import (
    CloseReason,
    reason_of_broken_connection,
    reason_of_connect_error,
    reason_of_local_error,
)
from function_router.net.event_loop import READ, WRITE, EventLoop
from function_router.net.receive_timestamps import (
    ANCILLARY_BYTES,
    AncillaryData,
    receive_delay_ms,
)
from function_router.net.timer_wheel import Timer
from function_router.net.transient_errors import is_transient
from function_router.net.unread_since import UnreadSince
from function_router.net.write_queue import PendingWrite, WriteQueue

MAX_READ_BYTES = 64 * 1024  # of one read
MAX_READS_PER_TURN = 4  # so that no peer starves the others; a cancellation lies behind the request it is for
LINGER_MS = 1_000.0  # how long a peer may go on reading, and close by itself, after `close_after_flush`


class Unread(Enum):
    """What a look at a socket finds."""

    NOTHING = auto()
    DATA = auto()
    END = auto()  # the peer has closed, or the connection is broken
    UNKNOWN = auto()  # the look failed for a moment


MAY_HOLD_DATA = (Unread.DATA, Unread.UNKNOWN)


class ConnectionHandler(Protocol):
    """The owner of a connection, which is notified of what happens on it."""

    def on_connected(self) -> None:
        """The connection is established; not called for an accepted one."""

    def on_data(self, data: bytes, /) -> None:
        """Bytes were received. An exception closes the connection with PROTOCOL_ERROR."""

    def on_flushed(self) -> None:
        """The turn's write is done; `pending_bytes` may be left."""

    def on_write_delayed(self) -> None:
        """What is queued is about to be written, later than it was meant to be: the peer takes bytes again.

        It may be cancelled, or replaced where nothing of it was written.
        """

    def on_closed(self, reason: CloseReason, /) -> None:
        """The connection is closed. Called once, and last."""


class _ClosedConnectionHandler:
    """Takes the place of the handler once a connection is closed.

    A handler and its connection refer to each other: without this, both stay in memory until a full
    garbage collection, and those become ever rarer.
    """

    def on_connected(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_write_delayed(self) -> None: ...

    def on_closed(self, reason: CloseReason) -> None: ...


_CLOSED_CONNECTION_HANDLER = _ClosedConnectionHandler()


class Connection:
    """A non-blocking TCP connection, which owns its socket and has one handler.

    Writes are gathered during a turn of the event loop and go out in one system call at its end.

    Attributes:
        handler: The owner, which is notified.
        is_connected: Whether the connection was established; stays True once it is closed.
        is_closed: Whether the connection was closed, or could not be established.
        last_received_ms: When bytes were last received, on the monotonic clock.
        last_used_ms: When bytes were last received or written, on the monotonic clock.
        last_write_ms: When the last write was begun, on the monotonic clock.
        receive_delay_ms: How long the last of the bytes read had waited when the turn began.
        max_receive_delay_ms: How long the first of them can have waited at the most.
    """

    __slots__ = (
        "__weakref__",
        "_blocked",
        "_close_reason_after_flush",
        "_connect_timer",
        "_mask",
        "_reading",
        "_sock",
        "_unread_since",
        "_write_queue",
        "handler",
        "is_closed",
        "is_connected",
        "last_received_ms",
        "last_used_ms",
        "last_write_ms",
        "loop",
        "max_receive_delay_ms",
        "receive_delay_ms",
    )

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        handler: ConnectionHandler,
        is_connected: bool = True,
        unread_since_ms: float | None = None,
    ) -> None:
        """Take over a non-blocking socket; `accepted` and `connect` make one.

        What is unread on it came at `unread_since_ms` (monotonic) or later; None: now or later.
        """
        self.loop = loop
        self.handler = handler
        self.is_connected = is_connected
        self.is_closed = False
        self.last_received_ms = monotonic_ms()
        self.last_used_ms = self.last_received_ms
        self.last_write_ms = self.last_received_ms
        self.receive_delay_ms = 0.0
        self.max_receive_delay_ms = 0.0
        self._unread_since = UnreadSince(loop, unread_since_ms or self.last_received_ms)
        self._sock = sock
        self._reading = True  # whether the handler wants to read
        self._blocked = False  # whether the last write was partial: the socket's buffer is full
        self._write_queue = WriteQueue()
        self._connect_timer: Timer | None = None
        self._close_reason_after_flush: CloseReason | None = None
        self._mask = READ if is_connected else WRITE
        loop.register(sock, self._mask, self._ready)

    @classmethod
    def accepted(
        cls,
        loop: EventLoop,
        sock: socket.socket,
        handler: ConnectionHandler,
        unread_since_ms: float | None = None,
    ) -> "Connection":
        """Take over a socket that a listener accepted; its peer connected at `unread_since_ms` or later."""
        _configure(sock)
        return cls(loop, sock, handler, unread_since_ms=unread_since_ms)

    @classmethod
    def connect(
        cls, loop: EventLoop, address: Address, handler: ConnectionHandler, within_ms: float
    ) -> "Connection | CloseReason":
        """Begin to connect; the handler is notified once that succeeds, fails or takes too long.

        Returns the reason in place of a connection where connecting fails at once; the handler is not
        notified then.
        """
        try:
            sock = _begin_connect(address)
        except OSError as error:
            return reason_of_local_error(error)
        try:
            connection = cls(loop, sock, handler, is_connected=False)
        except OSError as error:  # it can't be watched
            sock.close()
            return reason_of_local_error(error)
        connection._connect_timer = loop.timers.call_later(
            within_ms, lambda: connection.close(CloseReason.CONNECT_TIMEOUT)
        )
        return connection

    # --- writing ------------------------------------------------------------------------------

    def write(self, data: bytes) -> PendingWrite:
        """Queue bytes for the write at the end of this turn; on a closed connection they are dropped."""
        pending_write = PendingWrite(data)
        if not self.is_closed:
            self._write_queue.append(pending_write)
            self.loop.flush_later(self)
        return pending_write

    def cancel_write(self, pending_write: PendingWrite) -> bool:
        """Take a write off the queue; False where a part of it has been written already."""
        return self._write_queue.cancel(pending_write)

    def replace_write(self, pending_write: PendingWrite, data: bytes) -> bool:
        """Write other bytes in its place; False where a part of it has been written already."""
        return self._write_queue.replace(pending_write, data)

    @property
    def pending_bytes(self) -> int:
        """Bytes that are queued and not written yet."""
        return self._write_queue.pending_bytes

    def on_delayed(self) -> None:
        """Have the handler look at what is queued, as it is written late; the event loop calls this."""
        if not self.is_closed and self._write_queue:
            self.handler.on_write_delayed()

    def flush(self) -> None:
        """Write what is queued, as far as the socket takes it; the event loop calls this."""
        if self.is_connected and not self.is_closed and not self._blocked:
            if self._write_queue:
                self._write_queued()
            else:  # what it was blocked for has been cancelled
                self._update_mask()
        if self._close_reason_after_flush and not self.is_closed and not self._write_queue:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
        if not self.is_closed:
            self.handler.on_flushed()

    def _write_queued(self) -> None:
        self.last_write_ms = monotonic_ms()
        try:
            count = self._sock.sendmsg(self._write_queue.next_buffers())
        except OSError as error:
            if not is_transient(error):
                self.close(reason_of_broken_connection(error))
                return
            count = 0
        self.last_used_ms = monotonic_ms()
        self._write_queue.advance(count)
        self._blocked = bool(self._write_queue)
        self._update_mask()

    def close_after_flush(self, reason: CloseReason) -> None:
        """Write what is queued and shut the sending side down; close when the peer does, or after LINGER_MS.

        What is received in the meantime is discarded: a close with bytes unread would make the kernel reset
        the connection, and the peer could lose the last replies.
        """
        if not self.is_closed and not self._close_reason_after_flush:
            self._close_reason_after_flush = reason
            self.loop.timers.call_later(LINGER_MS, lambda: self.close(reason))
            self.loop.flush_later(self)

    @property
    def is_finishing(self) -> bool:
        """Whether `close_after_flush` was called."""
        return self._close_reason_after_flush is not None

    # --- reading ------------------------------------------------------------------------------

    def peek(self) -> Unread:
        """What is next to be read; it stays unread."""
        try:
            return Unread.DATA if self._sock.recv(1, socket.MSG_PEEK) else Unread.END
        except BlockingIOError:
            return Unread.NOTHING
        except OSError as error:
            return Unread.UNKNOWN if is_transient(error) else Unread.END

    def has_peer_closed(self) -> bool:
        """Whether the peer has closed, also where bytes that it sent before are still unread."""
        unread = Unread.END if self.is_closed else self.peek()
        if unread is not Unread.DATA:
            return unread is Unread.END
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        return any(mask & select.POLLRDHUP for _, mask in poll.poll(0))

    def set_reading(self, on: bool) -> None:
        """Stop or resume reading: backpressure on a peer that does not read its replies."""
        if self._reading != on and not self.is_closed:
            self._reading = on
            self._unread_since.on_watched_again()
            self._update_mask()

    def _update_mask(self) -> None:
        mask = (READ * self._reading) | (WRITE * self._blocked)
        # A selector takes no empty mask. A connection that stopped reading without being blocked keeps its
        # mask; that is rare, as only a peer that does not read its replies is not read.
        if mask and mask != self._mask and not self.is_closed:
            self._mask = mask
            self.loop.modify(self._sock, mask, self._ready)

    def _ready(self, mask: int) -> None:
        if not self.is_connected:
            self._finish_connect()
            return
        if mask & WRITE:
            self._blocked = False
            self.handler.on_write_delayed()
            self.loop.flush_later(self)
        if mask & READ:
            self._read()

    def _finish_connect(self) -> None:
        error_number = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self.close(reason_of_connect_error(OSError(error_number, "connect")))
            return
        self.is_connected = True
        self._mask = READ
        if self._connect_timer:
            self._connect_timer.cancel()
        self.last_received_ms = monotonic_ms()
        self.last_used_ms = self.last_received_ms
        self.loop.modify(self._sock, READ, self._ready)
        self.handler.on_connected()

    def _read(self) -> None:
        self._unread_since.on_reported()
        for _ in range(MAX_READS_PER_TURN):
            count = self._read_once()
            if self.is_closed or not self._reading or not count:
                return
            if count < MAX_READ_BYTES and not self._unread_since.should_drain():
                return

    def _read_once(self) -> int:
        """Receive up to MAX_READ_BYTES; how many there were."""
        try:
            data, ancillary, _, _ = self._sock.recvmsg(MAX_READ_BYTES, ANCILLARY_BYTES)
        except OSError as error:
            if isinstance(error, BlockingIOError):
                self._unread_since.on_drained()
            elif not is_transient(error):  # else it stays readable, and is read in the next turn
                self.close(reason_of_broken_connection(error))
            return 0
        if not data:
            self.close(CloseReason.CLOSED_BY_PEER)
        elif not self._close_reason_after_flush:
            self._deliver(data, ancillary)
        return len(data)

    def _deliver(self, data: bytes, ancillary: AncillaryData) -> None:
        self.last_received_ms = monotonic_ms()
        self.last_used_ms = self.last_received_ms
        loop = self.loop
        self.max_receive_delay_ms = self._unread_since.max_wait_ms
        self.receive_delay_ms = receive_delay_ms(
            ancillary, loop.turn_started_unix_ms, loop.wall_clock_step_ms, self.max_receive_delay_ms
        )
        try:
            self.handler.on_data(data)
        except Exception:  # noqa: BLE001 - whatever a peer sends, it costs no more than its own connection
            self.loop.report_exception("reading")
            self.close(CloseReason.PROTOCOL_ERROR)

    # --- closing ------------------------------------------------------------------------------

    def close(self, reason: CloseReason) -> None:
        """Close at once, drop what is queued and notify the handler; further calls do nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._connect_timer:
            self._connect_timer.cancel()
        self.loop.unregister(self._sock)
        # Unread bytes stay unread, which makes this a reset: by that a client knows that a request which
        # crossed the close was not taken.
        self._sock.close()
        self._write_queue.clear()
        handler = self.handler
        self.handler = _CLOSED_CONNECTION_HANDLER
        handler.on_closed(reason)


def address_family(address: Address) -> socket.AddressFamily:
    """The address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def _configure(sock: socket.socket) -> None:
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # small messages should not wait for an ACK, but may
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _begin_connect(address: Address) -> socket.socket:
    """Make a socket that is connecting, or is connected already; raises OSError."""
    sock = socket.socket(address_family(address), socket.SOCK_STREAM)
    try:
        _configure(sock)
        error_number = sock.connect_ex(address)
    except OSError:
        sock.close()
        raise
    if error_number not in (0, errno.EINPROGRESS, errno.EINTR):  # interrupted, it goes on coming up
        sock.close()
        raise OSError(error_number, "connect")
    return sock
