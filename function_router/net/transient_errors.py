"""Errors of system calls that may be gone in a moment, and retries after them during start-up."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from function_router.config import UnreadableFileError

# The system is short of a resource for a moment, or a signal interrupted the call: accept(2), open(2), ...
TRANSIENT_ERRORS = frozenset(
    {errno.EAGAIN, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
# During start-up, too: a previous process still holds the address, or the machine has not configured it yet;
# epoll_ctl(2) finds too many watches.
STARTUP_ERRORS = TRANSIENT_ERRORS | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENOSPC}
# A router has 10 s to become ready; an operation that fails for longer than this is reported.
STARTUP_RETRY_S = 5.0
# Between two tries of an operation.
STARTUP_RETRY_INTERVAL_S = 0.02

ResultT = TypeVar("ResultT")


def is_transient(error: OSError | UnreadableFileError) -> bool:
    """Whether the same call may well succeed in a moment."""
    return error.errno in TRANSIENT_ERRORS


def retry_at_startup(
    operation: Callable[[], ResultT],
    read_monotonic_s: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> ResultT:
    """Call an operation of the start-up, and again while it fails with one of STARTUP_ERRORS.

    Args:
        operation: The operation; its result is returned.
        read_monotonic_s: Reads the monotonic clock, in seconds.
        sleep: Waits for a time in seconds.

    Raises:
        OSError: Where the operation failed with another error, or for STARTUP_RETRY_S.
        UnreadableFileError: The same, where the operation reads a file.
    """
    deadline_s = read_monotonic_s() + STARTUP_RETRY_S
    while True:
        try:
            return operation()
        except (OSError, UnreadableFileError) as error:
            if error.errno not in STARTUP_ERRORS or read_monotonic_s() >= deadline_s:
                raise
        sleep(STARTUP_RETRY_INTERVAL_S)
