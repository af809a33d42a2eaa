"""Log lines on standard error, rate-limited."""

import io
import os
import select
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
        self._output = _output_to(out or sys.stderr)
        self._read_monotonic_ms = read_monotonic_ms
        self._second = 0  # the one that is being counted, on the monotonic clock
        self._left_out = 0  # lines since the last line that counts them
        self._lines_by_source: dict[str, int] = {}  # in that second

    def __call__(self, text: str, source: str = "") -> None:
        """Write a line, or count it where its source has used up its share of this second."""
        second = int(self._read_monotonic_ms() // 1000)
        if second != self._second:
            self._begin_second(second)
        lines = self._lines_by_source.get(source, 0) + 1
        self._lines_by_source[source] = lines
        if lines > MAX_LINES_PER_SECOND or not self._write(text):
            self._left_out += 1

    def _begin_second(self, second: int) -> None:
        if self._left_out and self._write(f"{self._left_out} lines left out"):
            self._left_out = 0
        self._second = second
        self._lines_by_source = {}

    def _write(self, text: str) -> bool:
        """Write text as one line; False where it can't be written now.

        Characters that could forge another line are replaced.
        """
        line = "".join(char if char.isprintable() else "?" for char in text[:MAX_LINE_LENGTH])
        try:
            return self._output(f"{self._name}: {line}\n")
        except OSError:  # a log that nobody reads is no reason to stop serving
            return False


def _output_to(out: TextIO | None) -> Callable[[str], bool]:
    """A function that writes a line, and tells whether it did; without a file, lines are dropped."""
    if out is None:
        return lambda _line: False
    try:
        descriptor = out.fileno()
    except (OSError, io.UnsupportedOperation):  # a file in memory
        return lambda line: bool(out.write(line))
    return lambda line: _write_without_blocking(descriptor, line)


def _write_without_blocking(descriptor: int, line: str) -> bool:
    """Write a line unless that would block, as it does on a pipe that is full.

    The descriptor itself may be shared with other processes, so that it is not set to non-blocking. A pipe
    that can be written to takes PIPE_BUF bytes without blocking (pipe(7)).
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
