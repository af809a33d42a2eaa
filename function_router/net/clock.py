"""The system clocks in milliseconds, and the clock of the decision module."""

import time
from collections.abc import Callable

from function_router.decisions.events import Transmission

# Minimum change of the offset between wall clock and monotonic clock that counts as a step of the wall clock.
# Slewing changes the offset more slowly.
MIN_STEP_MS = 100.0
# Number of offsets of the wall clock that are kept, in addition to the one at the start.
MAX_REMEMBERED_OFFSETS = 8


def monotonic_ms() -> float:
    """Return the time on the monotonic clock, for delays and timeouts."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Return the time on the wall clock, in milliseconds since the Unix epoch. It steps when it is set."""
    return time.time() * 1000.0


class Clock:
    """The clock of the decision module: the monotonic clock, offset to Unix time as of the router's start.

    The decision module only measures elapsed time, such as deadlines, windows and waits. A step of the wall
    clock, whether of seconds or of an hour, does not affect them.
    """

    def __init__(
        self,
        read_monotonic_ms: Callable[[], float] = monotonic_ms,
        read_unix_ms: Callable[[], float] = unix_ms,
    ) -> None:
        """Create a clock that starts at the time of the wall clock."""
        self._read_monotonic_ms = read_monotonic_ms
        self._offset_ms = read_unix_ms() - read_monotonic_ms()
        self._wall_clock_offsets_ms = [self._offset_ms]  # wall clock minus monotonic clock, oldest first

    def now_ms(self) -> float:
        """Return the time in milliseconds; it never goes backwards."""
        return self._read_monotonic_ms() + self._offset_ms

    def from_monotonic_ms(self, monotonic_time_ms: float) -> float:
        """Convert a time of the monotonic clock to this clock; infinite times stay infinite."""
        return monotonic_time_ms + self._offset_ms

    def to_monotonic_ms(self, time_ms: float) -> float:
        """Convert a time of this clock to the monotonic clock; infinite times stay infinite."""
        return time_ms - self._offset_ms

    def convert_transmission(self, transmission: Transmission | None) -> Transmission | None:
        """Convert the times of a transmission from the monotonic clock to this clock."""
        if transmission is None:
            return None
        return Transmission(
            self.from_monotonic_ms(transmission.sent_at_ms),
            self.from_monotonic_ms(transmission.connected_at_ms),
        )

    def record_wall_clock_offset(self, offset_ms: float) -> None:
        """Record the current offset of the wall clock from the monotonic clock, if the wall clock stepped."""
        offsets_ms = self._wall_clock_offsets_ms
        if abs(offset_ms - offsets_ms[-1]) >= MIN_STEP_MS:
            offsets_ms.append(offset_ms)
            del offsets_ms[1:-MAX_REMEMBERED_OFFSETS]

    def possible_unix_times_ms(self) -> list[float]:
        """Return the current Unix time according to each recorded offset of the wall clock."""
        now_ms = self._read_monotonic_ms()
        return [now_ms + offset_ms for offset_ms in self._wall_clock_offsets_ms]
