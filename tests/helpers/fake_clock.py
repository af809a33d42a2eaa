"""A stand-in for the monotonic clock."""


class FakeMonotonicClock:
    """A clock that the test sets (`now_ms`) or advances; hand `read_ms` to the code under test."""

    def __init__(self, now_ms=0.0):
        self.now_ms = now_ms

    def read_ms(self):
        """The time now."""
        return self.now_ms

    def advance(self, elapsed_ms):
        """Let time pass."""
        self.now_ms += elapsed_ms
