"""Conversion of workers' start times from Unix time in the endpoint list to the decision module's clock.

The Unix times come from another machine's wall clock. This machine's wall clock may be wrong, and may be set
while the router runs, by seconds or by an hour. Even then, a worker in slow start must not be treated as a
warm one. The conversion therefore assumes the lowest of all possible ages.
"""

from msgspec import Struct

from function_router.net.clock import Clock

# Maximum age of a start that a live update of the endpoint log reports.
MAX_LIVE_UPDATE_AGE_MS = 60_000.0
# Maximum normal difference between the clocks of two machines. An age that is negative by more than this
# shows that a clock is wrong.
MAX_CLOCK_DIFFERENCE_MS = 1_000.0


class _ConvertedStart(Struct, frozen=True):
    """A start time in the endpoint list, and the converted time on the decision module's clock."""

    unix_ms: float
    started_at_ms: float


class StartTimes:
    """Converts each start time once, so that a repeated event does not look like another start."""

    def __init__(self, clock: Clock) -> None:
        """Create a converter to the time of `clock`, which records the steps of the wall clock."""
        self._clock = clock
        self._caught_up_at_ms = clock.now_ms()  # all events up to this time have been received
        self._converted: dict[int, _ConvertedStart] = {}  # by worker id

    def on_caught_up(self, as_of_ms: float) -> None:
        """Record that all events that the log had published at this time have been received."""
        self._caught_up_at_ms = max(self._caught_up_at_ms, as_of_ms)

    def remove_worker(self, worker_id: int) -> None:
        """Discard the start time of a removed worker."""
        self._converted.pop(worker_id, None)

    def convert(
        self, worker_id: int, started_at_unix_ms: float | None, *, is_live_update: bool
    ) -> float | None:
        """Return the start time on the decision module's clock; None if the list has no start time.

        Args:
            worker_id: The id of the worker.
            started_at_unix_ms: The start time in the endpoint list; None if the list has no start time, in
                which case the start counts as long ago.
            is_live_update: Whether the log has just published the start, as opposed to a complete list.
        """
        if started_at_unix_ms is None:
            self.remove_worker(worker_id)
            return None
        previous = self._converted.get(worker_id)
        if previous is not None and previous.unix_ms == started_at_unix_ms:
            return previous.started_at_ms
        now_ms = self._clock.now_ms()
        age_ms = self._lowest_age_ms(started_at_unix_ms)
        if is_live_update and age_ms > now_ms - self._caught_up_at_ms + MAX_LIVE_UPDATE_AGE_MS:
            age_ms = 0.0  # the age is implausible, so the wall clock must be wrong
        converted = _ConvertedStart(started_at_unix_ms, now_ms - age_ms)
        self._converted[worker_id] = converted
        return converted.started_at_ms

    def _lowest_age_ms(self, started_at_unix_ms: float) -> float:
        """Return the lowest age for all recorded offsets of the wall clock.

        An offset by which the start lies in the future is ignored if the difference exceeds
        MAX_CLOCK_DIFFERENCE_MS, and yields the age 0 otherwise.
        """
        ages_ms = [unix_ms - started_at_unix_ms for unix_ms in self._clock.possible_unix_times_ms()]
        possible = [max(0.0, age_ms) for age_ms in ages_ms if age_ms >= -MAX_CLOCK_DIFFERENCE_MS]
        return min(possible, default=0.0)
