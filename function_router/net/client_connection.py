"""One client connection: queues messages, limits unwritten answers, and closes on timeouts."""

import socket
from typing import Protocol

from function_router.net.client_messages import ClientMessages
from function_router.net.client_session import ClientService, ClientSession
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import thrift
from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.invariants import Invariant
from function_router.net.memory_budget import MemoryAccount, MemoryOwner
from function_router.net.paused_clients import PausedClients
from function_router.net.sockets import MAY_HOLD_DATA
from function_router.net.telemetry import CLIENTS_OVER_SHARE, READING_PAUSED
from function_router.net.unhandled_messages import ReceivedMessage, UnhandledMessages

# Close reasons after which the client no longer waits for answers: it has closed the connection, or does not
# read its answers.
CLIENT_GONE_REASONS = (CloseReason.CLOSED_BY_PEER, CloseReason.RESET_BY_PEER, CloseReason.WRITE_BUFFER_FULL)

# How long a connection may be idle before the router closes it. Clients close a connection after 4 s without
# a request, so one that stays idle for IDLE_TIMEOUT_MS would never be closed by its client.
IDLE_TIMEOUT_MS = 30_000.0
# If bytes may have been unread for longer than this, the process has been stalled, and the messages of one
# read may differ in age. Otherwise all messages of a read are treated as equally old.
MIN_STALL_MS = 100.0

# Maximum size of the messages of one client that are read and not handled yet; above it, reading pauses.
MAX_UNHANDLED_BYTES = 128 * 1024
# Timeout for the rest of a message while its client has more than its share of the memory for input. Such
# messages would otherwise keep the memory until their usual timeouts.
MESSAGE_TIMEOUT_WITHOUT_MEMORY_MS = 500.0
# High-water mark: reading from a client pauses once the unwritten answers to it reach this size.
HIGH_WATER_BYTES = 64 * 1024
# Maximum size of the unwritten answers to one client; above it, the client is disconnected.
MAX_UNWRITTEN_BYTES = 1024 * 1024


class ClientConnectionOwner(ClientService, Protocol):
    """Accepts the connections of clients, and is notified when they close.

    Attributes:
        loop: The event loop that serves the connections.
        paused_clients: The clients that are not read for want of memory.
    """

    loop: EventLoop
    paused_clients: PausedClients

    def close_heaviest_until_in_share(self) -> None:
        """Close the clients with most unwritten answers until those of all clients are within their share."""

    def on_client_closed(self, client: "ClientConnection", reason: CloseReason, /) -> None:
        """Handle the close of a connection."""


class ClientConnection:
    """One client connection, which passes the client's messages to its session.

    Messages are queued when they are read, and handled when the event loop's `InputScheduler` gives the
    client its share of a turn. Cancellations are handled as soon as they are read, whatever is queued before
    them.

    Attributes:
        connection: The TCP connection.
        messages: Splits the received bytes into messages.
        unhandled: The messages that are not handled yet.
        session: Handles the messages and owns the client's pending requests.
    """

    __slots__ = (
        "__weakref__",
        "_completes_message",
        "_input_memory",
        "_output_memory",
        "_owner",
        "connection",
        "messages",
        "session",
        "unhandled",
    )

    def __init__(self, owner: ClientConnectionOwner, sock: socket.socket, earliest_connect_ms: float) -> None:
        """Serve an accepted socket whose client connected at `earliest_connect_ms` (monotonic) or later."""
        self._owner = owner
        self._input_memory = MemoryAccount(owner.memory.client_input)
        self._output_memory = MemoryAccount(owner.memory.client_output)
        self.messages = ClientMessages()
        self.unhandled = UnhandledMessages()
        self.connection = Connection.accepted(owner.loop, sock, self, earliest_connect_ms)
        self._completes_message = False  # whether to read on whatever memory the input takes
        self.connection.read_allowance = self._read_allowance
        self.session = ClientSession(owner, self.connection)

    # --- connection handler -------------------------------------------------------------------

    def on_connected(self) -> None:
        """Do nothing, as an accepted connection is established already."""

    def on_data(self, data: bytes) -> None:
        """Queue the messages that the received bytes complete, and handle the cancellations among them."""
        frames = self.messages.feed(data)
        if frames:
            self._completes_message = False
        read_at_ms = self._owner.loop.turn_started_ms
        for number, frame in enumerate(frames, 1):
            if self._withdraw_at_once(frame):
                continue
            is_last = number == len(frames) and not self.messages.has_partial_message
            self.unhandled.append(ReceivedMessage(frame, read_at_ms - self._unread_ms(is_last=is_last)))
        if self.unhandled:
            self._owner.loop.input.add(self)
        self.update_reading()

    def _withdraw_at_once(self, frame: thrift.Frame) -> bool:
        """Handle a cancellation before the messages queued in front of it, and return whether it was one.

        A cancellation is left in the queue if two requests have used its sequence number, which is an error
        of the client that has to be detected first.
        """
        seqid = frame.withdrawn_seqid()
        if seqid is None:
            return False
        if not self.unhandled.has_request(seqid):
            self.session.withdraw(seqid)
            return True
        return seqid not in self.session.pending and self.unhandled.withdraw(seqid)

    def _unread_ms(self, *, is_last: bool) -> float:
        """Return how long a message of the last read was unread when the turn began.

        The time is exact if the message ends with the last byte of the read. Earlier messages of the read may
        be older, which matters after a stall of the process; they are then given the maximum possible age.
        """
        max_age_ms = self.connection.reader.max_receive_delay_ms
        if is_last or max_age_ms <= MIN_STALL_MS:
            return self.connection.reader.receive_delay_ms
        return max_age_ms

    def has_input(self) -> bool:
        """Return whether a message is not handled yet."""
        return bool(self.unhandled)

    def handle_input(self, max_messages: int) -> int:
        """Handle at most `max_messages` messages, and return how many were handled."""
        handled = 0
        while self.unhandled and handled < max_messages:
            message = self.unhandled.take_first()
            handled += 1
            age_ms = self._owner.loop.turn_started_ms - message.received_at_ms
            if not self._owner.loop.call_safely(self.session.on_message, message.frame.parse(), age_ms):
                self.connection.close(CloseReason.PROTOCOL_ERROR)
            if self.connection.is_closed or self.connection.is_closing:
                self.unhandled.clear()
        self.update_reading()
        return handled

    def update_reading(self) -> None:
        """Pause reading from a client whose messages or answers pile up; resume it once they don't.

        Reading also pauses while the client has more than its share of the memory for input. Unwritten
        answers don't pause it while the client has pending requests, as it may cancel them or disconnect.
        """
        self._input_memory.resize(self.unhandled.size_bytes + self.messages.buffered_bytes)
        has_capacity = self.unhandled.size_bytes < MAX_UNHANDLED_BYTES
        high_water_bytes = min(HIGH_WATER_BYTES, self._owner.memory.client_output.capacity_bytes // 2)
        reads_answers = self.connection.pending_bytes < high_water_bytes or bool(self.session.pending)
        has_memory = self._has_memory_for_input()
        self.connection.set_reading(enabled=has_capacity and reads_answers and has_memory)

    def _has_memory_for_input(self) -> bool:
        """Return whether the client may be read; if not, let it be checked again when memory may be free."""
        paused_clients = self._owner.paused_clients
        if self._completes_message or not self._input_memory.is_over_threshold():
            paused_clients.discard(self)
            return True
        if self not in paused_clients:
            self._owner.telemetry.count(READING_PAUSED, MemoryOwner.CLIENT_INPUT)
            paused_clients.add(self)
        return False

    def _read_allowance(self) -> int:
        """Return how many bytes one turn may read."""
        return thrift.MAX_FRAME_BYTES if self._completes_message else self._input_memory.headroom_bytes

    # --- paused client ------------------------------------------------------------------------

    def close_if_disconnected(self) -> None:
        """Close the connection if the client has, which the event loop does not notice while it is paused."""
        if self.connection.has_peer_closed():
            self.connection.close(CloseReason.CLOSED_BY_PEER)

    def can_complete_message(self) -> bool:
        """Return whether the rest of the message has arrived and can be read at once."""
        missing_bytes = self.messages.missing_bytes
        return 0 < missing_bytes <= self.connection.reader.count_unread(missing_bytes)

    def complete_message(self) -> None:
        """Read on until the message that is received in part is complete."""
        self._completes_message = True
        self.update_reading()

    def on_flushed(self) -> None:
        """Pause reading from a client that does not read its answers; disconnect it above its limit.

        If the answers to all clients exceed their share of the memory, the heaviest clients are disconnected.
        """
        self._output_memory.resize(self.connection.writer.queue.size_bytes)
        self.update_reading()
        if self.connection.pending_bytes > MAX_UNWRITTEN_BYTES:
            self.connection.close(CloseReason.WRITE_BUFFER_FULL)
        elif self._owner.memory.client_output.is_exceeded:
            self._owner.close_heaviest_until_in_share()

    def on_write_delayed(self) -> None:
        """Do nothing, as an answer is written even if it is late."""

    def on_closed(self, reason: CloseReason) -> None:
        """Cancel the pending requests, whose answers can no longer be sent."""
        pending_count = len(self.session.pending)
        if pending_count and reason not in CLIENT_GONE_REASONS:
            detail = f"{reason.name} with {pending_count} requests pending"
            self._owner.telemetry.invariants.record(Invariant.ANSWERED_BEFORE_CLOSE, detail)
        self.session.cancel_pending()
        self.unhandled.clear()
        self._input_memory.close()
        self._output_memory.close()
        self._owner.loop.input.discard(self)
        self._owner.paused_clients.discard(self)
        self._owner.on_client_closed(self, reason)

    @property
    def unwritten_size_bytes(self) -> int:
        """The memory that the unwritten answers take, about."""
        return self._output_memory.used_bytes

    # --- timeouts -----------------------------------------------------------------------------

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection if it has been idle for too long, or its next message is overdue.

        A message of a paused client is not overdue if the rest of it has arrived.
        """
        if self.session.pending or self.unhandled:
            return
        if self in self._owner.paused_clients and self.can_complete_message():
            return
        if now_ms - self.connection.last_used_ms > IDLE_TIMEOUT_MS:
            self.close_unless_data_arrived()
        elif self.messages.is_overdue(now_ms, self.connection.last_received_ms):
            self._close_overdue()
        elif self._stalls_over_share(now_ms):
            self._owner.telemetry.count(CLIENTS_OVER_SHARE, MemoryOwner.CLIENT_INPUT)
            self._close_overdue()

    def _stalls_over_share(self, now_ms: float) -> bool:
        """Return whether the client uses more than its share for a message that it does not complete."""
        if not self._input_memory.is_over_threshold() or self.can_complete_message():
            return False
        return self.messages.partial_ms(now_ms) > MESSAGE_TIMEOUT_WITHOUT_MEMORY_MS

    def _close_overdue(self) -> None:
        if self.messages.has_received_data:
            self.session.fail_pending_and_close(CloseReason.READ_TIMEOUT)
            self.messages.drop_partial()
            self.update_reading()
        else:
            self.close_unless_data_arrived()

    def close_unless_data_arrived(self) -> bool:
        """Close the connection unless data from the client may be unread; return whether it was closed."""
        if self.connection.peek() in MAY_HOLD_DATA and not self.connection.is_closing:
            return False
        is_idle = self.messages.has_received_message
        self.connection.close(CloseReason.IDLE if is_idle else CloseReason.READ_TIMEOUT)
        return True

    # --- state for the listener ---------------------------------------------------------------

    def is_idle(self) -> bool:
        """Return whether all messages are handled, no request is pending and all answers are written."""
        return not (self.unhandled or self.session.pending or self.connection.pending_bytes)

    def is_silent_since(self, time_ms: float) -> bool:
        """Return whether the client connected before a time (monotonic) and has sent no byte yet."""
        return not self.messages.has_received_data and self.connection.last_used_ms < time_ms

    def has_unread_data(self) -> bool:
        """Return whether data from the client may be unread, not handled, or a message received in part."""
        return not self.connection.is_closing and (
            bool(self.unhandled)
            or self.messages.has_partial_message
            or self.connection.peek() in MAY_HOLD_DATA
        )

    def eviction_order(self) -> tuple[bool, bool, float]:
        """Return the sort key of an idle connection: the one with the smallest key is evicted first.

        Connections that are already closing come first, then those without a partial message, then the
        others. Each group is sorted by idle time, longest first.
        """
        return (
            not self.connection.is_closing,
            self.messages.has_partial_message,
            self.connection.last_used_ms,
        )
