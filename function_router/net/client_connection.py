"""One client connection: its reads and writes, its timeouts and its end."""

import socket
from typing import Protocol

from function_router.net.client_messages import ClientMessages
from function_router.net.client_session import ClientService, ClientSession
from function_router.net.close_reason import CloseReason
from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.invariants import Invariant
from function_router.net.sockets import MAY_HOLD_DATA

# The client closed the connection or does not read its answers, so that nobody waits for one.
CLIENT_GONE_REASONS = (CloseReason.CLOSED_BY_PEER, CloseReason.RESET_BY_PEER, CloseReason.WRITE_BUFFER_FULL)

# Clients close after 4 s without a request; one that is idle for this long would otherwise never be closed.
IDLE_TIMEOUT_MS = 30_000.0
# Bytes that can have been unread for longer arrived while the process was stalled. The messages of one read
# may then differ in age; otherwise they count as equally old.
MIN_STALL_MS = 100.0

# A client with more bytes of unread answers is not read from.
HIGH_WATER_BYTES = 64 * 1024
# A client with more bytes of unread answers is disconnected.
MAX_UNWRITTEN_BYTES = 1024 * 1024
# Where all clients together have more, those that are not read from are disconnected: memory is limited.
MAX_TOTAL_UNWRITTEN_BYTES = 32 * 1024 * 1024


class ClientConnectionOwner(ClientService, Protocol):
    """Whoever accepted the connections of clients, and is notified when they close.

    Attributes:
        loop: The event loop that serves the connections.
    """

    loop: EventLoop

    def unwritten_bytes(self) -> int:
        """Bytes of answers to all clients that have yet to be written."""

    def on_client_closed(self, client: "ClientConnection", reason: CloseReason, /) -> None:
        """The connection is closed."""


class ClientConnection:
    """One client connection, which passes the client's messages on to its session.

    Attributes:
        connection: The TCP connection.
        messages: Reads the messages.
        session: Handles the messages; has the pending requests.
    """

    __slots__ = ("__weakref__", "_owner", "connection", "messages", "session")

    def __init__(self, owner: ClientConnectionOwner, sock: socket.socket, earliest_connect_ms: float) -> None:
        """Serve an accepted socket, whose client connected at `earliest_connect_ms` (monotonic) or later."""
        self._owner = owner
        self.messages = ClientMessages()
        self.connection = Connection.accepted(owner.loop, sock, self, earliest_connect_ms)
        self.session = ClientSession(owner, self.connection)

    # --- from the connection ------------------------------------------------------------------

    def on_connected(self) -> None:
        """Do nothing: an accepted connection is connected from the start."""

    def on_data(self, data: bytes) -> None:
        """Handle the messages that these bytes complete."""
        messages = self.messages.feed(data)
        for number, message in enumerate(messages, 1):
            if self.connection.is_closed or self.connection.is_closing:
                return
            is_last = number == len(messages) and not self.messages.has_partial_message
            self.session.on_message(message, self._age_ms(is_last=is_last))

    def _age_ms(self, *, is_last: bool) -> float:
        """For how long a message was unread: exact for one whose last byte is the last byte of the read.

        Those before it may be older, which matters after the process has stalled: they are taken to be as old
        as they can be.
        """
        max_age_ms = self.connection.reader.max_receive_delay_ms
        if is_last or max_age_ms <= MIN_STALL_MS:
            return self.connection.reader.receive_delay_ms
        return max_age_ms

    def on_flushed(self) -> None:
        """Stop reading from a client that does not read, and disconnect it once too much is unread.

        While it has pending requests it is read from all the same, as it may cancel them or disconnect.
        """
        unwritten_bytes = self.connection.pending_bytes
        self.connection.set_reading(enabled=unwritten_bytes < HIGH_WATER_BYTES or bool(self.session.pending))
        if unwritten_bytes > MAX_UNWRITTEN_BYTES or (
            unwritten_bytes > HIGH_WATER_BYTES and self._owner.unwritten_bytes() > MAX_TOTAL_UNWRITTEN_BYTES
        ):
            self.connection.close(CloseReason.WRITE_BUFFER_FULL)

    def on_write_delayed(self) -> None:
        """Do nothing: an answer is written even if that is late."""

    def on_closed(self, reason: CloseReason) -> None:
        """Cancel the pending requests; nobody waits for their answers."""
        pending_count = len(self.session.pending)
        if pending_count and reason not in CLIENT_GONE_REASONS:
            detail = f"{reason.name} with {pending_count} requests pending"
            self._owner.telemetry.invariants.record(Invariant.CLOSED_WITH_ANSWERS, detail)
        self.session.cancel_pending()
        self._owner.on_client_closed(self, reason)

    # --- timeouts -----------------------------------------------------------------------------

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection if it is idle, or if its message has taken too long."""
        if self.session.pending:
            return
        if now_ms - self.connection.last_used_ms > IDLE_TIMEOUT_MS:
            self.close_unless_data_arrived()
        elif self.messages.is_overdue(now_ms, self.connection.last_received_ms):
            self._close_overdue()

    def _close_overdue(self) -> None:
        if self.messages.has_received_data:
            self.session.fail_pending_and_close(CloseReason.READ_TIMEOUT)
        else:
            self.close_unless_data_arrived()

    def close_unless_data_arrived(self) -> bool:
        """Close it, unless something that the client sent is yet to be read; whether it was closed."""
        if self.connection.peek() in MAY_HOLD_DATA and not self.connection.is_closing:
            return False
        is_idle = self.messages.has_received_message
        self.connection.close(CloseReason.IDLE if is_idle else CloseReason.READ_TIMEOUT)
        return True

    # --- state, as the listener needs it ------------------------------------------------------

    def is_idle(self) -> bool:
        """Whether no request is pending and no answer is left to be written."""
        return not self.session.pending and not self.connection.pending_bytes

    def is_silent_since(self, time_ms: float) -> bool:
        """Whether it has sent no byte yet and connected before this time."""
        return not self.messages.has_received_data and self.connection.last_used_ms < time_ms

    def has_unread_data(self) -> bool:
        """Whether the client has sent something that is unread, or a part of a message."""
        return not self.connection.is_closing and (
            self.messages.has_partial_message or self.connection.peek() in MAY_HOLD_DATA
        )

    def eviction_order(self) -> tuple[bool, bool, float]:
        """Sort key of idle connections: the first one is closed first where there are too many.

        The order is: connections that are being closed already, those without an incomplete message, and the
        others; within each group, those that have been idle for longest.
        """
        return (
            not self.connection.is_closing,
            self.messages.has_partial_message,
            self.connection.last_used_ms,
        )
