"""The limit on the idle time after which a connection is not used again."""

# Maximum of the limit, as a share of the workers' keep-alive time. The router closes an idle connection
# before the worker does, so that nothing is sent on a connection that is being closed.
KEEPALIVE_SHARE = 0.7
# Minimum of the limit. With a lower limit, hardly any connection would be reused.
MIN_LIMIT_MS = 50.0
# The limit after a stale connection was found, as a share of the connection's idle time.
STALE_IDLE_SHARE = 0.7
# Factor by which the limit grows at each periodic check, four times a second. The limit doubles in about 9 s.
GROWTH_FACTOR = 1.02


class IdleLimit:
    """The idle time up to which connections are used again.

    A middlebox, such as a firewall, may drop connections that were idle for far less than the keep-alive
    time. A stale connection lowers the limit below its idle time; the limit grows again while no other stale
    connection is found.

    Attributes:
        limit_ms: The current limit.
    """

    __slots__ = ("_max_limit_ms", "limit_ms")

    def __init__(self, connection_keepalive_ms: float) -> None:
        """Start at the highest limit. Workers keep an idle connection open for `connection_keepalive_ms`."""
        self._max_limit_ms = max(MIN_LIMIT_MS, KEEPALIVE_SHARE * connection_keepalive_ms)
        self.limit_ms = self._max_limit_ms

    def on_stale_connection(self, idle_ms: float) -> None:
        """Lower the limit, as a connection that had been idle for `idle_ms` was stale when used again."""
        if idle_ms >= MIN_LIMIT_MS:
            self.limit_ms = min(self.limit_ms, max(MIN_LIMIT_MS, STALE_IDLE_SHARE * idle_ms))

    def grow(self) -> None:
        """Raise the limit by one step; the worker pool calls this at each periodic check."""
        self.limit_ms = min(self._max_limit_ms, GROWTH_FACTOR * self.limit_ms)
