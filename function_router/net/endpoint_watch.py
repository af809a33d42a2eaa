"""Follows the endpoint log: numbered events with the list of workers, read over one kept-up connection.

The client sends one line, `since N`; the log answers with the events after N, a line of JSON each. A line
with a bare number announces the last sequence number of the log and serves as its heartbeat.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from function_router.config import Address, ConfigurationError, EndpointList, parse_endpoint_list
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.sequence_tracker import Announcement, SequenceTracker
from function_router.net.timer_wheel import Timer

# The log sends a heartbeat each second, and an event that it holds back counts as published after 4 s.
SILENCE_TIMEOUT_MS = 2_000.0
# For one line, while bytes of it keep coming: a complete list over a slow or crowded way.
MAX_LINE_MS = 30_000.0
# Before the next connection attempt: an event of a broken connection counts as published after 2 s.
RECONNECT_DELAY_MS = 200.0
# The delay doubles up to this where a log answers, but sends nothing valid.
MAX_RECONNECT_DELAY_MS = 1_000.0
CONNECT_TIMEOUT_MS = 1_000.0
# A complete list of some ten thousand workers.
MAX_LINE_BYTES = 4 * 1024 * 1024
# Of an invalid line, in the program's log.
MAX_LOGGED_LINE_BYTES = 80

REQUEST_FORMAT = b"since %d\n"
SEQUENCE_FIELD = "seq"
ENDPOINTS_FIELD = "fleet"
IS_COMPLETE_FIELD = "complete"
MEMBERS_FIELD = "members"


@dataclass(frozen=True, slots=True)
class EndpointEvent:
    """An event of the endpoint log; its list of endpoints is checked only when it is to be applied."""

    sequence: int
    has_endpoints: bool  # an event may be without; it only takes a sequence number then
    endpoints: object = None  # as decoded from JSON

    @classmethod
    def from_json(cls, decoded: object) -> "EndpointEvent | None":
        """The event that a decoded line holds; None where the line is no event."""
        if not isinstance(decoded, dict):
            return None
        sequence = _sequence_number(decoded.get(SEQUENCE_FIELD))
        if sequence is None:
            return None
        return cls(sequence, ENDPOINTS_FIELD in decoded, decoded.get(ENDPOINTS_FIELD))

    @property
    def is_snapshot(self) -> bool:
        """Whether it holds the complete list, which replaces all events before it."""
        endpoints = self.endpoints
        if not isinstance(endpoints, dict):
            return False
        return endpoints.get(IS_COMPLETE_FIELD) is True and bool(endpoints.get(MEMBERS_FIELD))


def _sequence_number(value: object) -> int | None:
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    return None


class EndpointWatch:
    """Follows the endpoint log: each event is applied once and in order.

    What is missing or invalid is requested again. It owns its connection, and is the handler of it.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        on_endpoints: Callable[[EndpointList], None],
        on_caught_up: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        """Follow the log at an address, from its first event on unless `advance_to` says otherwise.

        `on_endpoints` may raise ConfigurationError, which makes the event invalid; `on_caught_up` is called
        when the log announces that it has no event which was not applied.
        """
        now_ms = monotonic_ms()
        self._loop = loop
        self._address = address
        self._on_endpoints = on_endpoints
        self._on_caught_up = on_caught_up
        self._log = log
        self._tracker = SequenceTracker(0)
        self._connection: Connection | None = None
        self._reconnect_timer: Timer | None = None
        self._reconnect_delay_ms = RECONNECT_DELAY_MS  # after an invalid line
        self._last_connect_ms = now_ms
        self._last_line_ms = now_ms  # when the last whole line came
        self._partial_line = b""

    @property
    def last_sequence(self) -> int:
        """The sequence number of the last event that was applied."""
        return self._tracker.last_sequence

    # --- the connection -------------------------------------------------------------------------

    def connect(self) -> None:
        """Connect to the log; where not even an attempt can be made, do so after a delay."""
        now_ms = monotonic_ms()
        self._reconnect_timer = None
        self._partial_line = b""
        self._last_connect_ms = now_ms
        self._last_line_ms = now_ms
        connection = Connection.connect(self._loop, self._address, self, CONNECT_TIMEOUT_MS)
        if isinstance(connection, CloseReason):
            self._connect_after(RECONNECT_DELAY_MS)
        else:
            self._connection = connection

    def move_to(self, address: Address) -> None:
        """Go on at another address, with the same sequence numbers."""
        self._address = address
        self._reconnect_delay_ms = RECONNECT_DELAY_MS
        self._tracker.forget_requests()
        self._disconnect(CloseReason.ENDPOINT_REPLACED)
        self.connect()

    def check_timeouts(self) -> None:
        """Connect anew where nothing came for too long: a log that stopped may not close its end."""
        connection = self._connection
        if connection is None or not connection.is_connected:
            return
        now_ms = monotonic_ms()
        is_in_line = bool(self._partial_line) and now_ms - self._last_line_ms <= MAX_LINE_MS
        last_progress_ms = connection.last_received_ms if is_in_line else self._last_line_ms
        if now_ms - last_progress_ms > SILENCE_TIMEOUT_MS:
            self._request_again("silent")

    def close(self) -> None:
        """Close the connection for good."""
        self._disconnect(CloseReason.SHUTDOWN)

    def _connect_after(self, delay_ms: float) -> None:
        self._reconnect_timer = self._loop.timers.call_later(delay_ms, self.connect)

    def _disconnect(self, reason: CloseReason) -> None:
        """Close the connection without the reconnect that follows when it breaks."""
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
            self._reconnect_timer = None
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close(reason)

    def _request_again(self, cause: str) -> None:
        """Request the events after the last one on a new connection, with a growing delay between requests.

        Without the delay, a log that sends nothing valid would be asked in a busy loop.
        """
        self._log(f"endpoint log: {cause}; requested again from {self.last_sequence}")
        self._disconnect(CloseReason.PROTOCOL_ERROR)
        if monotonic_ms() - self._last_connect_ms >= self._reconnect_delay_ms:
            self.connect()
        else:
            self._connect_after(self._reconnect_delay_ms)
            self._reconnect_delay_ms = min(MAX_RECONNECT_DELAY_MS, 2 * self._reconnect_delay_ms)

    # --- from the connection --------------------------------------------------------------------

    def on_connected(self) -> None:
        """Request the events after the last one."""
        self._last_line_ms = monotonic_ms()
        if self._connection is not None:
            self._connection.write(REQUEST_FORMAT % self.last_sequence)

    def on_flushed(self) -> None:
        """Nothing to do: the one request is small."""

    def on_write_delayed(self) -> None:
        """Nothing to do: the one request is small."""

    def on_closed(self, reason: CloseReason) -> None:
        """Connect again after a delay, unless the connection was closed by this object."""
        if self._connection is None:
            return
        self._connection = None
        self._log(f"endpoint log: {reason.name}; connecting again from {self.last_sequence}")
        self._connect_after(RECONNECT_DELAY_MS)

    def on_data(self, data: bytes) -> None:
        """Take in the whole lines, up to one after which the rest is requested again."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        connection = self._connection
        for line in lines:
            self._last_line_ms = monotonic_ms()
            self._take_line(line)
            if self._connection is not connection:
                return
        if len(self._partial_line) > MAX_LINE_BYTES and connection is not None:
            connection.close(CloseReason.PROTOCOL_ERROR)

    # --- the lines ------------------------------------------------------------------------------

    def apply_event(self, decoded: object, *, is_initial: bool = False) -> bool:
        """Apply an event, as decoded from JSON; False where it is invalid, or not the next one.

        An event that was applied before changes nothing. A complete snapshot may come ahead of a gap.

        Args:
            decoded: The content of a line.
            is_initial: Whether it is one of the start, between which events may be missing.
        """
        event = EndpointEvent.from_json(decoded)
        if event is None:
            return False
        if self._tracker.is_applied(event.sequence):
            return True
        is_ahead_of_gap = not is_initial and self._tracker.has_gap_before(event.sequence)
        if is_ahead_of_gap and not event.is_snapshot:
            return False
        if not self._deliver(event):
            return False
        self._tracker.record_applied(event.sequence, is_ahead_of_gap=is_ahead_of_gap)
        self._reconnect_delay_ms = RECONNECT_DELAY_MS
        return True

    def advance_to(self, sequence: int) -> None:
        """Count all events up to this sequence number as applied."""
        self._tracker.advance_to(sequence)

    def _take_line(self, line: bytes) -> None:
        try:
            decoded: object = msgspec.json.decode(line)
        except (msgspec.DecodeError, RecursionError):
            decoded = None
        announced = _sequence_number(decoded)
        if announced is not None:
            self._on_announcement(announced)
        elif not self.apply_event(decoded):
            self._on_invalid_line(decoded, line)

    def _on_announcement(self, sequence: int) -> None:
        self._reconnect_delay_ms = RECONNECT_DELAY_MS
        may_repeat_request = monotonic_ms() - self._last_connect_ms > SILENCE_TIMEOUT_MS
        announcement = self._tracker.record_announcement(sequence, may_repeat_request=may_repeat_request)
        if announcement is Announcement.SNAPSHOT_REVOKED:
            self._request_again(f"its last event is {sequence}, before the snapshot that it sent")
        elif announcement is Announcement.CAUGHT_UP:
            self._on_caught_up()
        elif announcement is Announcement.EVENTS_MISSING:
            self._request_again(f"events up to {sequence} are missing")

    def _on_invalid_line(self, decoded: object, line: bytes) -> None:
        """Request a line again that is not the next event; skip the event where that was in vain.

        An event ahead of a gap is applied then, but those before it still are if they come.
        """
        if self._tracker.record_invalid_line():
            self._request_again(f"not the next event: {line[:MAX_LOGGED_LINE_BYTES]!r}")
            return
        skipped_through = self._tracker.position + 1
        event = EndpointEvent.from_json(decoded)
        if event is not None and event.sequence >= skipped_through and self._deliver(event):
            skipped_through = event.sequence
        self._tracker.skip_through(skipped_through)
        self._log(f"endpoint log: skipped events up to {skipped_through}")

    def _deliver(self, event: EndpointEvent) -> bool:
        """Hand the event's endpoints on; False where they are invalid."""
        try:
            if event.has_endpoints:
                self._on_endpoints(parse_endpoint_list(event.endpoints))
        except ConfigurationError:
            return False
        return True
