"""The client of the endpoint log, which keeps one connection to it that is in time.

The heartbeats on the connection show how old the endpoint list is (`heartbeat_timeline`). If one is overdue,
the log may have ended, or its lines may be late, or the intervals of its heartbeats are longer than a second.
The client can't tell which, so it asks: it requests the events on a second connection, too. The first line
there answers the question, as it was sent after the request. The connection on which the last heartbeat was
sent later, as far as is known, is kept.

If the first heartbeat comes long after a request, either the lines are late, or the log waits for so long. To
tell these apart, the last event is then requested once more, which the log sends at once.
"""

from typing import Protocol

from function_router.config import Address
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.endpoint_log_connection import EndpointLogConnection
from function_router.net.event_loop import EventLoop
from function_router.net.heartbeat_timeline import MAX_FIRST_LINE_DELAY_MS, HeartbeatTimeline
from function_router.net.telemetry import ENDPOINT_LOG_REQUESTS, Telemetry
from function_router.net.timer_wheel import Timer

# How long a heartbeat is overdue when the events are requested on a second connection. An answer that comes
# within a few milliseconds still renews the lease on the list before its end.
OVERDUE_MS = 20.0
# Minimum interval between requests on a second connection, if the previous one was answered in time.
MIN_REQUEST_INTERVAL_MS = 2_000.0
# Delay of the next request on a second connection after one whose answer was no newer than the lines of the
# first connection.
RETRY_DELAY_MS = 2_000.0
# The same, if the log's first heartbeats come long after their requests.
SLOW_REQUEST_INTERVAL_MS = 10_000.0
# Minimum interval between requests for a complete list that was received before.
REPEAT_LIST_INTERVAL_MS = 60_000.0
# By how much the first heartbeat of the second connection has to be newer, so that it is kept, if it is not
# known to be in time. Otherwise, any gain is enough.
MIN_GAIN_MS = 100.0
# Maximum wait for the first heartbeat of a second connection. The lines of a log may be late by seconds.
MAX_ANSWER_WAIT_MS = 10_000.0
# Delay of a reconnect. If an event is published while the connection is broken, the router is expected to
# know the event 2 s after its publication.
RECONNECT_DELAY_MS = 200.0
# Maximum delay between requests. The delay doubles up to it while the log answers but sends nothing valid.
MAX_RECONNECT_DELAY_MS = 1_000.0
# Age of a request from which it may be repeated if the log has sent nothing new since.
MIN_REPEAT_AGE_MS = 2_000.0


class EndpointLogClientOwner(Protocol):
    """The owner of the client, which parses the lines and knows the position in the log."""

    @property
    def last_sequence(self) -> int:
        """The sequence number after which events are requested."""

    @property
    def is_last_event_complete(self) -> bool:
        """Whether the last event has a complete list, which may be large."""

    def on_line(self, line: bytes, /) -> None:
        """Handle a line, without its line break, and report to the client whether it is a heartbeat."""

    def on_interrupted(self) -> None:
        """Handle that the client does not follow the log any more, or not yet."""


class EndpointLogClient:
    """Keeps a connection to the endpoint log open and passes on the received lines.

    The client owns the connection, and a second one while a heartbeat is overdue. It reconnects when the
    connection breaks. The owner of the client parses the lines, and asks for a new request if lines are
    invalid or missing.

    Args:
        loop: The event loop.
        address: The address on which the log listens.
        owner: Handles the lines.
        telemetry: Writes the log lines, and counts the requests.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        owner: EndpointLogClientOwner,
        telemetry: Telemetry,
    ) -> None:
        """Create a client of the log at `address`; `connect` opens the connection."""
        self._loop = loop
        self._address = address
        self._owner = owner
        self._telemetry = telemetry
        self._connection: EndpointLogConnection | None = None
        self._second_connection: EndpointLogConnection | None = None
        self._line_source: EndpointLogConnection | None = None  # the connection of the line being handled
        self._is_first_heartbeat_late = False  # whether that of the last new connection was
        self._reconnect_timer: Timer | None = None
        self._overdue_timer: Timer | None = None  # fires when the next heartbeat is overdue
        self._reconnect_delay_ms = RECONNECT_DELAY_MS  # the delay of the next `request_again`
        self._last_connect_ms = monotonic_ms()
        self._may_request_from_ms = 0.0  # the earliest time of the next request on a second connection
        self._may_repeat_list_from_ms = 0.0  # the earliest time of the next request for a known list

    @property
    def may_repeat_request(self) -> bool:
        """Whether the last request is old enough to be repeated if the log has sent nothing new."""
        return monotonic_ms() - self._last_connect_ms > MIN_REPEAT_AGE_MS

    # --- connecting -----------------------------------------------------------------------------

    def connect(self) -> None:
        """Connect to the log; if the connect fails at once, retry after a delay."""
        self._reconnect_timer = None
        self._last_connect_ms = monotonic_ms()
        self._owner.on_interrupted()
        connection = EndpointLogConnection.connect(self._loop, self._address, self, repeats_event=False)
        if isinstance(connection, CloseReason):
            self._connect_after(RECONNECT_DELAY_MS)
        else:
            self._connection = connection

    def move_to(self, address: Address) -> None:
        """Replace the connection by a connection to another address."""
        self._address = address
        self.reset_backoff()
        self._disconnect(CloseReason.ENDPOINT_REPLACED)
        self.connect()

    def request_again(self, cause: str) -> None:
        """Request the events after the last applied one on a new connection.

        The delay between such requests grows. Without the delay, the client would send requests in a busy
        loop to a log that sends nothing valid.
        """
        self._telemetry.log(f"endpoint log: {cause}; requested again from {self._owner.last_sequence}")
        self._disconnect(CloseReason.PROTOCOL_ERROR)
        if monotonic_ms() - self._last_connect_ms >= self._reconnect_delay_ms:
            self.connect()
        else:
            self._connect_after(self._reconnect_delay_ms)
            self._reconnect_delay_ms = min(MAX_RECONNECT_DELAY_MS, 2 * self._reconnect_delay_ms)

    def reset_backoff(self) -> None:
        """Reset the delay between requests, as the log has sent a valid line or has moved."""
        self._reconnect_delay_ms = RECONNECT_DELAY_MS

    def close(self) -> None:
        """Close the connections without a reconnect."""
        self._disconnect(CloseReason.SHUTDOWN)

    def _connect_after(self, delay_ms: float) -> None:
        self._reconnect_timer = self._loop.timers.call_later(delay_ms, self.connect)

    def _disconnect(self, reason: CloseReason) -> None:
        """Close the connections, and cancel the timers."""
        self._owner.on_interrupted()
        for timer in (self._reconnect_timer, self._overdue_timer):
            if timer is not None:
                timer.cancel()
        self._reconnect_timer = None
        self._overdue_timer = None
        connections = (self._connection, self._second_connection)
        self._connection = None
        self._second_connection = None
        for connection in connections:
            if connection is not None:
                connection.close(reason)

    # --- heartbeats -----------------------------------------------------------------------------

    def record_event(self) -> None:
        """Record that the line that is being handled is an event."""
        if self._line_source is not None:
            self._line_source.timeline.record_event(monotonic_ms())

    def record_heartbeat(self) -> HeartbeatTimeline | None:
        """Record that the line that is being handled is a heartbeat.

        Returns:
            What is known of the heartbeats on its connection; None if the connection is not kept.
        """
        source = self._line_source
        if source is None:
            return None
        timeline = source.timeline
        timeline.record_heartbeat(monotonic_ms())
        if timeline.count == 1 and timeline.first_delay_ms is not None:
            self._is_first_heartbeat_late = timeline.first_delay_ms > MAX_FIRST_LINE_DELAY_MS
        if source is self._second_connection:
            self._compare_connections(source)
        if source is not self._connection:
            return None
        self._await_heartbeat()
        return timeline

    def _await_heartbeat(self) -> None:
        """Set the timer for when the next heartbeat of the connection is overdue."""
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
        if self._connection is None:
            return
        overdue_ms = max(self._connection.timeline.next_due_ms + OVERDUE_MS, self._may_request_from_ms)
        self._overdue_timer = self._loop.timers.call_later(overdue_ms - monotonic_ms(), self._on_overdue)

    def _on_overdue(self) -> None:
        """Request the events on a second connection, unless a line is still arriving on the first one."""
        now_ms = monotonic_ms()
        interval_ms = SLOW_REQUEST_INTERVAL_MS if self._is_first_heartbeat_late else MIN_REQUEST_INTERVAL_MS
        self._may_request_from_ms = now_ms + interval_ms
        if self._second_connection is not None:
            self._check_second_connection(now_ms)
        elif self._connection is not None and not self._connection.is_receiving_line(now_ms):
            self._open_second_connection(now_ms)
        self._await_heartbeat()

    def _open_second_connection(self, now_ms: float) -> None:
        self._telemetry.count(ENDPOINT_LOG_REQUESTS)
        connection = EndpointLogConnection.connect(
            self._loop, self._address, self, repeats_event=self._takes_repeated_event(now_ms)
        )
        if not isinstance(connection, CloseReason):
            self._second_connection = connection

    def _takes_repeated_event(self, now_ms: float) -> bool:
        """Return whether to request the last event once more, to learn whether lines are late."""
        if not self._is_first_heartbeat_late:
            return False
        if self._owner.is_last_event_complete:
            if now_ms < self._may_repeat_list_from_ms:
                return False
            self._may_repeat_list_from_ms = now_ms + REPEAT_LIST_INTERVAL_MS
        return True

    def _check_second_connection(self, now_ms: float) -> None:
        """Close the second connection if its answer has taken too long, or can't be of use any more."""
        second = self._second_connection
        if second is None or self._connection is None:
            return
        sent_ms = self._connection.timeline.sent_ms
        is_outdated = sent_ms is not None and sent_ms >= second.timeline.next_due_ms
        if is_outdated or now_ms - second.timeline.requested_ms > MAX_ANSWER_WAIT_MS:
            self._drop_second_connection()

    def _drop_second_connection(self) -> None:
        second = self._second_connection
        self._second_connection = None
        self._may_request_from_ms = max(self._may_request_from_ms, monotonic_ms() + RETRY_DELAY_MS)
        if second is not None:
            second.close(CloseReason.IDLE)

    def _keep_second_connection(self) -> None:
        """Replace the connection by the second one, whose events are requested already."""
        first = self._connection
        self._connection = self._second_connection
        self._second_connection = None
        if first is not None:
            first.close(CloseReason.IDLE)
        self._await_heartbeat()

    # --- callbacks of the connections -----------------------------------------------------------

    def on_requested(self, connection: EndpointLogConnection) -> None:
        """Wait for the first heartbeat; a second connection needs no such wait."""
        if connection is self._connection:
            self._await_heartbeat()

    def sequence_to_request(self, *, repeats_event: bool) -> int:
        """Return the number of the last event, or the one before it to get that event once more."""
        last_sequence = self._owner.last_sequence
        return max(0, last_sequence - 1) if repeats_event else last_sequence

    def on_line(self, connection: EndpointLogConnection, line: bytes) -> None:
        """Pass on a line; events are the same on both connections."""
        self._line_source = connection
        try:
            self._owner.on_line(line)
        finally:
            self._line_source = None

    def _compare_connections(self, second: EndpointLogConnection) -> None:
        """Keep the connection on which the last heartbeat was sent later, as far as is known."""
        first_ms = None if self._connection is None else self._connection.timeline.sent_ms
        second_ms = second.timeline.sent_ms
        min_gain_ms = 0.0 if second.timeline.is_first_in_time else MIN_GAIN_MS
        if first_ms is None or (second_ms is not None and second_ms > first_ms + min_gain_ms):
            self._telemetry.count(ENDPOINT_LOG_REQUESTS, "answered")
            self._keep_second_connection()
        else:
            self._drop_second_connection()

    def on_ended(self, connection: EndpointLogConnection, reason: CloseReason) -> None:
        """Go on with the second connection, or reconnect after a delay."""
        if connection is self._second_connection:
            self._drop_second_connection()
        if connection is not self._connection:
            return
        self._connection = None
        self._owner.on_interrupted()
        text = f"endpoint log: {reason.name}; connecting again from {self._owner.last_sequence}"
        self._telemetry.log(text)
        if self._second_connection is not None:
            self._keep_second_connection()
        else:
            self._connect_after(RECONNECT_DELAY_MS)
