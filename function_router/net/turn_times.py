"""Measures the parts of the event loop's turns, so that the log names the cause of a long turn."""

from enum import StrEnum

from msgspec import Struct

from function_router.net.clock import monotonic_ms


class TurnPart(StrEnum):
    """The parts of a turn, in their order; the values are texts of the log."""

    READ = "read"
    MESSAGES = "messages"
    TIMERS = "timers"
    DECISIONS = "decisions"
    SECOND_READ = "second read"
    WRITE = "write"


class PartTime(Struct, frozen=True):
    """How long a part of a turn took.

    Attributes:
        part: The part.
        took_ms: Its duration.
        count: How many objects it handled: sockets, messages, timers, events, or connections written to.
    """

    part: TurnPart
    took_ms: float
    count: int


class Turn(Struct, frozen=True):
    """The duration of a turn and of its parts.

    Attributes:
        took_ms: The duration of the turn, without the wait for its first poll.
        parts: Its parts, in the order in which they ran.
    """

    took_ms: float
    parts: tuple[PartTime, ...]

    def describe(self) -> str:
        """Return the duration, and those of the parts of at least 1 ms, the longest first."""
        longest_first = sorted(self.parts, key=lambda part: -part.took_ms)
        named = [f"{part.part} {part.took_ms:.0f} ms for {part.count}" for part in longest_first]
        shown = [text for text, part in zip(named, longest_first, strict=True) if part.took_ms >= 1.0]
        return f"{self.took_ms:.0f} ms: " + ("; ".join(shown or named[:1]) or "nothing to do")


class TurnTimes:
    """Measures the current turn, and keeps the longest one since it was last taken."""

    __slots__ = ("_longest", "_part_started_ms", "_parts", "_turn_started_ms")

    def __init__(self) -> None:
        self._turn_started_ms = monotonic_ms()
        self._part_started_ms = self._turn_started_ms
        self._parts: list[PartTime] = []
        self._longest: Turn | None = None

    def start_turn(self) -> None:
        """Start a turn, whose first poll has just returned."""
        self._turn_started_ms = monotonic_ms()
        self._part_started_ms = self._turn_started_ms
        self._parts = []

    def end_part(self, part: TurnPart, count: int) -> None:
        """Record a part that has just ended; it began when the previous part ended."""
        now_ms = monotonic_ms()
        self._parts.append(PartTime(part, now_ms - self._part_started_ms, count))
        self._part_started_ms = now_ms

    def end_turn(self) -> Turn:
        """End the turn and return its times."""
        turn = Turn(monotonic_ms() - self._turn_started_ms, tuple(self._parts))
        if self._longest is None or turn.took_ms > self._longest.took_ms:
            self._longest = turn
        return turn

    def take_longest(self) -> Turn | None:
        """Return the longest turn since the last call; None if no turn has ended since then."""
        longest = self._longest
        self._longest = None
        return longest
