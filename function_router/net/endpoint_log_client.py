"""The connection to the endpoint log: requests, lines, timeouts and reconnects.

The client sends one line, `since N`. The log answers with the events after sequence number N, a line each,
and goes on with new events as they are published.
"""

from collections.abc import Callable

from function_router.config import Address
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.timer_wheel import Timer

# The log sends a heartbeat each second, and an event that it delays counts as published after 4 s.
SILENCE_TIMEOUT_MS = 2_000.0
# For one line while bytes of it keep coming: a complete list over a slow or congested network.
MAX_LINE_MS = 30_000.0
# Before the next connection attempt: an event of a broken connection counts as published after 2 s.
RECONNECT_DELAY_MS = 200.0
# Between two heartbeats of the log, the first of which it sends within this time after a request.
HEARTBEAT_INTERVAL_MS = 1_000.0
# On top of it; a first line that comes later than both shows that what the log sends is late by as much.
MAX_FIRST_LINE_DELAY_MS = 300.0
# A log that is late is requested again after this time: it may have caught up.
DELAYED_LOG_RETRY_MS = 5_000.0
# The delay doubles up to this where a log answers but sends nothing valid.
MAX_RECONNECT_DELAY_MS = 1_000.0
CONNECT_TIMEOUT_MS = 1_000.0
# A complete list of some ten thousand workers.
MAX_LINE_BYTES = 4 * 1024 * 1024

REQUEST_FORMAT = b"since %d\n"


class EndpointLogClient:
    """Keeps one connection to the endpoint log open and passes on its lines.

    It owns the connection, whose handler it is, and connects again when that breaks or falls silent. What the
    lines mean is up to its owner, which asks for a new request where they are invalid or incomplete.

    Args:
        loop: the event loop.
        address: where the log listens.
        on_line: called for each line, without its end.
        read_last_sequence: the sequence number after which events are requested.
        on_interrupted: called when the log is not followed any more, or not yet.
        log: called with the text of a log line.
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
        """Prepare to connect to `address`; `connect` does so."""
        now_ms = monotonic_ms()
        self._loop = loop
        self._address = address
        self._on_line = on_line
        self._read_last_sequence = read_last_sequence
        self._on_interrupted = on_interrupted
        self._log = log
        self._connection: Connection | None = None
        self._reconnect_timer: Timer | None = None
        self._reconnect_delay_ms = RECONNECT_DELAY_MS  # of the next `request_again`
        self._last_connect_ms = now_ms
        self._last_line_ms = now_ms  # when the last complete line came
        self._requested_ms: float | None = None  # when events were requested, until the first line comes
        self._is_delayed = False  # whether that took too long
        self._partial_line = b""

    @property
    def may_repeat_request(self) -> bool:
        """Whether the last request is old enough to be repeated without anything new from the log."""
        return monotonic_ms() - self._last_connect_ms > SILENCE_TIMEOUT_MS

    @property
    def is_delayed(self) -> bool:
        """Whether the log took so long for its first line that its heartbeats are no news."""
        return self._is_delayed

    # --- connecting -----------------------------------------------------------------------------

    def connect(self) -> None:
        """Connect to the log; where the attempt fails at once, try again after a delay."""
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
        """Replace the connection by one to another address."""
        self._address = address
        self.reset_backoff()
        self._disconnect(CloseReason.ENDPOINT_REPLACED)
        self.connect()

    def request_again(self, cause: str) -> None:
        """Request the events after the last one on a new connection, with a growing delay between requests.

        Without the delay, a log that sends nothing valid would be requested in a busy loop.
        """
        self._log(f"endpoint log: {cause}; requested again from {self._read_last_sequence()}")
        self._disconnect(CloseReason.PROTOCOL_ERROR)
        if monotonic_ms() - self._last_connect_ms >= self._reconnect_delay_ms:
            self.connect()
        else:
            self._connect_after(self._reconnect_delay_ms)
            self._reconnect_delay_ms = min(MAX_RECONNECT_DELAY_MS, 2 * self._reconnect_delay_ms)

    def reset_backoff(self) -> None:
        """Set the delay between requests back to its initial value, as the log has sent something valid."""
        self._reconnect_delay_ms = RECONNECT_DELAY_MS

    def check_timeouts(self) -> None:
        """Connect again where nothing came for too long: a log that was stopped may not close its end."""
        connection = self._connection
        if connection is None or not connection.is_connected:
            return
        now_ms = monotonic_ms()
        is_in_line = bool(self._partial_line) and now_ms - self._last_line_ms <= MAX_LINE_MS
        last_progress_ms = connection.last_received_ms if is_in_line else self._last_line_ms
        if now_ms - last_progress_ms > SILENCE_TIMEOUT_MS:
            self.request_again("silent")
        elif self._is_delayed and now_ms - self._last_connect_ms > DELAYED_LOG_RETRY_MS:
            self.request_again("late")

    def close(self) -> None:
        """Close the connection for good."""
        self._disconnect(CloseReason.SHUTDOWN)

    def _connect_after(self, delay_ms: float) -> None:
        self._reconnect_timer = self._loop.timers.call_later(delay_ms, self.connect)

    def _disconnect(self, reason: CloseReason) -> None:
        """Close the connection without the reconnect that follows when it breaks."""
        self._on_interrupted()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
            self._reconnect_timer = None
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close(reason)

    # --- from the connection --------------------------------------------------------------------

    def on_connected(self) -> None:
        """Request the events after the last one."""
        self._last_line_ms = monotonic_ms()
        self._requested_ms = self._last_line_ms
        if self._connection is not None:
            self._connection.write(REQUEST_FORMAT % self._read_last_sequence())

    def on_flushed(self) -> None:
        """Nothing to do: the one request is small."""

    def on_write_delayed(self) -> None:
        """Nothing to do: the one request is small."""

    def on_closed(self, reason: CloseReason) -> None:
        """Connect again after a delay, unless this object closed the connection."""
        if self._connection is None:
            return
        self._connection = None
        self._on_interrupted()
        self._log(f"endpoint log: {reason.name}; connecting again from {self._read_last_sequence()}")
        self._connect_after(RECONNECT_DELAY_MS)

    def on_data(self, data: bytes) -> None:
        """Pass on the complete lines, up to one that leads to a new connection."""
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
        """Note whether the first line after a request came in time."""
        if self._requested_ms is None:
            return
        delay_ms = monotonic_ms() - self._requested_ms
        self._is_delayed = delay_ms > HEARTBEAT_INTERVAL_MS + MAX_FIRST_LINE_DELAY_MS
        self._requested_ms = None
