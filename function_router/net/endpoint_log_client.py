"""The client of the endpoint log, which keeps one connection to it that is in time.

The heartbeats on the connection show how old the endpoint list is (`heartbeat_timeline`). If one is overdue,
the log may have ended, or its lines may be late, or the intervals of its heartbeats are longer than a second.
The client can't tell which, so it asks: it requests the events on further connections, too
(`endpoint_log_polls`). The connection on which the last heartbeat was sent later, as far as is known, is
followed from then on.
"""

from typing import Protocol

from function_router.config import Address
from function_router.decisions.endpoint_polling import PollSchedule
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.endpoint_log_connection import EndpointLogConnection
from function_router.net.endpoint_log_polls import EndpointLogPolls
from function_router.net.event_loop import EventLoop
from function_router.net.heartbeat_timeline import HeartbeatTimeline
from function_router.net.telemetry import ENDPOINT_LOG_REQUESTS, Telemetry
from function_router.net.timer_wheel import Timer

# By how much the first heartbeat of another connection has to be newer, so that it is followed, if it is not
# known to be in time. Otherwise, any gain is enough.
MIN_GAIN_MS = 100.0
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

    def on_answered(self, requested_ms: float, /) -> None:
        """Handle that all events were received that the log had published at the time of a request.

        Args:
            requested_ms: When the request was sent, on the monotonic clock.
        """

    def on_interrupted(self) -> None:
        """Handle that the client does not follow the log any more, or not yet."""


class EndpointLogClient:
    """Keeps a connection to the endpoint log open and passes on the received lines.

    The client owns the connection that it follows, and the polls own those whose answers are awaited. It
    reconnects when the connection breaks. The owner of the client parses the lines, and asks for a new
    request if lines are invalid or missing.

    Args:
        loop: The event loop.
        address: The address on which the log listens.
        owner: Handles the lines.
        schedule: When to request the events on further connections.
        telemetry: Writes the log lines, and counts the requests.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        owner: EndpointLogClientOwner,
        schedule: PollSchedule,
        telemetry: Telemetry,
    ) -> None:
        """Create a client of the log at `address`; `connect` opens the connection."""
        self._loop = loop
        self._address = address
        self._owner = owner
        self._telemetry = telemetry
        self._connection: EndpointLogConnection | None = None
        self._polls = EndpointLogPolls(schedule, self._open_poll, telemetry)
        self._line_source: EndpointLogConnection | None = None  # the connection of the line being handled
        self._reconnect_timer: Timer | None = None
        self._poll_timer: Timer | None = None
        self._reconnect_delay_ms = RECONNECT_DELAY_MS  # the delay of the next `request_again`
        self._last_connect_ms = monotonic_ms()

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
        for timer in (self._reconnect_timer, self._poll_timer):
            if timer is not None:
                timer.cancel()
        self._reconnect_timer = None
        self._poll_timer = None
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close(reason)
        self._polls.close_all(reason)

    # --- heartbeats -----------------------------------------------------------------------------

    def record_event(self) -> None:
        """Record that the line that is being handled is an event."""
        if self._line_source is not None:
            self._line_source.timeline.record_event(monotonic_ms())

    def record_heartbeat(self) -> HeartbeatTimeline | None:
        """Record that the line that is being handled is a heartbeat.

        Returns:
            What is known of the heartbeats on its connection; None if the connection is not followed.
        """
        source = self._line_source
        if source is None:
            return None
        timeline = source.timeline
        timeline.record_heartbeat(monotonic_ms())
        if timeline.count == 1:
            self._polls.record_first_heartbeat(timeline)
        if source in self._polls:
            self._follow_if_newer(source)
        if source is not self._connection:
            return None
        self._schedule_poll()
        return timeline

    def _follow_if_newer(self, poll: EndpointLogConnection) -> None:
        """Follow the connection on which the last heartbeat was sent later, as far as is known."""
        followed_ms = None if self._connection is None else self._connection.timeline.sent_ms
        poll_ms = poll.timeline.sent_ms
        min_gain_ms = 0.0 if poll.timeline.is_first_in_time else MIN_GAIN_MS
        if followed_ms is None or (poll_ms is not None and poll_ms > followed_ms + min_gain_ms):
            self._telemetry.count(ENDPOINT_LOG_REQUESTS, "answered")
            self._polls.take(poll)
            self._follow(poll)
        else:
            self._polls.close(poll)

    def _follow(self, connection: EndpointLogConnection) -> None:
        """Replace the connection by another one, on which the events are requested already."""
        previous = self._connection
        self._connection = connection
        if previous is not None:
            previous.close(CloseReason.IDLE)
        self._schedule_poll()

    # --- further connections --------------------------------------------------------------------

    def _schedule_poll(self) -> None:
        """Set the timer for the next request on a further connection."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        if self._connection is None:
            return
        due_ms = self._polls.due_ms(self._connection.timeline)
        self._poll_timer = self._loop.timers.call_later(due_ms - monotonic_ms(), self._on_poll_due)

    def _on_poll_due(self) -> None:
        """Request the events on a further connection."""
        if self._connection is None:
            return
        is_last_event_complete = self._owner.is_last_event_complete
        self._polls.poll(monotonic_ms(), self._connection, is_last_event_complete=is_last_event_complete)
        self._schedule_poll()

    def _open_poll(self, *, repeats_event: bool) -> EndpointLogConnection | CloseReason:
        return EndpointLogConnection.connect(self._loop, self._address, self, repeats_event=repeats_event)

    # --- callbacks of the connections -----------------------------------------------------------

    def on_requested(self, connection: EndpointLogConnection) -> None:
        """Wait for the first heartbeat; the polls need no such wait."""
        if connection is self._connection:
            self._schedule_poll()

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

    def on_read(self, connection: EndpointLogConnection) -> None:
        """Take events that answer a request for its whole answer, as the log sends them together."""
        timeline = connection.timeline
        if not timeline.record_answer():
            return
        if connection in self._polls:
            self._follow_if_newer(connection)
        if connection is self._connection:
            self._owner.on_answered(timeline.requested_ms)
            self._schedule_poll()

    def on_ended(self, connection: EndpointLogConnection, reason: CloseReason) -> None:
        """Go on with a connection whose answer is awaited, or reconnect after a delay."""
        if connection in self._polls:
            self._polls.close(connection)
        if connection is not self._connection:
            return
        self._connection = None
        self._owner.on_interrupted()
        text = f"endpoint log: {reason.name}; connecting again from {self._owner.last_sequence}"
        self._telemetry.log(text)
        poll = self._polls.take_first()
        if poll is not None:
            self._follow(poll)
        else:
            self._connect_after(RECONNECT_DELAY_MS)
