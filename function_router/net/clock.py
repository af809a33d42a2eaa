"""The system's clocks in milliseconds, and the clock that the decision module sees."""

import time
from collections.abc import Callable


def monotonic_ms() -> float:
    """The monotonic clock in milliseconds: for delays and timeouts."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """The system's wall clock: milliseconds since the Unix epoch. It steps where it is set."""
    return time.time() * 1000.0


class Clock:
    """The monotonic clock, shifted to the Unix time at which the router started.

    All that the decision module measures are spans of real time: deadlines, windows, waits. A wall clock
    that is set, by seconds or by an hour, moves none of them.
    """

    def __init__(
        self,
        read_monotonic_ms: Callable[[], float] = monotonic_ms,
        read_unix_ms: Callable[[], float] = unix_ms,
    ) -> None:
        """Start at the system's time."""
        self._read_monotonic_ms = read_monotonic_ms
        self._offset_ms = read_unix_ms() - read_monotonic_ms()

    def now_ms(self) -> float:
        """Milliseconds; never goes back."""
        return self._read_monotonic_ms() + self._offset_ms
