"""One TCP connection: dialling, bounded reads, partial writes, and its single end."""

import contextlib
import errno
import select
import socket
import struct
from collections import deque
from itertools import islice
from typing import Protocol

from function_router.config import Address
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason, reason_of_os_error
from function_router.net.event_loop import READ, WRITE, EventLoop
from function_router.net.timer_wheel import Timer

MAX_READ_BYTES = 64 * 1024  # bytes taken at once
MAX_READS_PER_TURN = (
    4  # in a turn, so that none starves the others; what a peer takes back lies behind what it asks
)
SO_TIMESTAMPNS = 35  # Linux: each read tells when its bytes came in
STAMP = struct.Struct("@qq")
ANCILLARY_BYTES = socket.CMSG_SPACE(STAMP.size)
MAX_RECEIVE_DELAY_MS = 60_000.0
MAX_WRITES_PER_FLUSH = 64  # in one write
LINGER_MS = 1_000.0  # for a peer that is being finished with: it may still read, and end by itself


def enable_receive_timestamps(listener: socket.socket) -> None:
    """Have the system stamp what comes in; set before listening, as connections inherit it from the start."""
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


class PendingWrite:
    """Bytes to be written, and how many have been."""

    __slots__ = ("data", "written")

    def __init__(self, data: bytes) -> None:
        self.data, self.written = data, 0


class ConnectionHandler(Protocol):
    """Whoever is told what happens on a connection."""

    def on_connected(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_writable(self) -> None: ...

    def on_closed(self, end: CloseReason) -> None: ...


class _Nobody:
    """Owns connections that have ended. Guards the memory: handler and connection would hold each other until
    a full collection, which comes ever more seldom."""

    def on_connected(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_writable(self) -> None: ...

    def on_closed(self, end: CloseReason) -> None: ...


NOBODY = _Nobody()


class Connection:
    def __init__(
        self, loop: EventLoop, sock: socket.socket, handler: ConnectionHandler, is_connected: bool = True
    ) -> None:
        self.loop, self.handler, self.is_connected, self.is_closed = loop, handler, is_connected, False
        self.last_received_ms = self.last_used_ms = monotonic_ms()
        self.pending_bytes = 0
        self.receive_delay_ms = 0.0  # of the bytes read last
        self._sock, self._reading, self._blocked = sock, True, False
        self._outbox: deque[PendingWrite] = deque()
        self._connect_timer: Timer | None = None
        self._finishing: CloseReason | None = None
        self._mask = READ if is_connected else WRITE
        loop.register(sock, self._mask, self._ready)

    @classmethod
    def accepted(cls, loop: EventLoop, sock: socket.socket, handler: ConnectionHandler) -> "Connection":
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(loop, sock, handler)

    @classmethod
    def connect(
        cls, loop: EventLoop, address: Address, handler: ConnectionHandler, within_ms: float
    ) -> "Connection | CloseReason":
        """A connection that comes up or ends later; or why it can't even be tried."""
        sock = None
        try:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, "connect")
        except OSError as error:
            if sock is not None:
                sock.close()
            return reason_of_os_error(error)
        made = cls(loop, sock, handler, is_connected=False)
        made._connect_timer = loop.timers.call_later(
            within_ms, lambda: made.close(CloseReason.CONNECT_TIMEOUT)
        )
        return made

    # --- writing ------------------------------------------------------------------------------

    def write(self, data: bytes) -> PendingWrite:
        """Queue bytes for this turn's one write."""
        piece = PendingWrite(data)
        if not self.is_closed:
            self._outbox.append(piece)
            self.pending_bytes += len(data)
            self.loop.flush_later(self)
        return piece

    def cancel_write(self, piece: PendingWrite) -> bool:
        """Unqueue a piece of which nothing has been written; False where it is too late."""
        if piece.written or piece not in self._outbox:
            return False
        self._outbox.remove(piece)
        self.pending_bytes -= len(piece.data)
        return True

    def flush(self) -> None:
        if self.is_connected and not self.is_closed and not self._blocked and self._outbox:
            self._write_out()
        if self._finishing and not self.is_closed and not self._outbox:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
        if not self.is_closed:
            self.handler.on_flushed()

    def _write_out(self) -> None:
        pieces = list(islice(self._outbox, MAX_WRITES_PER_FLUSH))
        views = [memoryview(piece.data)[piece.written :] for piece in pieces]
        try:
            count = self._sock.sendmsg(views)
        except BlockingIOError:
            count = 0
        except OSError as error:
            self.close(reason_of_os_error(error))
            return
        self.pending_bytes -= count
        self.last_used_ms = monotonic_ms()
        for piece in pieces:
            step = min(count, len(piece.data) - piece.written)
            piece.written, count = piece.written + step, count - step
            if piece.written < len(piece.data):
                break
            self._outbox.popleft()
        self._blocked = bool(self._outbox)
        self._set_mask()

    def close_after_flush(self, end: CloseReason) -> None:
        """End it after what is queued: written first, then ended on this side, and read on without keeping.
        Guards the last answers, which a close with bytes unread would reset. Harm: it lives on a while."""
        if not self.is_closed and not self._finishing:
            self._finishing = end
            self.loop.timers.call_later(LINGER_MS, lambda: self.close(end))
            self.loop.flush_later(self)

    @property
    def is_finishing(self) -> bool:
        return self._finishing is not None

    def peek(self) -> bytes | None:
        """A look at what lies unread: None where nothing does, empty where the peer has ended it."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def has_peer_closed(self) -> bool:
        """Whether the peer's end has come, also where it lies behind bytes that are unread."""
        unread = b"" if self.is_closed else self.peek()
        if not unread:
            return unread is not None
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        return any(mask & select.POLLRDHUP for _, mask in poll.poll(0))

    # --- reading ------------------------------------------------------------------------------

    def set_reading(self, on: bool) -> None:
        """Stop or go on reading: a peer that does not read its answers is not read either."""
        if self._reading != on and not self.is_closed:
            self._reading = on
            self._set_mask()

    def _set_mask(self) -> None:
        mask = (READ * self._reading) | (WRITE * self._blocked)
        # A selector takes no empty mask; a blocked writer always has one, and only such stop reading.
        if mask and mask != self._mask and not self.is_closed:
            self._mask = mask
            self.loop.modify(self._sock, mask, self._ready)

    def _ready(self, mask: int) -> None:
        if not self.is_connected:
            self._on_connect_result()
            return
        if mask & WRITE:
            self._blocked = False
            self.handler.on_writable()
            self.loop.flush_later(self)
        if mask & READ:
            self._read()

    def _on_connect_result(self) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close(reason_of_os_error(OSError(code, "connect")))
            return
        self.is_connected, self._mask = True, READ
        if self._connect_timer:
            self._connect_timer.cancel()
        self.last_received_ms = self.last_used_ms = monotonic_ms()
        self.loop.modify(self._sock, READ, self._ready)
        self.handler.on_connected()

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            if self._read_once() < MAX_READ_BYTES or self.is_closed or not self._reading:
                return

    def _read_once(self) -> int:
        """Take in what has come, READ_MOST bytes at the most; how many there were."""
        try:
            data, notes, _, _ = self._sock.recvmsg(MAX_READ_BYTES, ANCILLARY_BYTES)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.close(reason_of_os_error(error))
            return 0
        if not data:
            self.close(CloseReason.CLOSED_BY_PEER)
        elif not self._finishing:
            self._hand_over(data, notes)
        return len(data)

    def _hand_over(self, data: bytes, notes: list[tuple[int, int, bytes]]) -> None:
        self.last_received_ms = self.last_used_ms = monotonic_ms()
        self.receive_delay_ms = self._age(notes)
        try:
            self.handler.on_data(data)
        except Exception:  # whatever a peer managed to send, it costs no more than its own connection
            self.loop.report_exception("reading")
            self.close(CloseReason.PROTOCOL_ERROR)

    def _age(self, notes: list[tuple[int, int, bytes]]) -> float:
        """How long the last of the bytes just read had waited when the turn began, by the system's stamp.
        Guards deadlines: a process that was held up reads late, but the client's time has run on."""
        for level, kind, note in notes:
            if (level, kind, len(note)) == (socket.SOL_SOCKET, SO_TIMESTAMPNS, STAMP.size):
                seconds, nanoseconds = STAMP.unpack(note)
                age = self.loop.turn_started_unix_ms - seconds * 1e3 - nanoseconds / 1e6
                return age if 0 < age < MAX_RECEIVE_DELAY_MS else 0.0  # else the clock was set in between
        return 0.0

    def _part(self) -> None:
        """Guards answers that are still on their way: closing with unread bytes would reset them."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            self._sock.recv(MAX_READ_BYTES)

    def close(self, end: CloseReason) -> None:
        """The one way out; the handler hears of it once."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._connect_timer:
            self._connect_timer.cancel()
        self.loop.unregister(self._sock)
        if self.is_connected and end in (CloseReason.IDLE, CloseReason.SHUTDOWN):
            self._part()
        self._sock.close()
        self._outbox.clear()
        self.pending_bytes = 0
        handler, self.handler = self.handler, NOBODY
        handler.on_closed(end)
