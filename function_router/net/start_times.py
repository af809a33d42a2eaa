"""Start times of workers: from the Unix times of the endpoint list to the clock of the decisions.

The list states them by the wall clock of another machine. The wall clock of this one may be wrong or may be
set while the router runs, by seconds or by an hour, and a worker in slow start must not pass for a warm one
then. So of all ages that are possible, the youngest counts.
"""

from function_router.net.clock import Clock

# A start that is news, heard from a log that was being followed, was not longer ago than this.
MAX_NEWS_AGE_MS = 60_000.0
# An age below 0 by more than this comes from a clock that is wrong, not from clocks that differ a little.
MAX_CLOCK_DIFFERENCE_MS = 1_000.0


class StartTimes:
    """Converts start times, each one once: a repeated event must not look like another start."""

    def __init__(self, clock: Clock) -> None:
        """Convert to the time of `clock`, which knows what the wall clock has shown."""
        self._clock = clock
        self._caught_up_at_ms = clock.now_ms()  # all events up to then are known
        self._converted: dict[int, tuple[float, float]] = {}  # by worker: as stated, and as converted

    def on_caught_up(self) -> None:
        """The router has all events that the endpoint log had until now."""
        self._caught_up_at_ms = self._clock.now_ms()

    def forget(self, worker_id: int) -> None:
        """Forget a worker that was removed."""
        self._converted.pop(worker_id, None)

    def convert(self, worker_id: int, started_at_unix_ms: float | None, *, is_news: bool) -> float | None:
        """The start on the clock of the decisions; None where it is long past.

        Args:
            worker_id: the worker.
            started_at_unix_ms: its start as the list states it.
            is_news: whether a log that is being followed has just published it, as opposed to a list of all.
        """
        if started_at_unix_ms is None:
            self.forget(worker_id)
            return None
        known = self._converted.get(worker_id)
        if known is not None and known[0] == started_at_unix_ms:
            return known[1]
        now_ms = self._clock.now_ms()
        age_ms = self._youngest_age_ms(started_at_unix_ms)
        if is_news and age_ms > now_ms - self._caught_up_at_ms + MAX_NEWS_AGE_MS:
            age_ms = 0.0  # the wall clock must be wrong
        self._converted[worker_id] = (started_at_unix_ms, now_ms - age_ms)
        return now_ms - age_ms

    def _youngest_age_ms(self, started_at_unix_ms: float) -> float:
        """The least age that is not in the future, by what the wall clock shows and has shown."""
        ages_ms = [unix_ms - started_at_unix_ms for unix_ms in self._clock.possible_unix_times_ms()]
        possible = [max(0.0, age_ms) for age_ms in ages_ms if age_ms >= -MAX_CLOCK_DIFFERENCE_MS]
        return min(possible, default=0.0)
