"""Health of workers: pending replies, pings, and which workers are unresponsive or slow.

A worker is pinged if a reply is overdue. If it doesn't answer the ping either, it becomes unresponsive. A
worker becomes unresponsive at once if a connection to it can't be established. The protocol has no dedicated
ping, so a probe serves as one: of the function that was last used at the worker, or, if the worker has never
replied for that one, of the last function for which it has.
"""

import math
from collections.abc import Iterator

from function_router.decisions.actions import EnsureInstances, LogMessage
from function_router.decisions.capacity import Capacity
from function_router.decisions.circuit_breakers import CircuitBreakers
from function_router.decisions.durations import Durations
from function_router.decisions.outbox import Outbox
from function_router.decisions.records import STATISTICS_WINDOW_MS, Function, Worker
from function_router.decisions.settings import Settings
from function_router.decisions.types import Outcome, WorkerState
from function_router.decisions.workers import WorkerTable

# Minimum time for which a reply is pending before the worker counts as silent, however short the runs are.
MIN_SILENCE_MS = 300.0

# An attempt, or any other pending reply of a worker, is overdue after this many median run times.
OVERDUE_AFTER_RUNS = 3.0

# An attempt is presumed lost after this many median run times. With many routers, a silent worker is also
# pinged only after this many; before that, it is just not preferred.
LOST_AFTER_RUNS = 8.0

# A worker becomes unresponsive if it doesn't answer a ping within this time.
PING_TIMEOUT_MS = 80.0

# Interval of pings to an unresponsive worker. It is also how long silence does not count after a worker with
# attempts in flight has answered a probe, a start order or a health check.
PING_INTERVAL_MS = 1_000.0

# Weight of one run in the estimated slowdown of its worker.
SLOWDOWN_GAIN = 0.4

# A worker counts as slow if its run times are more than this multiple of the usual ones.
SLOW_RUN_FACTOR = 1.8


class Health:
    """Tracks which workers may be used, and reports workers that become unresponsive to its caller."""

    def __init__(
        self,
        settings: Settings,
        workers: WorkerTable,
        durations: Durations,
        capacity: Capacity,
        outbox: Outbox,
    ) -> None:
        self._can_ping = settings.can_order_starts
        self._workers = workers
        self._durations = durations
        self._capacity = capacity
        self._outbox = outbox
        self._watched: dict[int, Worker] = {}  # workers that may have a pending reply, by id
        self._unresponsive_count = 0  # number of unresponsive workers among the ready ones
        self.breakers = CircuitBreakers(workers)

    def is_usable(self, worker: Worker, class_name: str, now_ms: float) -> bool:
        """Return whether a worker may get new requests of a class.

        If most workers are unresponsive, all of them count as responsive, as in Envoy's panic mode.
        """
        if not worker.is_ready:
            return False
        if worker.unresponsive_since_ms is not None and not self._most_are_unresponsive():
            return False
        return not (worker.breakers and self.breakers.is_open(worker, class_name, now_ms))

    def _most_are_unresponsive(self) -> bool:
        return self._unresponsive_count * 2 > len(self._workers.ready)

    def is_silent(self, worker: Worker, runs: float, now_ms: float) -> bool:
        """Return whether a worker has sent nothing for `runs` median run times while a reply was pending."""
        limit_ms = max(MIN_SILENCE_MS, runs * self._durations.median_run_of_all_ms(now_ms))
        since_ms = worker.awaiting_reply_since_ms
        return since_ms is not None and now_ms - since_ms >= limit_ms

    def is_preferable(self, worker: Worker, now_ms: float) -> bool:
        """Return whether a worker is neither slow nor silent."""
        return worker.slow_until_ms <= now_ms and not self.is_silent(worker, OVERDUE_AFTER_RUNS, now_ms)

    def recount_unresponsive(self) -> None:
        """Recount the unresponsive workers after the set of ready workers has changed."""
        ready = self._workers.ready
        self._unresponsive_count = sum(worker.unresponsive_since_ms is not None for worker in ready)

    def remove_worker(self, worker: Worker) -> None:
        """Drop a worker whose record is evicted."""
        self._watched.pop(worker.id, None)

    def expect_reply(self, worker: Worker, now_ms: float, *, reply_grace_ms: float = 0.0) -> None:
        """Expect a reply from a worker. Its silence starts to count after `reply_grace_ms`."""
        if worker.awaiting_reply_since_ms is None:
            worker.awaiting_reply_since_ms = now_ms + reply_grace_ms
            self._watched[worker.id] = worker

    def record_reply(self, worker: Worker, now_ms: float, *, reply_grace_ms: float = 0.0) -> None:
        """Record a reply of a worker. If more are pending, silence starts to count after `reply_grace_ms`."""
        worker.awaiting_reply_since_ms = now_ms + reply_grace_ms if worker.in_flight else None
        worker.pinged_ms = None
        if worker.unresponsive_since_ms is None:
            return
        worker.unresponsive_since_ms = None
        if worker.is_ready:
            self._unresponsive_count -= 1
        self._outbox.add(LogMessage(f"worker {worker.id} answers again"))

    def record_no_reply(self, worker: Worker, outcome: Outcome, now_ms: float) -> bool:
        """Record that an attempt, start order, probe or health check ended without a reply of the worker.

        A reset connection doesn't prove that the process is down, so the worker is pinged.

        Returns:
            Whether the worker has just become unresponsive.
        """
        if outcome is Outcome.CONNECT_FAILED:
            return self.mark_unresponsive(worker, now_ms)
        was_responsive = worker.unresponsive_since_ms is None and worker.pinged_ms is None
        if outcome is Outcome.RESET and was_responsive:
            self._ping(worker, now_ms)
        return False

    def record_slowdown(self, worker: Worker, factor: float, now_ms: float) -> None:
        """Record that a run took `factor` times as long as usual.

        With many routers, long runs indicate load from the other routers. A slow worker is not preferred for
        as long as its slowdown would take to decay to the threshold, with the statistics window as the time
        constant.
        """
        worker.slowdown += SLOWDOWN_GAIN * (factor - worker.slowdown)
        if self._capacity.many_routers and worker.slowdown > SLOW_RUN_FACTOR:
            decay_times = math.log((worker.slowdown - 1) / (SLOW_RUN_FACTOR - 1))
            worker.slow_until_ms = now_ms + STATISTICS_WINDOW_MS * decay_times

    def check_timeouts(self, now_ms: float) -> Iterator[Worker]:
        """Ping silent workers, and yield each worker that becomes unresponsive."""
        for worker in list(self._watched.values()):
            if worker.unresponsive_since_ms is not None:
                pinged_ms = worker.unresponsive_since_ms if worker.pinged_ms is None else worker.pinged_ms
                if now_ms - pinged_ms >= PING_INTERVAL_MS:
                    self._ping(worker, now_ms)
            elif worker.pinged_ms is not None:
                if now_ms - worker.pinged_ms >= PING_TIMEOUT_MS and self.mark_unresponsive(worker, now_ms):
                    yield worker
            elif worker.awaiting_reply_since_ms is None:
                del self._watched[worker.id]
            elif self.is_silent(
                worker, LOST_AFTER_RUNS if self._capacity.many_routers else OVERDUE_AFTER_RUNS, now_ms
            ):
                self._ping(worker, now_ms)

    def mark_unresponsive(self, worker: Worker, now_ms: float) -> bool:
        """Mark a worker as unresponsive until it replies, and return whether it was responsive before."""
        if worker.unresponsive_since_ms is not None:
            return False
        worker.unresponsive_since_ms = now_ms
        worker.pinged_ms = now_ms
        self._watched[worker.id] = worker
        if worker.is_ready:
            self._unresponsive_count += 1
        self._outbox.add(LogMessage(f"worker {worker.id} is silent: nothing new goes there"))
        return True

    def _ping(self, worker: Worker, now_ms: float) -> None:
        """Probe a function at a worker, if possible. The ping timeout applies in any case."""
        worker.pinged_ms = now_ms
        is_removed = worker.endpoint.state == WorkerState.REMOVED
        function = _function_to_ping(worker)
        if function is not None and self._can_ping and not is_removed:
            self.probe(function, worker, now_ms)

    def probe(self, function: Function, worker: Worker, now_ms: float) -> None:
        """Ask a worker how many instances of a function it has."""
        pool = function.pool_at(worker)
        pool.pending_probes += 1
        pool.last_probed_ms = now_ms
        function.last_probed_ms = now_ms
        self.expect_reply(worker, now_ms)
        self._outbox.add(EnsureInstances(worker.id, function.name, 0))


def _function_to_ping(worker: Worker) -> Function | None:
    """Return the function whose probe pings a worker; None if no function was used there."""
    last = worker.last_function
    has_replied = last is not None and last.pools[worker.id].last_seen_ms > -math.inf
    return last if has_replied else worker.answered_function or last
