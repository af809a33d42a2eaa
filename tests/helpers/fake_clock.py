"""A fake monotonic clock."""


class FakeMonotonicClock:
    """A clock that the test sets (`now_ms`) or advances. The code under test calls `read_ms`."""

    def __init__(self, now_ms=0.0):
        self.now_ms = now_ms

    def read_ms(self):
        """Return the current time."""
        return self.now_ms

    def advance(self, elapsed_ms):
        """Advance the clock."""
        self.now_ms += elapsed_ms
