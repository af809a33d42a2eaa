"""The position in a numbered log: which events were applied or skipped, and when to request them again."""

from enum import Enum, auto


class Announcement(Enum):
    """What the last sequence number that a log announces shows about the events received so far."""

    CAUGHT_UP = auto()
    EVENTS_MISSING = auto()  # to be requested again
    EVENTS_STILL_MISSING = auto()  # but the last request is too recent to be repeated
    SNAPSHOT_REVOKED = auto()  # a snapshot ahead of a gap had a number that the log has not reached


class SequenceTracker:
    """Decides whether an event is the next one, and what an invalid line or a missing event leads to.

    An invalid line, or missing events, are requested again once; then they are skipped, so that one line
    that never becomes valid does not hide the events behind it. It knows no connection and no clock.
    """

    __slots__ = (
        "_invalid_line_position",
        "_missing_after",
        "_sequence_before_snapshot",
        "_skipped_through",
        "last_sequence",
    )

    def __init__(self, last_sequence: int) -> None:
        self.last_sequence = last_sequence  # of the last event that was applied
        self._skipped_through = 0  # missing events up to this number were requested again in vain
        self._invalid_line_position: int | None = None  # where an invalid line led to a request
        self._missing_after: int | None = None  # the last sequence when missing events led to a request
        # The last sequence before a snapshot ahead of a gap, until an announcement confirms its number.
        self._sequence_before_snapshot: int | None = None

    @property
    def position(self) -> int:
        """The sequence number up to which no event is waited for; a skipped one is applied if it comes."""
        return max(self.last_sequence, self._skipped_through)

    @property
    def awaits_repeat(self) -> bool:
        """Whether an invalid line was requested again and nothing valid has come since."""
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

    def record_applied(self, sequence: int, *, is_ahead_of_gap: bool) -> None:
        """Note an event that was applied; ahead of a gap only a complete snapshot can be."""
        if is_ahead_of_gap:
            self._sequence_before_snapshot = self.last_sequence
        self.last_sequence = sequence
        self._invalid_line_position = None

    def record_invalid_line(self) -> bool:
        """Note a line that is not the next event; True where it is to be requested again, not skipped."""
        if self._invalid_line_position != self.position:
            self._invalid_line_position = self.position
            return True
        self._invalid_line_position = None
        return False

    def skip_through(self, sequence: int) -> None:
        """Wait no longer for events up to this number."""
        self._skipped_through = sequence

    def record_announcement(self, sequence: int, *, may_repeat_request: bool) -> Announcement:
        """Compare the position with the last sequence number that the log announces.

        Args:
            sequence: The number of the last event in the log.
            may_repeat_request: Whether missing events may be requested a second time from the same position.
        """
        if self._sequence_before_snapshot is not None and sequence < self.last_sequence:
            self.last_sequence = self._sequence_before_snapshot
            self._skipped_through = 0
            self._sequence_before_snapshot = None
            return Announcement.SNAPSHOT_REVOKED
        if sequence > self.position:
            if self._missing_after == self.last_sequence and not may_repeat_request:
                return Announcement.EVENTS_STILL_MISSING
            self._missing_after = self.last_sequence
            return Announcement.EVENTS_MISSING
        self._skipped_through = sequence  # no event has the numbers that were skipped beyond it
        self._invalid_line_position = None
        self._sequence_before_snapshot = None
        return Announcement.CAUGHT_UP

    def forget_requests(self) -> None:
        """Request again whatever is invalid or missing from here on, as the log has moved."""
        self._invalid_line_position = None
        self._missing_after = None
