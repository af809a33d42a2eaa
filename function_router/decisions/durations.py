"""Estimates of how long runs and instance starts take."""

from function_router.decisions.records import Function, new_median

# Assumed run time until a run of any function has been measured.
DEFAULT_RUN_MS = 200.0

# Assumed start time of a function until a start has been measured, if its requests give no hint.
DEFAULT_START_MS = 1_000.0

# Weight of one run in the moving average of run times at unloaded workers, which covers about 50 runs.
UNLOADED_RUN_GAIN = 0.02

# Assumed ratio of the latency objective to the run time at an unloaded worker until the first run.
OBJECTIVE_IN_RUNS = 5.0


class Durations:
    """Medians of run and start times: CIDRE's Te and Tp."""

    def __init__(self, latency_objective_ms: float) -> None:
        self.run_times = new_median()  # run times of all functions
        # Moving average of run times at unloaded workers. It is a guess until the first run.
        self.unloaded_run_ms = latency_objective_ms / OBJECTIVE_IN_RUNS

    def record_run(self, function: Function, run_ms: float, now_ms: float, *, is_unloaded: bool) -> None:
        """Record a run at a warm instance, whose worker had few requests in flight if `is_unloaded`."""
        function.run_times.add(now_ms, run_ms)
        self.run_times.add(now_ms, run_ms)
        if is_unloaded:
            self.unloaded_run_ms += UNLOADED_RUN_GAIN * (run_ms - self.unloaded_run_ms)

    def median_run_ms(self, function: Function, now_ms: float) -> float:
        """Return Te: the median run time of a function, or that of all functions until it has a sample."""
        return function.run_times.median(now_ms) or self.run_times.median(now_ms) or DEFAULT_RUN_MS

    def median_run_of_all_ms(self, now_ms: float) -> float:
        """Return the median run time of all functions; 0 without a sample."""
        return self.run_times.median(now_ms) or 0.0

    def median_start_ms(self, function: Function, now_ms: float) -> float:
        """Return Tp: the median start time of a function, or its requests' hint until it has a sample."""
        return function.start_times.median(now_ms) or function.hinted_start_ms or DEFAULT_START_MS
