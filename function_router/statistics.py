"""Statistics over sliding windows, which don't depend on requests, workers or settings.

Times are milliseconds on the caller's clock. The module reads no clock and uses no randomness.
"""

import math
from collections import deque
from collections.abc import Iterator


class SlidingMedian:
    """The upper median of the samples in a sliding window. It is cached for a while, as sorting is slow."""

    __slots__ = ("_calculated_at_ms", "_max_samples", "_refresh_ms", "_samples", "_value", "_window_ms")

    def __init__(self, window_ms: float, max_samples: int, refresh_ms: float) -> None:
        """Keep at most `max_samples` of the last `window_ms`. A median is cached for `refresh_ms`."""
        self._window_ms = window_ms
        self._refresh_ms = refresh_ms
        self._max_samples = max_samples
        # Created with the first sample: an empty deque takes 760 bytes, and most functions get no sample.
        self._samples: deque[tuple[float, float]] | None = None
        self._value: float | None = None
        self._calculated_at_ms = -math.inf

    def __bool__(self) -> bool:
        """Return whether there is any sample, even one that the next `median` will drop as too old."""
        return bool(self._samples)

    def add(self, now_ms: float, value: float) -> None:
        """Add a sample, which must not be older than the last one."""
        if self._samples is None:
            self._samples = deque(maxlen=self._max_samples)
        self._samples.append((now_ms, value))

    def clear(self) -> None:
        """Drop all samples and the cached median."""
        self._samples = None
        self._calculated_at_ms = -math.inf

    def median(self, now_ms: float) -> float | None:
        """Return the median, computed at most `refresh_ms` ago; None without samples."""
        if now_ms - self._calculated_at_ms >= self._refresh_ms:
            while self._samples and self._samples[0][0] < now_ms - self._window_ms:
                self._samples.popleft()
            values = sorted(value for _, value in self._samples or ())
            self._value = values[len(values) // 2] if values else None
            self._calculated_at_ms = now_ms
        return self._value


class DecayingCounter:
    """A count that decays exponentially, with the time constant `window_ms`."""

    __slots__ = ("_count", "_updated_at_ms", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        """Start at zero."""
        self._window_ms = window_ms
        self._count = 0.0
        self._updated_at_ms = 0.0

    def reset(self, now_ms: float, count: float = 0.0) -> None:
        """Set the count."""
        self._count = count
        self._updated_at_ms = now_ms

    def value(self, now_ms: float) -> float:
        """Return the count at this time."""
        return self._count * math.exp((self._updated_at_ms - now_ms) / self._window_ms)

    def add(self, now_ms: float) -> None:
        """Add one."""
        self._count = self.value(now_ms) + 1
        self._updated_at_ms = now_ms


class SlidingWindow:
    """Timestamps in a sliding window, oldest first."""

    __slots__ = ("_times_ms",)

    def __init__(self) -> None:
        """Start empty."""
        self._times_ms: deque[float] = deque()

    def __len__(self) -> int:
        """Return the number of timestamps."""
        return len(self._times_ms)

    def __iter__(self) -> Iterator[float]:
        """Iterate over the timestamps, oldest first."""
        return iter(self._times_ms)

    def clear(self) -> None:
        """Drop all timestamps."""
        self._times_ms.clear()

    def add(self, time_ms: float) -> None:
        """Append a timestamp, which must not be older than the last one."""
        self._times_ms.append(time_ms)

    def discard(self, time_ms: float) -> None:
        """Remove one entry with this timestamp, if there is one."""
        if time_ms in self._times_ms:
            self._times_ms.remove(time_ms)

    def remove_before(self, time_ms: float, *, inclusive: bool = False) -> None:
        """Drop entries before `time_ms`, and also those at `time_ms` if `inclusive`."""
        times_ms = self._times_ms
        while times_ms and (times_ms[0] < time_ms or (inclusive and times_ms[0] == time_ms)):
            times_ms.popleft()


class ArrivalRate:
    """An arrival rate that follows a burst at once and then decays exponentially.

    The rate is the greater of two estimates. One is a decaying count, divided by its time constant, or by the
    time of observation plus a minimum interval if that is shorter. The other is the number of the last few
    arrivals, divided by the time since the first of them, or by the minimum interval if that is longer.
    """

    __slots__ = ("_burst", "_count", "_decay_ms", "_last_ms")

    def __init__(self, decay_ms: float, burst: int) -> None:
        """Decay with the time constant `decay_ms`. The second estimate uses the last `burst` arrivals."""
        self._decay_ms = decay_ms
        self._count = 0.0
        self._burst = burst
        self._last_ms: tuple[float, ...] = ()  # a few, oldest first

    @property
    def last_ms(self) -> float:
        """The time of the last arrival; minus infinity before the first one."""
        return self._last_ms[-1] if self._last_ms else -math.inf

    def decay_factor(self, now_ms: float) -> float:
        """Return the factor by which the count has decayed since the last arrival."""
        return math.exp((self._last_ms[-1] - now_ms) / self._decay_ms) if self._last_ms else 1.0

    def rate(self, now_ms: float, since_ms: float, min_interval_ms: float) -> float:
        """Return the arrivals per millisecond, if arrivals have been observed since `since_ms`.

        The two estimates of the rate take `min_interval_ms` into account, so that the first arrivals don't
        yield a high rate.
        """
        interval_ms = min(self._decay_ms, now_ms - since_ms + min_interval_ms)
        rate = self._count * self.decay_factor(now_ms) / interval_ms
        if len(self._last_ms) == self._burst:
            rate = max(rate, len(self._last_ms) / max(now_ms - self._last_ms[0], min_interval_ms))
        return rate

    def add(self, now_ms: float) -> None:
        """Add an arrival, which must not be earlier than the last one."""
        self._count = self._count * self.decay_factor(now_ms) + 1
        self._last_ms = (*self._last_ms, now_ms)[-self._burst :]
