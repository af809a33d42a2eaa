"""Errors of system calls that pass by themselves, and how to wait for that at the start of the program."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from function_router.config import UnreadableFileError

# The system is short of something for a moment, or a signal came in between: accept(2), open(2), recv(2), ...
TRANSIENT_ERRORS = frozenset(
    {errno.EAGAIN, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
# At the start also: a process before this one still holds the address, or the machine has not set it up yet;
# epoll_ctl(2) finds too many watches.
START_ERRORS = TRANSIENT_ERRORS | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENOSPC}
# A router has 10 s to be ready; what fails for longer is reported.
START_RETRY_S = 5.0
START_RETRY_INTERVAL_S = 0.02

ResultT = TypeVar("ResultT")


def is_transient(error: OSError | UnreadableFileError) -> bool:
    """Whether the same call may well succeed in a moment."""
    return error.errno in TRANSIENT_ERRORS


def retry_at_start(
    operation: Callable[[], ResultT],
    read_monotonic_s: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> ResultT:
    """Call an operation of the start again while it fails for want of something that may come.

    Raises:
        OSError: It failed for another reason, or for START_RETRY_S.
        UnreadableFileError: So did the reading of a file.
    """
    give_up_at_s = read_monotonic_s() + START_RETRY_S
    while True:
        try:
            return operation()
        except (OSError, UnreadableFileError) as error:
            if error.errno not in START_ERRORS or read_monotonic_s() >= give_up_at_s:
                raise
        sleep(START_RETRY_INTERVAL_S)
