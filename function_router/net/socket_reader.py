"""Reads from a socket, and measures how long the received bytes were unread."""

import socket

from function_router.net import sockets
from function_router.net.close_reason import CloseReason, reason_of_broken_connection
from function_router.net.event_loop import EventLoop
from function_router.net.receive_timestamps import ANCILLARY_BYTES, receive_delay_ms
from function_router.net.transient_errors import is_transient
from function_router.net.unread_since import UnreadSince

# Maximum number of bytes per read.
MAX_READ_BYTES = 64 * 1024


class SocketReader:
    """Reads from one socket, which is owned by the connection that uses the reader.

    Attributes:
        receive_delay_ms: How long the last byte of the last read was unread when the turn began.
        max_receive_delay_ms: Upper limit of the time for which the first byte of that read was unread.
    """

    __slots__ = ("_loop", "_sock", "_unread_since", "max_receive_delay_ms", "receive_delay_ms")

    def __init__(self, loop: EventLoop, sock: socket.socket, unread_since_ms: float) -> None:
        """Create a reader; unread bytes of the socket arrived at `unread_since_ms` (monotonic) or later."""
        self.receive_delay_ms = 0.0
        self.max_receive_delay_ms = 0.0
        self._loop = loop
        self._sock = sock
        self._unread_since = UnreadSince(loop, unread_since_ms)

    def on_reported_readable(self) -> None:
        """Record that the last poll reported the socket as readable."""
        self._unread_since.on_reported_readable()

    def on_watch_changed(self) -> None:
        """Record that the event loop starts or stops watching the socket.

        The polls so far then prove nothing about its data.
        """
        self._unread_since.on_watch_changed()

    def receive(self, max_bytes: int = MAX_READ_BYTES) -> bytes | CloseReason | None:
        """Read up to `max_bytes`, and not more than MAX_READ_BYTES.

        Returns:
            The bytes; None if there is nothing to read now; the reason to close the connection if the peer
            has closed it or it is broken.
        """
        try:
            data, ancillary, _, _ = self._sock.recvmsg(min(max_bytes, MAX_READ_BYTES), ANCILLARY_BYTES)
        except BlockingIOError:
            self._unread_since.on_read_empty()
            return None
        except OSError as error:
            # After a transient error the socket stays readable, so the next turn retries.
            return None if is_transient(error) else reason_of_broken_connection(error)
        if not data:
            return CloseReason.CLOSED_BY_PEER
        loop = self._loop
        self.max_receive_delay_ms = self._unread_since.max_receive_delay_ms
        self.receive_delay_ms = receive_delay_ms(
            ancillary, loop.turn_started_unix_ms, loop.wall_clock_step_ms, self.max_receive_delay_ms
        )
        return data

    def count_unread(self, max_bytes: int) -> int:
        """Return how many bytes a read of up to `max_bytes` would find, without reading them."""
        return sockets.count_unread(self._sock, max_bytes)

    def should_read_again(self, data: bytes) -> bool:
        """Return whether to read again in this turn after a read that returned `data`.

        After a full read, more data is likely. A socket that every poll has reported as readable for a long
        time is read until it is empty, as only this proves that later data is new.
        """
        return len(data) >= MAX_READ_BYTES or self._unread_since.should_read_until_empty()
