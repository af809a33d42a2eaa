"""A rate-limited log on standard error."""

import io
import os
import select
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from typing import TextIO

from function_router.net.clock import monotonic_ms, unix_ms

# Maximum number of lines per source and second; further lines are dropped and counted.
MAX_LINES_PER_SECOND = 20
# Maximum length of a line in characters; longer lines are truncated. A line of this length fits into
# PIPE_BUF, the size of an atomic write to a pipe.
MAX_LINE_LENGTH = 600


class RateLimitedLog:
    """A log with a rate limit, so that no peer can make it grow without bound; excess lines are only counted.

    Each source has a separate rate limit, so that errors of clients do not displace those of workers.
    """

    def __init__(
        self,
        name: str,
        out: TextIO | None = None,
        read_monotonic_ms: Callable[[], float] = monotonic_ms,
        read_unix_ms: Callable[[], float] = unix_ms,
    ) -> None:
        """Create a log.

        Args:
            name: The name of the process. Each line begins with it, a colon and the text, by which collectors
                of logs select lines; the time in UTC stands at the end.
            out: Where the lines are written, by default standard error.
            read_monotonic_ms: Returns the time by which the rate is limited.
            read_unix_ms: Returns the time that the lines state.
        """
        self._name = name
        self._output = _output_to(out or sys.stderr)
        self._read_monotonic_ms = read_monotonic_ms
        self._read_unix_ms = read_unix_ms
        self._second = 0  # the current second on the monotonic clock
        self._dropped_count = 0  # number of lines dropped since it was last logged
        self._lines_by_source: dict[str, int] = {}  # number of lines in the current second

    def __call__(self, text: str, source: str = "") -> None:
        """Write a line, or drop and count it if its source has reached the limit for this second."""
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
        """Write the text as one line; return False if it cannot be written now.

        Non-printable characters are replaced, so that a text cannot forge another line.
        """
        line = "".join(char if char.isprintable() else "?" for char in text[:MAX_LINE_LENGTH])
        try:
            return self._output(f"{self._name}: {line} [{_format_time(self._read_unix_ms())}]\n")
        except OSError:  # the router continues to serve without a log
            return False


def _format_time(unix_time_ms: float) -> str:
    """Return a time of day in UTC, with milliseconds."""
    time_of_day = datetime.fromtimestamp(unix_time_ms / 1000, UTC).time()
    return time_of_day.isoformat("milliseconds")


def _output_to(out: TextIO | None) -> Callable[[str], bool]:
    """Return a function that writes a line and returns whether it did; without a file it drops lines."""
    if out is None:
        return lambda _line: False
    try:
        descriptor = out.fileno()
    except (OSError, io.UnsupportedOperation):  # an in-memory file
        return lambda line: bool(out.write(line))
    return lambda line: _write_without_blocking(descriptor, line)


def _write_without_blocking(descriptor: int, line: str) -> bool:
    """Write a line unless that would block, as on a full pipe; return whether it was written.

    The descriptor is not made non-blocking, as other processes may share it. A pipe that poll(2) reports as
    writable accepts PIPE_BUF bytes without blocking (pipe(7)).
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
