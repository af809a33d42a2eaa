"""Lines of an endpoint log that arrive later than they are sent, in the course of a fault.

No line is lost, and no connection breaks. The log itself is in time: an event counts as notified once it is
in the log, however late its line arrives.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Self

from soak.plan import Fault

LATE_LOG_FACTOR = 5.0  # ratio of the duration of a course to that of its fault
MIN_LATENESS_S = 0.5
MIN_JUMP_S = 0.3  # the same, for the log of one router
MAX_LATENESS_S = 8.8
RISE_S_PER_S = 0.4  # by which lateness rises and falls in a second
STEP_S = 0.9
STEP_INTERVAL_S = 2.0
SWING_S = 3.0  # duration of one rise from 0


class LatenessShape(Enum):
    """How lateness changes in a course; a fault's intensity selects one by position."""

    RISING = auto()  # rises evenly, and falls evenly at the end
    STEPS = auto()  # rises in steps
    JUMP = auto()  # all lines are equally late
    UP_AND_DOWN = auto()  # rises from 0 again and again
    OPEN_CONNECTIONS = auto()  # only connections from before the course are late
    NEW_CONNECTIONS = auto()  # only connections from within the course are late


@dataclass(frozen=True)
class LatenessCourse:
    """The lateness of lines over time. Times are monotonic seconds.

    Attributes:
        shape: How lateness changes.
        began_at: When the course begins.
        ends_at: When lines are in time again; lines that are on their way then still arrive late.
        max_s: Maximum lateness, in seconds.
    """

    shape: LatenessShape
    began_at: float
    ends_at: float
    max_s: float

    @classmethod
    def of_fault(cls, fault: Fault) -> Self:
        """Return the course of a fault that begins now."""
        shapes = list(LatenessShape)
        position = fault.intensity * len(shapes)
        max_s = MIN_LATENESS_S + (MAX_LATENESS_S - MIN_LATENESS_S) * (position % 1.0)
        began_at = time.monotonic()
        return cls(shapes[int(position)], began_at, began_at + LATE_LOG_FACTOR * fault.duration_s, max_s)

    @classmethod
    def jump_of_fault(cls, fault: Fault) -> Self:
        """Return the course of a fault that begins now, in which all lines are equally late."""
        max_s = MIN_JUMP_S + (MAX_LATENESS_S - MIN_JUMP_S) * fault.intensity
        began_at = time.monotonic()
        ends_at = began_at + LATE_LOG_FACTOR * fault.duration_s
        return cls(LatenessShape.JUMP, began_at, ends_at, max_s)

    def lateness_s(self, at: float, connected_at: float) -> float:
        """Return how late a line arrives that is sent at `at` on a connection from `connected_at`."""
        if not self.began_at <= at < self.ends_at:
            return 0.0
        elapsed_s = at - self.began_at
        match self.shape:
            case LatenessShape.RISING:
                lateness_s = RISE_S_PER_S * min(elapsed_s, self.ends_at - at)
            case LatenessShape.STEPS:
                lateness_s = STEP_S * (1 + elapsed_s // STEP_INTERVAL_S)
            case LatenessShape.UP_AND_DOWN:
                lateness_s = self.max_s * (elapsed_s % SWING_S) / SWING_S
            case LatenessShape.JUMP:
                lateness_s = self.max_s
            case LatenessShape.OPEN_CONNECTIONS:
                lateness_s = self.max_s if connected_at < self.began_at else 0.0
            case LatenessShape.NEW_CONNECTIONS:
                lateness_s = self.max_s if connected_at >= self.began_at else 0.0
        return min(self.max_s, lateness_s)


class LateWriter:
    """Writes lines to a connection, each as late as the current course says; no line overtakes another."""

    def __init__(
        self, writer: asyncio.StreamWriter, read_course: Callable[[], LatenessCourse | None]
    ) -> None:
        """Wrap a writer; `read_course` returns the current course, or None if lines are in time."""
        self._writer = writer
        self._read_course = read_course
        self._connected_at = time.monotonic()
        self._last_arrival_at = 0.0
        self._late_lines: deque[bytes] = deque()  # lines that have not arrived yet, in order

    def write(self, line: bytes) -> None:
        """Write a line now or later; one that is due after the connection has ended is dropped."""
        now = time.monotonic()
        course = self._read_course()
        lateness_s = course.lateness_s(now, self._connected_at) if course else 0.0
        arrives_at = max(now + lateness_s, self._last_arrival_at)
        if arrives_at <= now and not self._late_lines:
            self._writer.write(line)
            return
        self._last_arrival_at = arrives_at
        self._late_lines.append(line)
        asyncio.get_running_loop().call_later(arrives_at - now, self._write_first_late_line)

    def _write_first_late_line(self) -> None:
        line = self._late_lines.popleft()
        if not self._writer.is_closing():
            self._writer.write(line)
