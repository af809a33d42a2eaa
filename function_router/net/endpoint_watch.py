"""The watch on the endpoint log, which applies events in order and requests missing events again."""

from collections.abc import Callable, Iterable
from typing import Protocol

from function_router.config import (
    INITIAL_EVENTS_KEY,
    Address,
    ConfigurationError,
    EndpointList,
    parse_endpoint_list,
)
from function_router.decisions.endpoint_polling import PollSchedule
from function_router.net.endpoint_log_client import EndpointLogClient
from function_router.net.endpoint_messages import EndpointEvent, SequenceAnnouncement, parse_line
from function_router.net.event_loop import EventLoop
from function_router.net.heartbeat_timeline import HeartbeatTimeline
from function_router.net.sequence_tracker import InvalidLineResponse, SequenceTracker, SyncState
from function_router.net.telemetry import Telemetry

# Maximum length of an invalid line that a log line quotes, and of an invalid event that an error message
# quotes.
MAX_QUOTED_LINE_BYTES = 80
MAX_QUOTED_EVENT_CHARACTERS = 80


class EndpointLogObserver(Protocol):
    """Is notified of what the endpoint log shows about the age of the endpoint list."""

    def on_heartbeat(self, timeline: HeartbeatTimeline) -> None:
        """Handle a heartbeat, whatever the number in it."""

    def on_confirmed(self, sent_ms: float) -> None:
        """Handle an announcement by which all events of the log have been applied or skipped.

        Args:
            sent_ms: When it was sent, or an earlier time, on the monotonic clock.
        """

    def on_interrupted(self) -> None:
        """Handle that the watch does not follow the log any more, or not yet."""


class EndpointWatch:
    """Follows the endpoint log, and applies each event once and in order.

    Events that the log announces are requested again until they arrive or are skipped. After an invalid
    line, or an event after a gap, events are requested again once. If another such line follows at the same
    position, the invalid line or the gap is skipped. The watch owns the client of the log and the position in
    the log.

    Args:
        loop: The event loop.
        address: The address on which the log listens.
        on_endpoints: Called with the endpoint list of each event; a ConfigurationError that the callback
            raises makes the event invalid.
        observer: Is notified of heartbeats, confirmations and interruptions.
        poll_schedule: When to request the events on further connections.
        telemetry: Writes the log lines, and counts the requests to the log.

    Attributes:
        client: The client of the endpoint log, which has the connection.
        is_last_event_complete: Whether the last event that was applied has a complete list.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        on_endpoints: Callable[[EndpointList], None],
        observer: EndpointLogObserver,
        poll_schedule: PollSchedule,
        telemetry: Telemetry,
    ) -> None:
        """Create a watch on the log at `address`, from the first event or after `apply_initial_events`."""
        self._on_endpoints = on_endpoints
        self._observer = observer
        self._log = telemetry.log
        self._tracker = SequenceTracker(0)
        self.is_last_event_complete = False
        self.client = EndpointLogClient(loop, address, self, poll_schedule, telemetry)

    @property
    def last_sequence(self) -> int:
        """The sequence number of the last event that was applied."""
        return self._tracker.last_sequence

    def apply_initial_events(self, events: Iterable[object], last_sequence: int) -> None:
        """Apply the events in the configuration, and mark all events up to `last_sequence` as applied.

        The sequence numbers of these events may have gaps.

        Raises:
            ConfigurationError: An event is invalid.
        """
        for decoded in events:
            event = EndpointEvent.from_json(decoded)
            if event is None or not self._try_apply(event, is_initial=True):
                problem = f"not a valid event: {str(decoded)[:MAX_QUOTED_EVENT_CHARACTERS]}"
                raise ConfigurationError(INITIAL_EVENTS_KEY, problem)
        self._tracker.advance_to(last_sequence)

    def move_to(self, address: Address) -> None:
        """Follow the log at another address from the current position; the sequence numbers stay valid."""
        self._tracker.reset_requests()
        self.client.move_to(address)

    # --- callbacks of the client ----------------------------------------------------------------

    def on_answered(self, requested_ms: float) -> None:
        """Report that all events have been received that the log had published at the time of a request."""
        if self._tracker.is_complete:
            self._observer.on_confirmed(requested_ms)

    def on_interrupted(self) -> None:
        """Report that the watch does not follow the log any more, or not yet."""
        self._observer.on_interrupted()

    def on_line(self, line: bytes) -> None:
        """Apply an event, compare an announcement with the position, or handle an invalid line."""
        message = parse_line(line)
        if isinstance(message, SequenceAnnouncement):
            self._on_announcement(message.sequence)
            return
        if message is not None:
            self.client.record_event()
        if message is None or not self._try_apply(message):
            self._on_invalid_line(message, line)

    def _on_announcement(self, sequence: int) -> None:
        self.client.reset_backoff()
        timeline = self.client.record_heartbeat()
        if timeline is None:
            return
        self._observer.on_heartbeat(timeline)
        may_repeat_request = self.client.may_repeat_request
        state = self._tracker.record_announcement(sequence, may_repeat_request=may_repeat_request)
        if state is SyncState.SNAPSHOT_REVOKED:
            self.client.request_again(f"last event {sequence} precedes the received snapshot")
        elif state is SyncState.CAUGHT_UP and timeline.sent_ms is not None:
            self._observer.on_confirmed(timeline.sent_ms)
        elif state is SyncState.EVENTS_MISSING:
            self.client.request_again(f"events up to {sequence} are missing")

    def _on_invalid_line(self, event: EndpointEvent | None, line: bytes) -> None:
        """Request the next event again, or skip it if it was already requested again.

        When a gap is skipped, the event after the gap is applied. Events in the gap are still applied if they
        arrive later.
        """
        if self._tracker.record_invalid_line() is InvalidLineResponse.REQUEST_AGAIN:
            self.client.request_again(f"invalid or unexpected line: {line[:MAX_QUOTED_LINE_BYTES]!r}")
            return
        skipped_through = self._tracker.position + 1
        is_unreadable = event is None or event.sequence < skipped_through or not self._deliver(event)
        if event is not None and not is_unreadable:
            skipped_through = event.sequence
        self._tracker.skip_through(skipped_through, is_last_applied=not is_unreadable)
        self._log(f"endpoint log: skipped events up to {skipped_through}")

    # --- events ---------------------------------------------------------------------------------

    def _try_apply(self, event: EndpointEvent, *, is_initial: bool = False) -> bool:
        """Apply an event, and return False if the event is invalid or out of order.

        An event that was applied before is ignored. A snapshot may be applied after a gap, and so may any
        initial event.
        """
        if self._tracker.is_applied(event.sequence):
            return True
        is_after_gap = not is_initial and self._tracker.has_gap_before(event.sequence)
        if is_after_gap and not event.is_snapshot:
            return False
        if not self._deliver(event):
            return False
        self.is_last_event_complete = event.is_snapshot
        self._tracker.record_applied(event.sequence, is_after_gap=is_after_gap, is_snapshot=event.is_snapshot)
        self.client.reset_backoff()
        return True

    def _deliver(self, event: EndpointEvent) -> bool:
        """Pass on the event's endpoint list, and return False if the list is invalid."""
        try:
            if event.has_endpoints:
                self._on_endpoints(parse_endpoint_list(event.endpoints))
        except ConfigurationError:
            return False
        return True
