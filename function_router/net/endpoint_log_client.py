"""The client of the endpoint log, which manages the connection, requests, lines, timeouts and reconnects.

The client sends one line, `since N`. The log answers with the events after sequence number N, one per line,
followed by new events as they are published.
"""

from collections.abc import Callable

from function_router.config import Address
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.heartbeat_timeline import HEARTBEAT_INTERVAL_MS, HeartbeatTimeline
from function_router.net.timer_wheel import Timer

# Silence after which events are requested again. The log sends a heartbeat each second. If a silent log
# delays an event, the router is expected to know the event 4 s after its publication.
SILENCE_TIMEOUT_MS = 2_000.0
# Maximum duration of one line whose bytes keep arriving, such as a complete list over a slow or congested
# network.
MAX_LINE_DURATION_MS = 30_000.0
# Delay of a reconnect. If an event is published while the connection is broken, the router is expected to
# know the event 2 s after its publication.
RECONNECT_DELAY_MS = 200.0
# The log sends the first heartbeat within HEARTBEAT_INTERVAL_MS after a request.
# Maximum time by which the first line after a request may exceed that interval. A first line that
# arrives later than that shows that all lines of the log are delayed by as much.
MAX_FIRST_LINE_DELAY_MS = 300.0
# Time after which a log whose lines are delayed is requested again, as the delay may have passed.
DELAYED_LOG_RETRY_MS = 5_000.0
# Maximum delay between requests. The delay doubles up to it while the log answers but sends nothing valid.
MAX_RECONNECT_DELAY_MS = 1_000.0
CONNECT_TIMEOUT_MS = 1_000.0
# Maximum length of a line. A complete list of some ten thousand workers fits.
MAX_LINE_BYTES = 4 * 1024 * 1024

REQUEST_FORMAT = b"since %d\n"


class EndpointLogClient:
    """Keeps a connection to the endpoint log open and passes on the received lines.

    The client owns the connection and handles its events. It reconnects when the connection breaks or falls
    silent. The owner of the client parses the lines, and asks for a new request if lines are invalid or
    missing.

    Args:
        loop: The event loop.
        address: The address on which the log listens.
        on_line: Called with each line, without its line break.
        read_last_sequence: Returns the sequence number after which events are requested.
        on_interrupted: Called when the client does not follow the log any more, or not yet.
        log: Called with the text of a log line.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        on_line: Callable[[bytes], None],
        read_last_sequence: Callable[[], int],
        on_interrupted: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        """Create a client of the log at `address`; `connect` opens the connection."""
        now_ms = monotonic_ms()
        self._loop = loop
        self._address = address
        self._on_line = on_line
        self._read_last_sequence = read_last_sequence
        self._on_interrupted = on_interrupted
        self._log = log
        self._connection: Connection | None = None
        self._reconnect_timer: Timer | None = None
        self._reconnect_delay_ms = RECONNECT_DELAY_MS  # the delay of the next `request_again`
        self._last_connect_ms = now_ms
        self._last_line_ms = now_ms  # when the last complete line arrived
        self._requested_ms: float | None = None  # when events were requested; None after the first line
        self._is_delayed = False  # whether the first line took too long
        self._timeline = HeartbeatTimeline(now_ms)  # of the current connection
        self._partial_line = b""

    @property
    def may_repeat_request(self) -> bool:
        """Whether the last request is old enough to be repeated if the log has sent nothing new."""
        return monotonic_ms() - self._last_connect_ms > SILENCE_TIMEOUT_MS

    @property
    def is_delayed(self) -> bool:
        """Whether the first line took so long that the heartbeats of the log are out of date."""
        return self._is_delayed

    def record_heartbeat(self) -> HeartbeatTimeline:
        """Record a heartbeat that was just received, and return what is known of the heartbeats so far."""
        self._timeline.record_heartbeat(monotonic_ms())
        return self._timeline

    # --- connecting -----------------------------------------------------------------------------

    def connect(self) -> None:
        """Connect to the log; if the connect fails at once, retry after a delay."""
        now_ms = monotonic_ms()
        self._reconnect_timer = None
        self._partial_line = b""
        self._last_connect_ms = now_ms
        self._last_line_ms = now_ms
        self._requested_ms = None
        self._is_delayed = False
        self._on_interrupted()
        connection = Connection.connect(self._loop, self._address, self, CONNECT_TIMEOUT_MS)
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
        self._log(f"endpoint log: {cause}; requested again from {self._read_last_sequence()}")
        self._disconnect(CloseReason.PROTOCOL_ERROR)
        if monotonic_ms() - self._last_connect_ms >= self._reconnect_delay_ms:
            self.connect()
        else:
            self._connect_after(self._reconnect_delay_ms)
            self._reconnect_delay_ms = min(MAX_RECONNECT_DELAY_MS, 2 * self._reconnect_delay_ms)

    def reset_backoff(self) -> None:
        """Reset the delay between requests, as the log has sent a valid line or has moved."""
        self._reconnect_delay_ms = RECONNECT_DELAY_MS

    def check_timeouts(self) -> None:
        """Reconnect if the log is silent for too long, or if its lines have been delayed for some time.

        A log whose process was stopped may leave its end of the connection open, so that only its silence
        shows the fault.
        """
        connection = self._connection
        if connection is None or not connection.is_connected:
            return
        now_ms = monotonic_ms()
        is_receiving_line = bool(self._partial_line) and now_ms - self._last_line_ms <= MAX_LINE_DURATION_MS
        last_progress_ms = connection.last_received_ms if is_receiving_line else self._last_line_ms
        if now_ms - last_progress_ms > SILENCE_TIMEOUT_MS:
            self.request_again("no line received in time")
        elif self._is_delayed and now_ms - self._last_connect_ms > DELAYED_LOG_RETRY_MS:
            self.request_again("its lines are delayed")

    def close(self) -> None:
        """Close the connection without a reconnect."""
        self._disconnect(CloseReason.SHUTDOWN)

    def _connect_after(self, delay_ms: float) -> None:
        self._reconnect_timer = self._loop.timers.call_later(delay_ms, self.connect)

    def _disconnect(self, reason: CloseReason) -> None:
        """Close the connection and cancel a scheduled reconnect."""
        self._on_interrupted()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
            self._reconnect_timer = None
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close(reason)

    # --- callbacks of the connection ------------------------------------------------------------

    def on_connected(self) -> None:
        """Request the events after the last applied one."""
        self._last_line_ms = monotonic_ms()
        self._requested_ms = self._last_line_ms
        self._timeline = HeartbeatTimeline(self._last_line_ms)
        if self._connection is not None:
            self._connection.write(REQUEST_FORMAT % self._read_last_sequence())

    def on_flushed(self) -> None:
        """Do nothing, as the only request is small."""

    def on_write_delayed(self) -> None:
        """Do nothing, as a delayed request is still valid."""

    def on_closed(self, reason: CloseReason) -> None:
        """Reconnect after a delay, unless the client itself closed the connection."""
        if self._connection is None:
            return
        self._connection = None
        self._on_interrupted()
        self._log(f"endpoint log: {reason.name}; connecting again from {self._read_last_sequence()}")
        self._connect_after(RECONNECT_DELAY_MS)

    def on_data(self, data: bytes) -> None:
        """Pass on the complete lines; stop at a line that makes the owner replace the connection."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        connection = self._connection
        if lines:
            self._check_first_line_delay()
        for line in lines:
            self._last_line_ms = monotonic_ms()
            self._on_line(line)
            if self._connection is not connection:
                return
        if len(self._partial_line) > MAX_LINE_BYTES and connection is not None:
            connection.close(CloseReason.PROTOCOL_ERROR)

    def _check_first_line_delay(self) -> None:
        """Record whether the first line after a request arrived in time."""
        if self._requested_ms is None:
            return
        delay_ms = monotonic_ms() - self._requested_ms
        self._is_delayed = delay_ms > HEARTBEAT_INTERVAL_MS + MAX_FIRST_LINE_DELAY_MS
        self._requested_ms = None
