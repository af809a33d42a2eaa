"""The position in a numbered log: which events were applied or skipped, and when to request some again."""

from enum import Enum, auto


class SyncState(Enum):
    """How the events received so far compare with the log, whose last sequence number was announced."""

    CAUGHT_UP = auto()  # no event is missing
    EVENTS_MISSING = auto()  # they are to be requested again
    EVENTS_STILL_MISSING = auto()  # the last request for them is too recent to be repeated
    EVENT_UNREADABLE = auto()  # one was skipped as it could not be read, and no snapshot has come since
    LOG_IS_BEHIND = auto()  # the log announces a number from before the last event that it sent
    SNAPSHOT_REVOKED = auto()  # a snapshot ahead of a gap had a sequence number beyond the end of the log


class InvalidLineResponse(Enum):
    """How to go on after a line that is not the next event."""

    REQUEST_AGAIN = auto()
    SKIP = auto()  # a request was repeated at this position already


class SequenceTracker:
    """Decides whether an event is the next one, and how to go on after an invalid line or a missing event.

    Missing events are requested again until they come. An invalid line is requested again once and then
    skipped, so that a line that stays invalid does not hide the events behind it. The tracker has no
    connection and no clock.
    """

    __slots__ = (
        "_invalid_line_position",
        "_missing_after",
        "_sequence_before_snapshot",
        "_skipped_through",
        "_unreadable_sequence",
        "last_sequence",
    )

    def __init__(self, last_sequence: int) -> None:
        self.last_sequence = last_sequence  # of the last event that was applied
        self._skipped_through = 0  # events up to this number were requested again without success
        self._unreadable_sequence: int | None = None  # of the last line that was skipped, if it was an event
        self._invalid_line_position: int | None = None  # position at which an invalid line led to a request
        self._missing_after: int | None = None  # last sequence when missing events led to a request
        # Last sequence before a snapshot ahead of a gap, until an announcement confirms the latter's number.
        self._sequence_before_snapshot: int | None = None

    @property
    def position(self) -> int:
        """The sequence number up to which no event is awaited; a skipped one is still applied if it comes."""
        return max(self.last_sequence, self._skipped_through)

    @property
    def awaits_repeat(self) -> bool:
        """Whether an event was requested again after an invalid line, and nothing valid has come since."""
        return self._invalid_line_position is not None

    def is_applied(self, sequence: int) -> bool:
        """Whether the event of this number, or a later one, was applied."""
        return sequence <= self.last_sequence

    def has_gap_before(self, sequence: int) -> bool:
        """Whether events between the position and this number are missing."""
        return sequence > self.position + 1

    def advance_to(self, sequence: int) -> None:
        """Count all events up to this number as applied."""
        self.last_sequence = max(self.last_sequence, sequence)

    def record_applied(
        self, sequence: int, *, is_ahead_of_gap: bool = False, is_snapshot: bool = False
    ) -> None:
        """Record an event that was applied; only a snapshot may come ahead of a gap, and it fills that."""
        if is_snapshot or sequence == self._unreadable_sequence:
            self._unreadable_sequence = None
        if is_ahead_of_gap:
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

    def skip_through(self, sequence: int, *, is_unreadable: bool) -> None:
        """Stop waiting for events up to this number, the last of which may have been unreadable."""
        self._skipped_through = sequence
        if is_unreadable:
            self._unreadable_sequence = sequence

    def record_announcement(self, sequence: int, *, may_repeat_request: bool) -> SyncState:
        """Compare the position with the last sequence number that the log announces.

        Args:
            sequence: the number of the last event in the log.
            may_repeat_request: whether missing events may be requested a second time from the same position.
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
        if self._unreadable_sequence is not None and sequence < self._unreadable_sequence:
            self._unreadable_sequence = None  # the log has no such event: the line was none
        self._skipped_through = sequence  # numbers that were skipped beyond it belong to future events
        self._invalid_line_position = None
        self._sequence_before_snapshot = None
        if sequence < self.last_sequence:
            return SyncState.LOG_IS_BEHIND
        return SyncState.CAUGHT_UP if self._unreadable_sequence is None else SyncState.EVENT_UNREADABLE

    def reset_requests(self) -> None:
        """Forget what was requested again, as the log has moved: it may be requested once more."""
        self._invalid_line_position = None
        self._missing_after = None
