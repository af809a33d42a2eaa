"""Reads from a socket, and measures for how long the received bytes had been unread."""

import socket

from function_router.net.close_reason import CloseReason, reason_of_broken_connection
from function_router.net.event_loop import EventLoop
from function_router.net.receive_timestamps import ANCILLARY_BYTES, receive_delay_ms
from function_router.net.transient_errors import is_transient
from function_router.net.unread_since import UnreadSince

# Of one read.
MAX_READ_BYTES = 64 * 1024


class SocketReader:
    """Reads from one socket, which the connection that uses this owns.

    Attributes:
        receive_delay_ms: For how long the last byte that was received had been unread when the turn began.
        max_receive_delay_ms: The longest time for which the first bytes of that read can have been unread.
    """

    __slots__ = ("_loop", "_sock", "_unread_since", "max_receive_delay_ms", "receive_delay_ms")

    def __init__(self, loop: EventLoop, sock: socket.socket, unread_since_ms: float) -> None:
        """Read from a socket on which nothing was unread at `unread_since_ms`, on the monotonic clock."""
        self.receive_delay_ms = 0.0
        self.max_receive_delay_ms = 0.0
        self._loop = loop
        self._sock = sock
        self._unread_since = UnreadSince(loop, unread_since_ms)

    def on_reported_readable(self) -> None:
        """The last poll reported the socket as readable."""
        self._unread_since.on_reported_readable()

    def on_watch_resumed(self) -> None:
        """The event loop did not watch the socket for reading for a while."""
        self._unread_since.on_watch_resumed()

    def receive(self) -> bytes | CloseReason | None:
        """Read up to MAX_READ_BYTES.

        Returns:
            The bytes; None where there is nothing to read for now; the reason to close the connection where
            the peer has closed it or it is broken.
        """
        try:
            data, ancillary, _, _ = self._sock.recvmsg(MAX_READ_BYTES, ANCILLARY_BYTES)
        except BlockingIOError:
            self._unread_since.on_read_empty()
            return None
        except OSError as error:
            # After a transient error the socket is still readable, so that the next turn tries again.
            return None if is_transient(error) else reason_of_broken_connection(error)
        if not data:
            return CloseReason.CLOSED_BY_PEER
        loop = self._loop
        self.max_receive_delay_ms = self._unread_since.max_wait_ms
        self.receive_delay_ms = receive_delay_ms(
            ancillary, loop.turn_started_unix_ms, loop.wall_clock_step_ms, self.max_receive_delay_ms
        )
        return data

    def should_read_again(self, data: bytes) -> bool:
        """Whether to read on in this turn after a read of these bytes.

        There is probably more where a read was full. A socket that has been readable at each poll for long
        is read until nothing is left, as only that proves that what comes next is new.
        """
        return len(data) >= MAX_READ_BYTES or self._unread_since.should_read_until_empty()
