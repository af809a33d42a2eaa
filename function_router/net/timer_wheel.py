"""A hashed timing wheel, which keeps the event loop's timers in slots of coarse ticks.

It implements scheme 6 of Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987).
"""

import math
from collections.abc import Callable

from msgspec import Struct

from function_router.net.clock import monotonic_ms

# The resolution of the wheel: a timer fires at most one tick late.
TICK_MS = 4.0
# Number of slots. One revolution takes about two seconds; timers with longer delays stay in their slot for
# several revolutions.
SLOT_COUNT = 512


class Timer(Struct, eq=False):
    """A callback that is due at a tick; the callback is None once the timer has fired or was cancelled."""

    due_tick: int
    callback: Callable[[], None] | None

    def cancel(self) -> None:
        """Cancel the timer, which stays in its slot until the wheel passes the slot."""
        self.callback = None


def _ignore_exception(_where: str) -> None:
    """Do nothing; the default of `on_exception` until the owner of the wheel sets it."""


class TimerWheel:
    """A wheel of timers, which never fire early and fire at most one tick late.

    Attributes:
        on_exception: Called while an exception in a callback is being handled, with a description of its
            source.
    """

    def __init__(self, read_monotonic_ms: Callable[[], float] = monotonic_ms) -> None:
        """Create an empty wheel that starts at the current time."""
        self._read_monotonic_ms = read_monotonic_ms
        self._slots: list[list[Timer]] = [[] for _ in range(SLOT_COUNT)]
        self._tick = math.floor(read_monotonic_ms() / TICK_MS)  # the last tick whose timers have fired
        self.on_exception: Callable[[str], None] = _ignore_exception

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call a callback once, after a delay; a negative delay counts as 0."""
        due_tick = math.floor((self._read_monotonic_ms() + max(0.0, delay_ms)) / TICK_MS) + 1
        timer = Timer(max(due_tick, self._tick + 1), callback)
        self._slots[timer.due_tick % SLOT_COUNT].append(timer)
        return timer

    def advance(self, at_ms: float | None = None) -> int:
        """Fire the timers that are due at a time on the monotonic clock (default: now), in order of ticks.

        Returns:
            How many timers have fired.
        """
        now_ms = self._read_monotonic_ms() if at_ms is None else at_ms
        fired_count = 0
        for timer in self._take_due(math.floor(now_ms / TICK_MS)):
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                fired_count += 1
                self._call(callback)
        return fired_count

    def _take_due(self, now_tick: int) -> list[Timer]:
        """Remove and return the due timers, in order of ticks."""
        first_tick = max(self._tick + 1, now_tick - SLOT_COUNT + 1)  # one revolution visits every slot
        self._tick = max(self._tick, now_tick)
        due: list[Timer] = []
        for tick in range(first_tick, now_tick + 1):
            slot = self._slots[tick % SLOT_COUNT]
            if slot:
                due += [timer for timer in slot if timer.due_tick <= now_tick]
                slot[:] = [timer for timer in slot if timer.due_tick > now_tick and timer.callback]
        return sorted(due, key=lambda timer: timer.due_tick)

    def _call(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:  # noqa: BLE001 - the other timers must still fire
            self.on_exception("a timer callback")

    def seconds_until_next(self) -> float | None:
        """Return how long the event loop may wait, in seconds; None if no timer is set."""
        for tick in range(self._tick + 1, self._tick + 1 + SLOT_COUNT):
            slot = self._slots[tick % SLOT_COUNT]
            if any(timer.callback for timer in slot):
                return max(0.0, tick * TICK_MS - self._read_monotonic_ms()) / 1000.0
        return None
