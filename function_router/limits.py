"""General limiters, which know no request, worker or setting.

Times are milliseconds of the caller's clock. Nothing here reads a clock or is random.
"""

import math


class TokenBucket:
    """Tokens that refill at a rate up to a capacity; both may change between two looks."""

    __slots__ = ("_tokens", "_updated_at_ms")

    def __init__(self, now_ms: float, tokens: float) -> None:
        """Start with so many tokens."""
        self._tokens = tokens
        self._updated_at_ms = now_ms

    def try_take(self, now_ms: float, rate_per_s: float, capacity: float) -> bool:
        """Take one token, where a whole one is there; False where none is."""
        refilled = self._tokens + rate_per_s * (now_ms - self._updated_at_ms) / 1000
        self._tokens = min(capacity, refilled)
        self._updated_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AdaptiveLimit:
    """A limit by additive increase and multiplicative decrease (AIMD)."""

    __slots__ = ("_decrease", "_maximum", "_minimum", "value")

    def __init__(self, value: float, minimum: float, maximum: float, decrease: float) -> None:
        """Start at a value; a failure takes the part `decrease` of it."""
        self.value = value
        self._minimum = minimum
        self._maximum = maximum
        self._decrease = decrease

    def record(self, *, success: bool) -> None:
        """Raise the limit by one over itself after a success, lower it after a failure."""
        value = self.value + (1 / self.value if success else -self._decrease * self.value)
        self.value = min(self._maximum, max(self._minimum, value))


class CircuitBreaker:
    """Opens after some failures, for longer after each trial; successes take part of the failures back."""

    __slots__ = ("_failures", "_kept", "_max_open_ms", "_open_for_ms", "_open_until_ms", "_threshold")

    def __init__(self, threshold: float, kept: float, open_ms: float, max_open_ms: float) -> None:
        """Open at `threshold` failures, for `open_ms` at first; a success leaves the part `kept` of them."""
        self._threshold = threshold
        self._kept = kept
        self._open_for_ms = open_ms
        self._max_open_ms = max_open_ms
        self._failures = 0.0
        self._open_until_ms = -math.inf

    @property
    def is_tripped(self) -> bool:
        """Whether there are failures enough to open it."""
        return self._failures >= self._threshold

    @property
    def is_clear(self) -> bool:
        """Whether less than one failure is left."""
        return self._failures < 1

    def is_waiting(self, now_ms: float) -> bool:
        """Whether its time to be open has not passed, if it was ever opened."""
        return self._open_until_ms > now_ms

    def is_open(self, now_ms: float) -> bool:
        """Whether nothing may pass now."""
        return self.is_tripped and now_ms < self._open_until_ms

    def record_failure(self, now_ms: float) -> None:
        """Count a failure, which may open it."""
        self._failures += 1
        if self.is_tripped:
            self._open_until_ms = max(self._open_until_ms, now_ms + self._open_for_ms)

    def record_success(self, *, was_failure: bool) -> None:
        """Take back the one failure that this was held to be, or a part of all."""
        self._failures = self._failures - 1 if was_failure else self._failures * self._kept

    def record_trial(self, now_ms: float) -> None:
        """Something passes to try it: unless that succeeds, it is open for twice as long."""
        if self.is_tripped:
            self._open_for_ms = min(self._max_open_ms, 2 * self._open_for_ms)
            self._open_until_ms = now_ms + self._open_for_ms
