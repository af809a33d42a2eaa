"""The position in the endpoint log: which events were applied, skipped, or have to be requested again."""

from enum import Enum, auto


class SyncState(Enum):
    """How the events received so far compare with the last sequence number that the log has announced."""

    CAUGHT_UP = auto()  # no event is missing
    EVENTS_MISSING = auto()  # events are missing, and have to be requested again
    EVENTS_STILL_MISSING = auto()  # events are missing, but the last request is too recent to be repeated
    EVENT_SKIPPED = auto()  # an event was skipped, and no snapshot has been applied since
    LOG_IS_BEHIND = auto()  # the announced number is below that of the last applied event
    SNAPSHOT_REVOKED = auto()  # a snapshot after a gap had a sequence number beyond the end of the log


class InvalidLineResponse(Enum):
    """The response to a line that is not the next event."""

    REQUEST_AGAIN = auto()
    SKIP = auto()  # events were already requested again at this position


class SequenceTracker:
    """Decides whether an event is the next one, and how to respond to invalid lines and missing events.

    Missing events are requested again until they arrive. An invalid line is requested again once and then
    skipped, so that a permanently invalid line does not hide the events after it. The tracker has no
    connection and no clock.

    Attributes:
        last_sequence: The sequence number of the last event that was applied.
    """

    __slots__ = (
        "_invalid_line_position",
        "_missing_after",
        "_sequence_before_snapshot",
        "_skipped_events",
        "_skipped_through",
        "last_sequence",
    )

    def __init__(self, last_sequence: int) -> None:
        self.last_sequence = last_sequence
        self._skipped_through = 0  # events up to this number were requested again without success
        self._skipped_events = range(0)  # from the first to the last one that was skipped and not applied
        self._invalid_line_position: int | None = None  # position at which an invalid line led to a request
        self._missing_after: int | None = None  # `last_sequence` when missing events led to a request
        # The value of `last_sequence` before a snapshot after a gap was applied. It is kept until an
        # announcement confirms the number of the snapshot.
        self._sequence_before_snapshot: int | None = None

    @property
    def position(self) -> int:
        """The number up to which no event is awaited; a skipped event that arrives late is still applied."""
        return max(self.last_sequence, self._skipped_through)

    @property
    def awaits_repeat(self) -> bool:
        """Whether an invalid line led to a new request, and nothing valid was received since then."""
        return self._invalid_line_position is not None

    @property
    def is_complete(self) -> bool:
        """Whether each event up to the last one was applied, as far as is known."""
        is_uncertain = self.awaits_repeat or self._sequence_before_snapshot is not None
        return not self._skipped_events and not is_uncertain

    def is_applied(self, sequence: int) -> bool:
        """Return whether the event with this number, or a later event, was applied."""
        return sequence <= self.last_sequence

    def has_gap_before(self, sequence: int) -> bool:
        """Return whether events between the position and this number are missing."""
        return sequence > self.position + 1

    def advance_to(self, sequence: int) -> None:
        """Mark all events up to this number as applied."""
        self.last_sequence = max(self.last_sequence, sequence)

    def record_applied(self, sequence: int, *, is_after_gap: bool = False, is_snapshot: bool = False) -> None:
        """Record an applied event; only a snapshot may be applied after a gap, and it fills the gap."""
        if is_snapshot:
            self._skipped_events = range(0)
        elif self._skipped_events and sequence == self._skipped_events.start:
            self._skipped_events = self._skipped_events[1:]
        if is_after_gap:
            self._sequence_before_snapshot = self.last_sequence
        self.last_sequence = sequence
        self._invalid_line_position = None

    def record_invalid_line(self) -> InvalidLineResponse:
        """Record a line that is not the next event."""
        if self._invalid_line_position != self.position:
            self._invalid_line_position = self.position
            return InvalidLineResponse.REQUEST_AGAIN
        self._invalid_line_position = None
        return InvalidLineResponse.SKIP

    def skip_through(self, sequence: int, *, is_last_applied: bool) -> None:
        """Stop waiting for the events up to this number.

        Without them the list is incomplete, until they arrive in order or a snapshot is applied.

        Args:
            sequence: The number of the last event that is not awaited any more.
            is_last_applied: Whether that event itself was applied, so that only those before it are missing.
        """
        first_skipped = self._skipped_events.start if self._skipped_events else self.position + 1
        self._skipped_through = sequence
        self._skipped_events = range(first_skipped, sequence if is_last_applied else sequence + 1)

    def record_announcement(self, sequence: int, *, may_repeat_request: bool) -> SyncState:
        """Compare the position with the last sequence number that the log announces.

        Args:
            sequence: The number of the last event in the log.
            may_repeat_request: Whether missing events may be requested a second time from the same position.
        """
        if self._sequence_before_snapshot is not None and sequence < self.last_sequence:
            self.last_sequence = self._sequence_before_snapshot
            self._skipped_through = 0
            self._sequence_before_snapshot = None
            return SyncState.SNAPSHOT_REVOKED
        if sequence > self.position:
            if self._missing_after == self.last_sequence and not may_repeat_request:
                return SyncState.EVENTS_STILL_MISSING
            self._missing_after = self.last_sequence
            return SyncState.EVENTS_MISSING
        # The log has no events beyond this number, so lines with such numbers were not events.
        self._skipped_events = range(self._skipped_events.start, min(self._skipped_events.stop, sequence + 1))
        self._skipped_through = sequence  # skipped numbers beyond the end of the log belong to future events
        self._invalid_line_position = None
        self._sequence_before_snapshot = None
        if sequence < self.last_sequence:
            return SyncState.LOG_IS_BEHIND
        return SyncState.EVENT_SKIPPED if self._skipped_events else SyncState.CAUGHT_UP

    def reset_requests(self) -> None:
        """Allow all requests to be repeated, as the log has moved to another address."""
        self._invalid_line_position = None
        self._missing_after = None
