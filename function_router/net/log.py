"""Log lines on standard error, rate-limited."""

import contextlib
import sys
from collections.abc import Callable
from typing import TextIO

from function_router.net.clock import monotonic_ms

MAX_LINES_PER_SECOND = 20  # of one source
MAX_LINE_LENGTH = 600  # characters; the rest of a longer line is cut off


class RateLimitedLog:
    """A log that no peer can make grow without bound: what exceeds the rate is counted in place of written.

    Each source has its own share of lines, so that errors of clients do not hide those of workers.
    """

    def __init__(
        self, name: str, out: TextIO | None = None, read_monotonic_ms: Callable[[], float] = monotonic_ms
    ) -> None:
        """Write lines that begin with `name` to `out`, or else to standard error."""
        self._name = name
        self._out = out or sys.stderr
        self._read_monotonic_ms = read_monotonic_ms
        self._second = 0  # the one that is being counted, on the monotonic clock
        self._left_out = 0  # lines in that second
        self._lines_by_source: dict[str, int] = {}  # in that second

    def __call__(self, text: str, source: str = "") -> None:
        """Write a line, or count it where its source has used up its share of this second."""
        second = int(self._read_monotonic_ms() // 1000)
        if second != self._second:
            self._begin_second(second)
        lines = self._lines_by_source.get(source, 0) + 1
        self._lines_by_source[source] = lines
        if lines > MAX_LINES_PER_SECOND:
            self._left_out += 1
        else:
            self._write(text)

    def _begin_second(self, second: int) -> None:
        if self._left_out:
            self._write(f"{self._left_out} lines left out")
        self._second = second
        self._lines_by_source = {}
        self._left_out = 0

    def _write(self, text: str) -> None:
        """Write text as one line. Characters that could forge another line are replaced."""
        line = "".join(char if char.isprintable() else "?" for char in text[:MAX_LINE_LENGTH])
        with contextlib.suppress(OSError):  # a log that nobody reads is no reason to stop serving
            self._out.write(f"{self._name}: {line}\n")
            self._out.flush()
