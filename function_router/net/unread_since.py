"""Since when the bytes that a socket has to read can have been there, by the monotonic clock."""

from function_router.net.event_loop import EventLoop

# After so long a stretch in which each look found something to read, a reader reads until nothing is left.
MAX_STRETCH_MS = 50.0


class UnreadSince:
    """The earliest time at which what is unread on a watched socket can have come.

    A look of the event loop at all sockets that does not report this one proves that nothing was unread
    then, and so does a read that finds nothing. What is unread later has come after that.
    """

    __slots__ = ("_loop", "_reported_at_look", "_since_ms")

    def __init__(self, loop: EventLoop, since_ms: float) -> None:
        """Watch from now on a socket that had nothing unread at `since_ms`."""
        self._loop = loop
        self._reported_at_look = loop.look_count
        self._since_ms = since_ms

    @property
    def since_ms(self) -> float:
        """The earliest time at which what is unread now can have come."""
        return self._since_ms

    @property
    def max_wait_ms(self) -> float:
        """For how long what is unread can have waited when this turn began."""
        return max(0.0, self._loop.turn_started_ms - self._since_ms)

    def on_reported(self) -> None:
        """This turn's look reports the socket as readable."""
        if self._reported_at_look < self._loop.look_count - 1:
            self._since_ms = self._loop.previous_look_ms
        self._reported_at_look = self._loop.look_count

    def on_drained(self) -> None:
        """A read found nothing."""
        self._since_ms = self._loop.turn_started_ms

    def on_watched_again(self) -> None:
        """The socket was not watched for a while, so that the looks before prove nothing."""
        self._reported_at_look = self._loop.look_count

    def should_drain(self) -> bool:
        """Whether the stretch in which each look found something to read is so long that it should end."""
        return self.max_wait_ms > MAX_STRETCH_MS
