"""Writes to a socket what is queued for it, in as few system calls as possible."""

import socket

from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason, reason_of_broken_connection
from function_router.net.transient_errors import is_transient
from function_router.net.write_queue import WriteQueue


class SocketWriter:
    """Writes to one socket, which is owned by the connection that uses the writer.

    Attributes:
        queue: The bytes that are not written yet.
        is_blocked: Whether the last write left bytes in the queue, for which the socket must become writable.
        last_write_ms: When the last write started, on the monotonic clock.
    """

    __slots__ = ("_sock", "is_blocked", "last_write_ms", "queue")

    def __init__(self, sock: socket.socket) -> None:
        self.queue = WriteQueue()
        self.is_blocked = False
        self.last_write_ms = monotonic_ms()
        self._sock = sock

    def flush(self) -> CloseReason | None:
        """Write as much as the socket accepts, in one system call.

        Returns:
            The reason to close the connection if it is broken; otherwise None.
        """
        self.last_write_ms = monotonic_ms()
        try:
            count = self._sock.sendmsg(self.queue.next_buffers())
        except OSError as error:
            if not is_transient(error):
                return reason_of_broken_connection(error)
            count = 0
        self.queue.advance(count)
        self.is_blocked = bool(self.queue)
        return None
