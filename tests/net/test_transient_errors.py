"""Tests of `transient_errors`."""

import errno

import pytest

from function_router.net.transient_errors import STARTUP_RETRY_S, retry_at_startup


class FakeSleepClock:
    """A clock that advances only when `sleep` is called."""

    def __init__(self):
        self.now_s = 0.0

    def read_s(self):
        """Return the current time."""
        return self.now_s

    def sleep(self, seconds):
        """Advance the clock."""
        self.now_s += seconds


@pytest.fixture
def clock():
    return FakeSleepClock()


def retry_until_failure(clock, error_number):
    """Retry an operation that always fails, and return the times of its calls."""
    calls_s = []

    def fail():
        calls_s.append(clock.now_s)
        raise OSError(error_number, "always")

    with pytest.raises(OSError, match="always"):
        retry_at_startup(fail, clock.read_s, clock.sleep)
    return calls_s


def test_transient_error_is_retried_for_a_limited_time(clock):
    calls_s = retry_until_failure(clock, errno.ENFILE)

    assert STARTUP_RETRY_S <= calls_s[-1] < STARTUP_RETRY_S + 0.1


def test_other_error_is_not_retried(clock):
    calls_s = retry_until_failure(clock, errno.EACCES)

    assert calls_s == [0.0]
