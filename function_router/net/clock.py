"""The system's clocks in milliseconds, and the clock that the decision module sees."""

import time
from collections.abc import Callable

MAX_SLEW = 0.005  # ms per ms: how much faster or slower than the monotonic clock `Clock` may run


def monotonic_ms() -> float:
    """The monotonic clock in milliseconds: for delays and timeouts."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """The system's wall clock: milliseconds since the Unix epoch. It steps where it is set."""
    return time.time() * 1000.0


class Clock:
    """The Unix time in milliseconds, without the steps of the system's clock.

    The decision module's deadlines and windows all live on this clock, so a system clock that is set
    while requests are pending must not move them. It advances with the monotonic clock and converges to
    the system's by slewing, as adjtime(3) does.
    """

    def __init__(
        self,
        read_monotonic_ms: Callable[[], float] = monotonic_ms,
        read_unix_ms: Callable[[], float] = unix_ms,
    ) -> None:
        """Start at the system's time."""
        self._read_monotonic_ms = read_monotonic_ms
        self._read_unix_ms = read_unix_ms
        self._last_read_ms = read_monotonic_ms()
        self._offset_ms = read_unix_ms() - self._last_read_ms  # from the monotonic time to the one shown

    def now_ms(self) -> float:
        """Milliseconds since the Unix epoch; never goes back."""
        monotonic = self._read_monotonic_ms()
        max_correction = MAX_SLEW * (monotonic - self._last_read_ms)
        error = self._read_unix_ms() - monotonic - self._offset_ms
        self._offset_ms += max(-max_correction, min(max_correction, error))
        self._last_read_ms = monotonic
        return monotonic + self._offset_ms
