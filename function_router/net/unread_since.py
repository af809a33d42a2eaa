"""Since when the unread bytes of a socket can have been there, on the monotonic clock."""

from function_router.net.event_loop import EventLoop

# A socket that each poll has reported as readable for longer than this is read until nothing is left.
MAX_READABLE_INTERVAL_MS = 50.0


class UnreadSince:
    """The earliest time at which the unread bytes of a watched socket can have arrived.

    A poll of the event loop that does not report the socket proves that nothing was unread at that time, and
    so does a read that finds nothing. What is unread afterwards has arrived later.
    """

    __slots__ = ("_last_reported_poll", "_loop", "_since_ms")

    def __init__(self, loop: EventLoop, since_ms: float) -> None:
        """Start to watch a socket that had nothing unread at `since_ms`."""
        self._loop = loop
        self._last_reported_poll = loop.poll_count
        self._since_ms = since_ms

    @property
    def since_ms(self) -> float:
        """The earliest time at which what is unread now can have arrived."""
        return self._since_ms

    @property
    def max_wait_ms(self) -> float:
        """The longest time for which what is unread can have waited when this turn began."""
        return max(0.0, self._loop.turn_started_ms - self._since_ms)

    def on_reported_readable(self) -> None:
        """The last poll reported the socket as readable."""
        if self._last_reported_poll < self._loop.poll_count - 1:
            self._since_ms = self._loop.previous_poll_ms
        self._last_reported_poll = self._loop.poll_count

    def on_read_empty(self) -> None:
        """A read found nothing."""
        self._since_ms = self._loop.turn_started_ms

    def on_watch_resumed(self) -> None:
        """The socket was not watched for a while, so that the polls up to now prove nothing."""
        self._last_reported_poll = self._loop.poll_count

    def should_read_until_empty(self) -> bool:
        """Whether the socket was readable at each poll for so long that it should be read until empty."""
        return self.max_wait_ms > MAX_READABLE_INTERVAL_MS
