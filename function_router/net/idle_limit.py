"""How long a connection may have been idle and still be used."""

# Of the keep-alive: a connection is closed here before the worker closes it, so that no send crosses a close.
KEEPALIVE_PART = 0.7
# The limit never falls below this.
MIN_LIMIT_MS = 50.0
# Of the idle time after which a connection turned out to be stale.
STALE_IDLE_PART = 0.7
# At each periodic check, four times a second.
GROWTH_FACTOR = 1.02


class IdleLimit:
    """The longest idle time after which a connection is trusted to still work, in `limit_ms`.

    Something on the way may drop connections that were idle for far less than the keep-alive. A stale
    connection lowers the limit below its idle time; the limit grows again while no other one shows up.
    """

    __slots__ = ("_max_limit_ms", "limit_ms")

    def __init__(self, keepalive_ms: float) -> None:
        self._max_limit_ms = max(MIN_LIMIT_MS, KEEPALIVE_PART * keepalive_ms)
        self.limit_ms = self._max_limit_ms

    def on_stale_connection(self, idle_ms: float) -> None:
        """A connection that had been idle for so long was stale when it was used again."""
        if idle_ms >= MIN_LIMIT_MS:
            self.limit_ms = min(self.limit_ms, max(MIN_LIMIT_MS, STALE_IDLE_PART * idle_ms))

    def grow(self) -> None:
        """Raise the limit by one step; called at each periodic check."""
        self.limit_ms = min(self._max_limit_ms, GROWTH_FACTOR * self.limit_ms)
