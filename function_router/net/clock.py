"""The system's clocks in milliseconds, and the clock that the decision module sees."""

import time
from collections.abc import Callable


def monotonic_ms() -> float:
    """The monotonic clock in milliseconds: for delays and timeouts."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """The system's wall clock: milliseconds since the Unix epoch. It steps where it is set."""
    return time.time() * 1000.0


# A change of the wall clock against the monotonic one that is no slewing: the clock was set.
MIN_STEP_MS = 100.0
# Settings of the wall clock that are remembered; the one at the start is always kept.
MAX_REMEMBERED_OFFSETS = 8


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
        self._wall_clock_offsets_ms = [self._offset_ms]  # from the monotonic clock, as it was set so far

    def now_ms(self) -> float:
        """Milliseconds; never goes back."""
        return self._read_monotonic_ms() + self._offset_ms

    def note_wall_clock(self, offset_ms: float) -> None:
        """Note by how much the wall clock is ahead of the monotonic one now."""
        offsets_ms = self._wall_clock_offsets_ms
        if abs(offset_ms - offsets_ms[-1]) >= MIN_STEP_MS:
            offsets_ms.append(offset_ms)
            del offsets_ms[1:-MAX_REMEMBERED_OFFSETS]

    def possible_unix_times_ms(self) -> list[float]:
        """What time it is now by each setting that the wall clock has had since the start."""
        now_ms = self._read_monotonic_ms()
        return [now_ms + offset_ms for offset_ms in self._wall_clock_offsets_ms]
