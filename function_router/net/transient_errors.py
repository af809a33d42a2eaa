"""Transient errors of system calls, and retries after such errors during startup."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from function_router.config import UnreadableFileError

# System calls such as accept(2) and open(2) fail with these errors if a resource is temporarily exhausted or
# if a signal interrupts the call.
TRANSIENT_ERRORS = frozenset(
    {errno.EAGAIN, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
# More errors are transient during startup: a previous process may still use the address, the machine may not
# have configured the address yet, or epoll_ctl(2) may have reached the limit on watches.
STARTUP_ERRORS = TRANSIENT_ERRORS | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENOSPC}
# Maximum duration of the retries of an operation. The operation is then reported as failed, as a router has
# 10 s to become ready.
STARTUP_RETRY_S = 5.0
# Interval between two tries of an operation.
STARTUP_RETRY_INTERVAL_S = 0.02

ResultT = TypeVar("ResultT")


def is_transient(error: OSError | UnreadableFileError) -> bool:
    """Return whether the call that failed with this error may succeed shortly afterwards."""
    return error.errno in TRANSIENT_ERRORS


def retry_at_startup(
    operation: Callable[[], ResultT],
    read_monotonic_s: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> ResultT:
    """Call an operation during startup, and retry it while it fails with one of STARTUP_ERRORS.

    Args:
        operation: The operation to call.
        read_monotonic_s: Reads the monotonic clock, in seconds.
        sleep: Waits for a time in seconds.

    Returns:
        The result of the operation.

    Raises:
        OSError: The operation failed with another error, or for longer than STARTUP_RETRY_S.
        UnreadableFileError: The operation failed in the same way to read a file.
    """
    deadline_s = read_monotonic_s() + STARTUP_RETRY_S
    while True:
        try:
            return operation()
        except (OSError, UnreadableFileError) as error:
            if error.errno not in STARTUP_ERRORS or read_monotonic_s() >= deadline_s:
                raise
        sleep(STARTUP_RETRY_INTERVAL_S)
