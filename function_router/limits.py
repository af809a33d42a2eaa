"""Limiters and a circuit breaker, which don't depend on requests, workers or settings.

Times are milliseconds on the caller's clock. The module reads no clock and uses no randomness.
"""

import math


class TokenBucket:
    """A token bucket that refills at a rate up to a capacity. Both may change from call to call."""

    __slots__ = ("_tokens", "_updated_at_ms")

    def __init__(self, now_ms: float, tokens: float) -> None:
        """Start with `tokens`."""
        self._tokens = tokens
        self._updated_at_ms = now_ms

    def try_take(self, now_ms: float, rate_per_s: float, capacity: float) -> bool:
        """Take one token and return True; return False if less than one token is left."""
        refilled = self._tokens + rate_per_s * (now_ms - self._updated_at_ms) / 1000
        self._tokens = min(capacity, refilled)
        self._updated_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AdaptiveLimit:
    """A limit that is adapted by additive increase and multiplicative decrease (AIMD)."""

    __slots__ = ("_decrease", "_maximum", "_minimum", "value")

    def __init__(self, value: float, minimum: float, maximum: float, decrease: float) -> None:
        """Start at `value`. A failure lowers the limit by the fraction `decrease`."""
        self.value = value
        self._minimum = minimum
        self._maximum = maximum
        self._decrease = decrease

    def record(self, *, success: bool) -> None:
        """Raise the limit by 1 / limit after a success, or lower it after a failure.

        As many successes as the limit thus raise it by about one.
        """
        value = self.value + (1 / self.value if success else -self._decrease * self.value)
        self.value = min(self._maximum, max(self._minimum, value))


class CircuitBreaker:
    """A circuit breaker that opens at a threshold of failures. A success reduces their count by a fraction.

    When its open time is over, the breaker is half-open: one request passes as a trial, and the breaker opens
    again at once for twice as long. It closes when successes have reduced the failures below the threshold.
    """

    __slots__ = (
        "_decay_factor",
        "_failures",
        "_max_open_ms",
        "_open_for_ms",
        "_open_until_ms",
        "_threshold",
    )

    def __init__(self, threshold: float, decay_factor: float, open_ms: float, max_open_ms: float) -> None:
        """Open at `threshold` failures, at first for `open_ms`. A success scales them by `decay_factor`."""
        self._threshold = threshold
        self._decay_factor = decay_factor
        self._open_for_ms = open_ms
        self._max_open_ms = max_open_ms
        self._failures = 0.0
        self._open_until_ms = -math.inf

    @property
    def is_tripped(self) -> bool:
        """Whether the number of failures has reached the threshold."""
        return self._failures >= self._threshold

    @property
    def is_clear(self) -> bool:
        """Whether less than one failure is counted, so that the breaker can be dropped."""
        return self._failures < 1

    def has_open_time_left(self, now_ms: float) -> bool:
        """Return whether the last open time has not ended; successes may have closed the breaker since."""
        return self._open_until_ms > now_ms

    def is_open(self, now_ms: float) -> bool:
        """Return whether requests must not pass now."""
        return self.is_tripped and now_ms < self._open_until_ms

    def record_failure(self, now_ms: float) -> None:
        """Count a failure, which may open the breaker."""
        self._failures += 1
        if self.is_tripped:
            self._open_until_ms = max(self._open_until_ms, now_ms + self._open_for_ms)

    def record_success(self, *, was_counted_as_failure: bool) -> None:
        """Remove the failure that was counted for this success before, or else a fraction of all failures."""
        self._failures = self._failures - 1 if was_counted_as_failure else self._failures * self._decay_factor

    def record_trial(self, now_ms: float) -> None:
        """Record that a request passes. A tripped breaker opens again at once, for twice as long."""
        if self.is_tripped:
            self._open_for_ms = min(self._max_open_ms, 2 * self._open_for_ms)
            self._open_until_ms = now_ms + self._open_for_ms
