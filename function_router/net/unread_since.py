"""Determines the earliest time at which the unread bytes of a socket can have arrived."""

from function_router.net.event_loop import EventLoop

# A socket that every poll has reported as readable for longer than this is read until it is empty: only an
# empty read proves that bytes read later are new.
MAX_READABLE_INTERVAL_MS = 50.0


class UnreadSince:
    """The earliest time at which the unread bytes of a watched socket can have arrived.

    A poll of the event loop that does not report the socket as readable proves that no byte was unread at
    that time, and so does a read that finds nothing. Bytes that are unread afterwards arrived later.
    """

    __slots__ = ("_last_reported_poll", "_loop", "_since_ms")

    def __init__(self, loop: EventLoop, since_ms: float) -> None:
        """Start with a socket whose unread bytes arrived at `since_ms` (monotonic) or later."""
        self._loop = loop
        self._last_reported_poll = loop.poll_count
        self._since_ms = since_ms

    @property
    def since_ms(self) -> float:
        """The earliest time, on the monotonic clock, at which the unread bytes can have arrived."""
        return self._since_ms

    @property
    def max_receive_delay_ms(self) -> float:
        """The longest time for which the unread bytes can have waited when this turn began."""
        return max(0.0, self._loop.turn_started_ms - self._since_ms)

    def on_reported_readable(self) -> None:
        """Record that the last poll reported the socket as readable."""
        if self._last_reported_poll < self._loop.poll_count - 1:
            self._since_ms = self._loop.previous_poll_ms
        self._last_reported_poll = self._loop.poll_count

    def on_read_empty(self) -> None:
        """Record that a read found nothing."""
        self._since_ms = self._loop.turn_started_ms

    def on_watch_changed(self) -> None:
        """Record that the event loop starts or stops watching the socket.

        The polls so far then prove nothing about its data.
        """
        self._last_reported_poll = self._loop.poll_count

    def should_read_until_empty(self) -> bool:
        """Return whether the socket must be read until it is empty.

        This is the case once every poll has reported the socket for longer than MAX_READABLE_INTERVAL_MS.
        """
        return self.max_receive_delay_ms > MAX_READABLE_INTERVAL_MS
