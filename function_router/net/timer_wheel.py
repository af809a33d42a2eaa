"""A hashed timer wheel, which keeps the event loop's timers in slots of coarse ticks.

The mechanism is scheme 6 of Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987).
"""

import math
from collections.abc import Callable

from msgspec import Struct

from function_router.net.clock import monotonic_ms

# The resolution: a timer fires at most one tick late.
TICK_MS = 4.0
# The wheel turns round in about two seconds; timers with longer delays stay on it for several rounds.
SLOT_COUNT = 512


class Timer(Struct, eq=False):
    """A callback that is due at a tick; the callback is None once the timer has fired or was cancelled."""

    due_tick: int
    callback: Callable[[], None] | None

    def cancel(self) -> None:
        """Never call the callback. The timer stays in its slot until the wheel passes it."""
        self.callback = None


def _ignore_exception(_where: str) -> None:
    """The default until the owner of a wheel sets its `on_exception`."""


class TimerWheel:
    """Timers that never fire early, and at most one tick late.

    Attributes:
        on_exception: Called while an exception of a callback is being handled, with a description of where
            it was raised.
    """

    def __init__(self, read_monotonic_ms: Callable[[], float] = monotonic_ms) -> None:
        """Create an empty wheel that starts now."""
        self._read_monotonic_ms = read_monotonic_ms
        self._slots: list[list[Timer]] = [[] for _ in range(SLOT_COUNT)]
        self._tick = math.floor(read_monotonic_ms() / TICK_MS)  # the last one whose timers have fired
        self.on_exception: Callable[[str], None] = _ignore_exception

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call a callback once, after a delay; a negative delay counts as none."""
        due_tick = math.floor((self._read_monotonic_ms() + max(0.0, delay_ms)) / TICK_MS) + 1
        timer = Timer(max(due_tick, self._tick + 1), callback)
        self._slots[timer.due_tick % SLOT_COUNT].append(timer)
        return timer

    def advance(self, at_ms: float | None = None) -> None:
        """Fire the timers that are due at a time on the monotonic clock, by default now, in their order."""
        now_ms = self._read_monotonic_ms() if at_ms is None else at_ms
        for timer in self._take_due(math.floor(now_ms / TICK_MS)):
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                self._call(callback)

    def _take_due(self, now_tick: int) -> list[Timer]:
        """Take the timers that are due off the wheel, in the order of their ticks."""
        first_tick = max(self._tick + 1, now_tick - SLOT_COUNT + 1)  # one round visits every slot
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
        except Exception:  # noqa: BLE001 - the other timers must fire all the same
            self.on_exception("a timer")

    def seconds_until_next(self) -> float | None:
        """How long the event loop may sleep, in seconds; None where no timer is set."""
        for tick in range(self._tick + 1, self._tick + 1 + SLOT_COUNT):
            slot = self._slots[tick % SLOT_COUNT]
            if any(timer.callback for timer in slot):
                return max(0.0, tick * TICK_MS - self._read_monotonic_ms()) / 1000.0
        return None
