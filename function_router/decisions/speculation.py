"""Speculation: whether a cold start may be ordered while warm instances of a function are busy.

This is the condition of CIDRE's conditional speculative scaling. CIDRE is described in Liu, Cheng, Shen, Wang
and Balaji, "Concurrency-Informed Orchestration for Serverless Functions".
"""

from function_router.decisions.durations import Durations
from function_router.decisions.records import Function


class Speculation:
    """Enables and disables speculation for each function. It is enabled initially.

    Speculation is disabled when a speculative instance idles for longer than a run takes (Ti > Te), because
    the request could have waited for a busy instance. It is enabled again when requests wait for longer than
    a start takes (Td > Tp).
    """

    def __init__(self, durations: Durations) -> None:
        self._durations = durations

    def update(self, function: Function, now_ms: float) -> bool:
        """Toggle speculation if its condition is met, and return whether it is enabled now."""
        if function.speculates:
            idle_ms = self._idle_before_use_ms(function, now_ms)
            should_toggle = idle_ms > self._durations.median_run_ms(function, now_ms)
        else:
            wait_ms = self._queue_wait_ms(function, now_ms)
            should_toggle = wait_ms > self._durations.median_start_ms(function, now_ms)
        if should_toggle:
            self._toggle(function)
        return function.speculates

    def _idle_before_use_ms(self, function: Function, now_ms: float) -> float:
        """Return Ti, or the idle time so far of a still unused speculative instance, if that is longer."""
        idle_ms = function.idle_before_use_ms
        for pool in function.pools.values():
            if pool.unused_since_ms is not None:
                idle_ms = max(idle_ms, now_ms - pool.unused_since_ms)
        return idle_ms

    def _queue_wait_ms(self, function: Function, now_ms: float) -> float:
        """Return Td, or the wait so far of the request that was queued first, if that is longer."""
        oldest_ms = function.queue.first_queued_ms
        waited_ms = 0.0 if oldest_ms is None else now_ms - oldest_ms
        return max(waited_ms, function.queue_waits.median(now_ms) or 0.0)

    def _toggle(self, function: Function) -> None:
        """Toggle speculation, and reset the times that led to it."""
        function.speculates = not function.speculates
        function.idle_before_use_ms = 0.0
        function.queue_waits.clear()
        for pool in function.pools.values():
            pool.unused_since_ms = None
