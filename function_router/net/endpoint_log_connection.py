"""One connection to the endpoint log: its request, its lines, and what is known of its heartbeats.

The router sends one line, `since N`. The log answers with the events after sequence number N, one per line,
followed by new events as they are published, and by a heartbeat each second.
"""

from typing import Protocol

from function_router.config import Address
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.heartbeat_timeline import HeartbeatTimeline

CONNECT_TIMEOUT_MS = 1_000.0
# Maximum time without a byte within a line that counts as still arriving.
MAX_PAUSE_IN_LINE_MS = 2_000.0
# Maximum duration of one line whose bytes keep arriving, such as a complete list over a slow or congested
# network.
MAX_LINE_DURATION_MS = 30_000.0
# Maximum length of a line. A complete list of some ten thousand workers fits.
MAX_LINE_BYTES = 4 * 1024 * 1024

REQUEST_FORMAT = b"since %d\n"


class EndpointLogConnectionOwner(Protocol):
    """The owner of connections to the endpoint log, which is notified of their events."""

    def sequence_to_request(self, *, repeats_event: bool) -> int:
        """Return the sequence number after which events are requested, to get the last one again or not."""

    def on_requested(self, connection: "EndpointLogConnection", /) -> None:
        """Handle that the connection was established and the events have been requested on it."""

    def on_line(self, connection: "EndpointLogConnection", line: bytes, /) -> None:
        """Handle a line, without its line break. The owner may close the connection meanwhile."""

    def on_read(self, connection: "EndpointLogConnection", /) -> None:
        """Handle that all lines were passed on that have arrived, and no part of another one has."""

    def on_ended(self, connection: "EndpointLogConnection", reason: CloseReason, /) -> None:
        """Handle the end of the connection, unless the owner has closed it by `close`."""


class EndpointLogConnection:
    """A connection on which events are requested once; it owns the TCP connection and handles its events.

    Attributes:
        timeline: What is known of the heartbeats; before the request, as if it were sent at the connect.
    """

    def __init__(self, owner: EndpointLogConnectionOwner, *, repeats_event: bool) -> None:
        """Create an object without a TCP connection, for `connect`."""
        self._repeats_event = repeats_event
        self.timeline = HeartbeatTimeline(monotonic_ms())
        self._owner = owner
        self._connection: Connection | None = None
        self._last_line_ms = self.timeline.requested_ms  # when the last complete line was read
        self._partial_line = b""
        self._is_closed = False

    @classmethod
    def connect(
        cls, loop: EventLoop, address: Address, owner: EndpointLogConnectionOwner, *, repeats_event: bool
    ) -> "EndpointLogConnection | CloseReason":
        """Start to connect to the log.

        If connecting fails at once, the reason is returned instead, and the owner is not notified.

        Args:
            loop: The event loop.
            address: The address on which the log listens.
            owner: Is notified of the lines and of the end of the connection.
            repeats_event: Whether the last event is requested once more, as the log sends it at once.
        """
        log_connection = cls(owner, repeats_event=repeats_event)
        connection = Connection.connect(loop, address, log_connection, CONNECT_TIMEOUT_MS)
        if isinstance(connection, CloseReason):
            return connection
        log_connection._connection = connection
        return log_connection

    def is_receiving_line(self, now_ms: float) -> bool:
        """Return whether a part of a line has arrived and the rest may still follow."""
        if not self._partial_line or self._connection is None:
            return False
        is_in_time = now_ms - self._last_line_ms <= MAX_LINE_DURATION_MS
        return is_in_time and now_ms - self._connection.last_received_ms <= MAX_PAUSE_IN_LINE_MS

    def close(self, reason: CloseReason) -> None:
        """Close the connection without notifying the owner; no line is passed on any more."""
        self._is_closed = True
        if self._connection is not None:
            self._connection.close(reason)

    # --- callbacks of the TCP connection --------------------------------------------------------

    def on_connected(self) -> None:
        """Request the events after the last applied one."""
        now_ms = monotonic_ms()
        self.timeline = HeartbeatTimeline(now_ms)
        self._last_line_ms = now_ms
        if self._connection is not None:
            sequence = self._owner.sequence_to_request(repeats_event=self._repeats_event)
            self._connection.write(REQUEST_FORMAT % sequence)
        self._owner.on_requested(self)

    def on_flushed(self) -> None:
        """Do nothing, as the only request is small."""

    def on_write_delayed(self) -> None:
        """Do nothing, as a delayed request is still valid."""

    def on_closed(self, reason: CloseReason) -> None:
        """Notify the owner, unless it closed the connection itself."""
        if not self._is_closed:
            self._is_closed = True
            self._owner.on_ended(self, reason)

    def on_data(self, data: bytes) -> None:
        """Pass on the complete lines, until the owner closes the connection."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            self._last_line_ms = monotonic_ms()
            self._owner.on_line(self, line)
            if self._is_closed:
                return
        if not self._partial_line:
            self._owner.on_read(self)
        elif len(self._partial_line) > MAX_LINE_BYTES and self._connection is not None:
            self._connection.close(CloseReason.PROTOCOL_ERROR)
