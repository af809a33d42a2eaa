"""A lower bound of the time at which the endpoint log sent its last heartbeat.

A heartbeat has no time stamp. It may arrive late, as the log or the network may delay all lines of a
connection, so its arrival says only that it was not sent later. Two facts say how long before the arrival it
may have been sent. The log sends the first heartbeat after it has received the request, thus not before the
request was sent. It sends the next ones at an interval, thus each at least one interval after the previous
one.

A log may send the first heartbeat up to an interval after the request. It sends events at once, though: if an
event came in time before the first heartbeat, the lines were in time, and so was the heartbeat, unless they
have become late in between.

If the lines are in time, the bound is exact at the first heartbeat. It falls behind by what the log's
intervals are longer in reality, and becomes exact again with a new request. (Bounds from a request and its
answer: Cristian, "Probabilistic Clock Synchronization", 1989.)
"""

from function_router.decisions.list_lease import HEARTBEAT_INTERVAL_MS

# Maximum time by which an interval may be shorter than HEARTBEAT_INTERVAL_MS. A line that arrives earlier is
# not one of the periodic heartbeats, so nothing is known of the time since the previous one.
MAX_EARLY_MS = 20.0
# By how much the interval between the arrivals of two heartbeats may be longer than HEARTBEAT_INTERVAL_MS, if
# an event between them may have made the log send an additional heartbeat.
MAX_LATE_MS = 100.0
# Maximum time from a request to a first line that counts as in time.
MAX_FIRST_LINE_DELAY_MS = 100.0


class HeartbeatTimeline:
    """Bounds the send times of the heartbeats on one connection. All times are on the monotonic clock.

    Attributes:
        requested_ms: When the events were requested on the connection.
        count: Number of heartbeats received, without those that came too early.
        first_delay_ms: The time from the request to the first heartbeat; None before it.
        sent_ms: The time at which the last heartbeat was sent, or an earlier one; before the first heartbeat,
            that of the request if events have answered it, else None.
    """

    __slots__ = (
        "_first_event_ms",
        "_has_event_since",
        "_last_read_ms",
        "count",
        "first_delay_ms",
        "requested_ms",
        "sent_ms",
    )

    def __init__(self, requested_ms: float) -> None:
        self.requested_ms = requested_ms
        self.count = 0
        self.first_delay_ms: float | None = None
        self._first_event_ms: float | None = None  # when the first event was read
        self._has_event_since = False  # whether an event was read since the last heartbeat that was counted
        self._last_read_ms = requested_ms  # when the last heartbeat that was counted was read
        self.sent_ms: float | None = None

    @property
    def is_first_in_time(self) -> bool:
        """Whether the first heartbeat came soon after the request, or soon after an event in time."""
        if self.first_delay_ms is None or self.sent_ms is None:
            return False
        return self.first_delay_ms <= MAX_FIRST_LINE_DELAY_MS or self.sent_ms > self.requested_ms

    @property
    def next_due_ms(self) -> float:
        """The time at which the next heartbeat is sent at the latest, if none is late."""
        last_ms = self.requested_ms if self.sent_ms is None else self.sent_ms
        return last_ms + HEARTBEAT_INTERVAL_MS

    def record_event(self, read_ms: float) -> None:
        """Record an event that was read from the connection."""
        self._has_event_since = True
        if self._first_event_ms is None:
            self._first_event_ms = read_ms

    def record_answer(self) -> bool:
        """Record that the events that were read answer the request, unless a line has shown a time before.

        The log sends the events that it had published together, so the list was complete at the request.

        Returns:
            Whether `sent_ms` is known since now.
        """
        if self.sent_ms is not None or self._first_event_ms is None:
            return False
        self.sent_ms = self.requested_ms
        return True

    def record_heartbeat(self, read_ms: float) -> float:
        """Record a heartbeat that was read from the connection, and return `sent_ms`.

        Args:
            read_ms: When it was read. It may have arrived long before, as the process may have been
                suspended.
        """
        if self.count == 0 or self.sent_ms is None:
            self.count = 1
            self.first_delay_ms = read_ms - self.requested_ms
            self.sent_ms = self._first_sent_ms(read_ms)
            self._record_counted(read_ms)
        elif self._is_periodic(read_ms, self.sent_ms):
            self.count += 1
            self.sent_ms = min(self.sent_ms + HEARTBEAT_INTERVAL_MS, read_ms)
            self._record_counted(read_ms)
        return self.sent_ms

    def _record_counted(self, read_ms: float) -> None:
        self._has_event_since = False
        self._last_read_ms = read_ms

    def _is_periodic(self, read_ms: float, previous_sent_ms: float) -> bool:
        """Return whether a heartbeat was sent at least an interval after the previous one.

        A log may send an additional heartbeat with an event. After an event, a heartbeat therefore counts
        only if it arrives an interval after the previous one.
        """
        if previous_sent_ms + HEARTBEAT_INTERVAL_MS > read_ms + MAX_EARLY_MS:
            return False
        deviation_ms = read_ms - self._last_read_ms - HEARTBEAT_INTERVAL_MS
        return not self._has_event_since or -MAX_EARLY_MS <= deviation_ms <= MAX_LATE_MS

    def _first_sent_ms(self, read_ms: float) -> float:
        """Return when the first heartbeat was sent, or an earlier time."""
        if self._first_event_ms is None:
            return self.requested_ms
        event_delay_ms = self._first_event_ms - self.requested_ms
        was_in_time = event_delay_ms <= MAX_FIRST_LINE_DELAY_MS
        if not was_in_time or read_ms - self._first_event_ms > HEARTBEAT_INTERVAL_MS + MAX_EARLY_MS:
            return self.requested_ms
        return max(self.requested_ms, read_ms - event_delay_ms)
