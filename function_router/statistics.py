"""General structures of statistics, which know no request, worker or setting.

Times are milliseconds of the caller's clock. Nothing here reads a clock or is random.
"""

import math
from collections import deque
from collections.abc import Iterator


class SlidingMedian:
    """The upper median of the samples of a sliding window, worked out anew after a while only."""

    __slots__ = ("_calculated_at_ms", "_refresh_ms", "_samples", "_value", "_window_ms")

    def __init__(self, window_ms: float, max_samples: int, refresh_ms: float) -> None:
        """Keep the last `max_samples` of `window_ms`; a median stands for `refresh_ms`."""
        self._window_ms = window_ms
        self._refresh_ms = refresh_ms
        self._samples: deque[tuple[float, float]] = deque(maxlen=max_samples)
        self._value: float | None = None
        self._calculated_at_ms = -math.inf

    def __bool__(self) -> bool:
        """Whether a sample is kept, also one that the next median will drop."""
        return bool(self._samples)

    def add(self, now_ms: float, value: float) -> None:
        """Take in a sample; times never go back."""
        self._samples.append((now_ms, value))

    def clear(self) -> None:
        """Drop all samples, and the median that they gave."""
        self._samples.clear()
        self._calculated_at_ms = -math.inf

    def median(self, now_ms: float) -> float | None:
        """The median as of at most `refresh_ms` ago; None without a sample."""
        if now_ms - self._calculated_at_ms >= self._refresh_ms:
            while self._samples and self._samples[0][0] < now_ms - self._window_ms:
                self._samples.popleft()
            values = sorted(value for _, value in self._samples)
            self._value = values[len(values) // 2] if values else None
            self._calculated_at_ms = now_ms
        return self._value


class DecayingCounter:
    """A count that decays exponentially: what was added `window_ms` ago counts 1/e."""

    __slots__ = ("_count", "_updated_at_ms", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        """Start at zero."""
        self._window_ms = window_ms
        self._count = 0.0
        self._updated_at_ms = 0.0

    def reset(self, now_ms: float, count: float = 0.0) -> None:
        """Begin anew at a count."""
        self._count = count
        self._updated_at_ms = now_ms

    def value(self, now_ms: float) -> float:
        """The count as of now."""
        return self._count * math.exp((self._updated_at_ms - now_ms) / self._window_ms)

    def add(self, now_ms: float) -> None:
        """Count one more."""
        self._count = self.value(now_ms) + 1
        self._updated_at_ms = now_ms


class SlidingWindow:
    """Moments of late, oldest first."""

    __slots__ = ("_times_ms",)

    def __init__(self) -> None:
        """Start empty."""
        self._times_ms: deque[float] = deque()

    def __len__(self) -> int:
        """How many moments are kept."""
        return len(self._times_ms)

    def __iter__(self) -> Iterator[float]:
        """The moments that are kept."""
        return iter(self._times_ms)

    def clear(self) -> None:
        """Forget all."""
        self._times_ms.clear()

    def add(self, time_ms: float) -> None:
        """Keep a moment, not before the last one."""
        self._times_ms.append(time_ms)

    def discard(self, time_ms: float) -> None:
        """Forget one such moment, if it is kept."""
        if time_ms in self._times_ms:
            self._times_ms.remove(time_ms)

    def forget_before(self, time_ms: float, *, inclusive: bool = False) -> None:
        """Forget what is older, or with `inclusive` as old."""
        times_ms = self._times_ms
        while times_ms and (times_ms[0] < time_ms or (inclusive and times_ms[0] == time_ms)):
            times_ms.popleft()


class ArrivalRate:
    """A rate of arrivals: a count that decays exponentially, or the last few if they came in a burst."""

    __slots__ = ("_count", "_fade_ms", "_last_ms")

    def __init__(self, fade_ms: float, burst: int) -> None:
        """Decay over `fade_ms`; the last `burst` arrivals count by themselves."""
        self._fade_ms = fade_ms
        self._count = 0.0
        self._last_ms: deque[float] = deque(maxlen=burst)

    @property
    def last_ms(self) -> float:
        """When the last one came; minus infinity before the first."""
        return self._last_ms[-1] if self._last_ms else -math.inf

    def decay(self, now_ms: float) -> float:
        """The factor by which a count of the last arrival's time has decayed by now."""
        return math.exp((self._last_ms[-1] - now_ms) / self._fade_ms) if self._last_ms else 1.0

    def rate(self, now_ms: float, since_ms: float, min_stretch_ms: float) -> float:
        """Arrivals a millisecond, of a process that began at `since_ms`; no rate is taken over less."""
        stretch_ms = min(self._fade_ms, now_ms - since_ms + min_stretch_ms)
        rate = self._count * self.decay(now_ms) / stretch_ms
        if len(self._last_ms) == self._last_ms.maxlen:
            rate = max(rate, len(self._last_ms) / max(now_ms - self._last_ms[0], min_stretch_ms))
        return rate

    def add(self, now_ms: float) -> None:
        """Count an arrival."""
        self._count = self._count * self.decay(now_ms) + 1
        self._last_ms.append(now_ms)
