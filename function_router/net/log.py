"""Log lines on standard error, rate-limited."""

import io
import os
import select
import sys
from collections.abc import Callable
from typing import TextIO

from function_router.net.clock import monotonic_ms

# Of one source; further lines in that second are dropped and counted.
MAX_LINES_PER_SECOND = 20
# In characters; the rest of a longer line is cut off. It fits into what a pipe takes at once, PIPE_BUF.
MAX_LINE_LENGTH = 600


class RateLimitedLog:
    """A log that no peer can grow without bound: lines beyond the rate are counted instead of written.

    Each source has a rate limit of its own, so that errors of clients do not hide those of workers.
    """

    def __init__(
        self, name: str, out: TextIO | None = None, read_monotonic_ms: Callable[[], float] = monotonic_ms
    ) -> None:
        """Write lines that begin with `name` to `out`; None: to standard error."""
        self._name = name
        self._output = _output_to(out or sys.stderr)
        self._read_monotonic_ms = read_monotonic_ms
        self._second = 0  # the current one, on the monotonic clock
        self._dropped_count = 0  # lines dropped since that was last logged
        self._lines_by_source: dict[str, int] = {}  # in the current second

    def __call__(self, text: str, source: str = "") -> None:
        """Write a line, or drop and count it where its source has reached its limit for this second."""
        second = int(self._read_monotonic_ms() // 1000)
        if second != self._second:
            self._begin_second(second)
        lines = self._lines_by_source.get(source, 0) + 1
        self._lines_by_source[source] = lines
        if lines > MAX_LINES_PER_SECOND or not self._write(text):
            self._dropped_count += 1

    def _begin_second(self, second: int) -> None:
        if self._dropped_count and self._write(f"{self._dropped_count} lines dropped"):
            self._dropped_count = 0
        self._second = second
        self._lines_by_source = {}

    def _write(self, text: str) -> bool:
        """Write the text as one line; return False where that is not possible now.

        Characters that could forge another line are replaced.
        """
        line = "".join(char if char.isprintable() else "?" for char in text[:MAX_LINE_LENGTH])
        try:
            return self._output(f"{self._name}: {line}\n")
        except OSError:  # the router goes on serving without a log
            return False


def _output_to(out: TextIO | None) -> Callable[[str], bool]:
    """A function that writes a line and returns whether it did; without a file, lines are dropped."""
    if out is None:
        return lambda _line: False
    try:
        descriptor = out.fileno()
    except (OSError, io.UnsupportedOperation):  # a file in memory
        return lambda line: bool(out.write(line))
    return lambda line: _write_without_blocking(descriptor, line)


def _write_without_blocking(descriptor: int, line: str) -> bool:
    """Write a line unless that would block, as on a full pipe; return whether it was written.

    The descriptor is not set to non-blocking, as other processes may share it. A pipe that poll(2) reports
    as writable takes PIPE_BUF bytes without blocking (pipe(7)).
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    if not any(mask & select.POLLOUT for _, mask in poll.poll(0)):
        return False
    data = line.encode("utf-8", "replace")
    if len(data) > select.PIPE_BUF:
        data = data[: select.PIPE_BUF - 1] + b"\n"
    os.write(descriptor, data)
    return True
