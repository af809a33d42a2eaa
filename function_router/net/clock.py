"""The system's clocks in milliseconds, and the clock of the decision module."""

import time
from collections.abc import Callable

# A change of the wall clock against the monotonic one from this size on is a step: slewing is slower.
MIN_STEP_MS = 100.0
# Offsets of the wall clock that are remembered; the one at the start always is.
MAX_REMEMBERED_OFFSETS = 8


def monotonic_ms() -> float:
    """The monotonic clock, for delays and timeouts."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """The wall clock: milliseconds since the Unix epoch. It steps when it is set."""
    return time.time() * 1000.0


class Clock:
    """The clock of the decision module: the monotonic clock, shifted to the Unix time of the router's start.

    The decision module measures real time only: deadlines, windows and waits. A step of the wall clock, be it
    of seconds or of an hour, changes none of them.
    """

    def __init__(
        self,
        read_monotonic_ms: Callable[[], float] = monotonic_ms,
        read_unix_ms: Callable[[], float] = unix_ms,
    ) -> None:
        """Start at the wall clock's time."""
        self._read_monotonic_ms = read_monotonic_ms
        self._offset_ms = read_unix_ms() - read_monotonic_ms()
        self._wall_clock_offsets_ms = [self._offset_ms]  # to the monotonic clock, oldest first

    def now_ms(self) -> float:
        """The time in milliseconds; it never goes back."""
        return self._read_monotonic_ms() + self._offset_ms

    def from_monotonic_ms(self, monotonic_time_ms: float) -> float:
        """The time on this clock at a moment of the monotonic clock; infinite times stay as they are."""
        return monotonic_time_ms + self._offset_ms

    def to_monotonic_ms(self, time_ms: float) -> float:
        """The moment on the monotonic clock at a time of this clock; infinite times stay as they are."""
        return time_ms - self._offset_ms

    def record_wall_clock_offset(self, offset_ms: float) -> None:
        """Record by how much the wall clock is ahead of the monotonic one now."""
        offsets_ms = self._wall_clock_offsets_ms
        if abs(offset_ms - offsets_ms[-1]) >= MIN_STEP_MS:
            offsets_ms.append(offset_ms)
            del offsets_ms[1:-MAX_REMEMBERED_OFFSETS]

    def possible_unix_times_ms(self) -> list[float]:
        """The Unix time now by each offset that the wall clock has had since the start."""
        now_ms = self._read_monotonic_ms()
        return [now_ms + offset_ms for offset_ms in self._wall_clock_offsets_ms]
