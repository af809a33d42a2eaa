"""Start times of workers: from the Unix times in the endpoint list to the clock of the decisions.

Those are times of another machine's wall clock. This machine's wall clock may be wrong, and may be set while
the router runs, by seconds or by an hour. A worker in slow start must not be taken for a warm one then, so of
all possible ages the youngest is used.
"""

from msgspec import Struct

from function_router.net.clock import Clock

# A start reported by a live update of the endpoint log was at most this long ago.
MAX_LIVE_UPDATE_AGE_MS = 60_000.0
# An age below 0 by more than this shows that a clock is wrong; up to it, the clocks only differ a little.
MAX_CLOCK_DIFFERENCE_MS = 1_000.0


class _ConvertedStart(Struct, frozen=True):
    """A start time in the endpoint list, and what it was converted to."""

    unix_ms: float
    started_at_ms: float


class StartTimes:
    """Converts start times, each one once: a repeated event must not be taken for another start."""

    def __init__(self, clock: Clock) -> None:
        """Convert to the time of `clock`, which has recorded the steps of the wall clock."""
        self._clock = clock
        self._caught_up_at_ms = clock.now_ms()  # all events up to then have been received
        self._converted: dict[int, _ConvertedStart] = {}  # by worker id

    def on_caught_up(self) -> None:
        """Record that the router has received all events that the endpoint log has now."""
        self._caught_up_at_ms = self._clock.now_ms()

    def remove_worker(self, worker_id: int) -> None:
        """Forget a worker that was removed."""
        self._converted.pop(worker_id, None)

    def convert(
        self, worker_id: int, started_at_unix_ms: float | None, *, is_live_update: bool
    ) -> float | None:
        """The start on the clock of the decisions; None where it was long ago.

        Args:
            worker_id: the worker.
            started_at_unix_ms: its start time in the endpoint list.
            is_live_update: whether the log has just published it, as opposed to a complete list.
        """
        if started_at_unix_ms is None:
            self.remove_worker(worker_id)
            return None
        previous = self._converted.get(worker_id)
        if previous is not None and previous.unix_ms == started_at_unix_ms:
            return previous.started_at_ms
        now_ms = self._clock.now_ms()
        age_ms = self._youngest_age_ms(started_at_unix_ms)
        if is_live_update and age_ms > now_ms - self._caught_up_at_ms + MAX_LIVE_UPDATE_AGE_MS:
            age_ms = 0.0  # the wall clock must be wrong
        converted = _ConvertedStart(started_at_unix_ms, now_ms - age_ms)
        self._converted[worker_id] = converted
        return converted.started_at_ms

    def _youngest_age_ms(self, started_at_unix_ms: float) -> float:
        """The smallest age by any offset of the wall clock so far, ignoring starts in the future."""
        ages_ms = [unix_ms - started_at_unix_ms for unix_ms in self._clock.possible_unix_times_ms()]
        possible = [max(0.0, age_ms) for age_ms in ages_ms if age_ms >= -MAX_CLOCK_DIFFERENCE_MS]
        return min(possible, default=0.0)
