"""General structures of statistics and hashing, which know no request, worker or setting.

Times are milliseconds of the caller's clock. Nothing here reads a clock or is random.
"""

import hashlib
import math
from collections import deque


def mix64(bits: int) -> int:
    """Spread a number over 64 well-mixed bits: the finalizer of splitmix64 (Steele, Lea, Flood 2014)."""
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)


def hash64(name: str) -> int:
    """A 64-bit hash of a name, the same in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def rendezvous_rank(key: int, node: int, weight: float) -> float:
    """The rank of a node for a key, both 64-bit hashes; the node with the least rank comes first.

    Weighted rendezvous hashing: a node comes first for a part of the keys in proportion to its weight
    (Schindelhauer, Schomaker 2005).
    """
    return -math.log((mix64(key ^ node) + 1) / 2**64) / weight


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
