"""Queries to the decision module: which connections to a worker may carry an exchange now."""

from typing import Protocol

from function_router.decisions.connection_policy import SentLease
from function_router.decisions.types import WorkerState
from function_router.net.clock import Clock, monotonic_ms
from function_router.net.send_checks import SendConditions


class ReadinessPolicy(Protocol):
    """Decides which connections may carry an exchange. All times are on the decision module's clock."""

    def allows_new_work(self, worker_id: int, now_ms: float) -> bool:
        """Return whether a worker may get new work now."""

    def process_cutoff_ms(self, worker_id: int) -> float:
        """Return the time by which a connection must have been established to lead to the worker for certain.

        The time is negative infinite if no connection is known to do so.
        """

    def is_process_known(self, worker_id: int, connected_at_ms: float) -> bool:
        """Return whether a connection that was established at this time leads to the worker for certain."""

    def is_within_drain_grace(self, at_ms: float) -> bool:
        """Return whether new work that was sent at `at_ms` was within the operator's drain grace."""

    def describe_lease(self, worker_id: int, now_ms: float) -> str:
        """Return by which lease new work may go to a worker now, for the log."""

    def record_sent(self, worker_id: int, sent_ms: float) -> SentLease:
        """Record that the first byte of new work was written to a worker, and return by which lease."""


class ReadinessAdapter:
    """Converts times between the policy's clock and the monotonic clock of the connections."""

    __slots__ = ("_clock", "_policy")

    def __init__(self, clock: Clock, policy: ReadinessPolicy) -> None:
        """Wrap a policy whose times are on `clock`."""
        self._clock = clock
        self._policy = policy

    def allows_new_work(self, worker_id: int) -> bool:
        """Return whether a worker may get new work now."""
        return self._policy.allows_new_work(worker_id, self._clock.from_monotonic_ms(monotonic_ms()))

    def process_cutoff_ms(self, worker_id: int) -> float:
        """Return the time, on the monotonic clock, by which a connection must have been established.

        A connection that was established later may lead to another worker than the one of the endpoint list.
        """
        return self._clock.to_monotonic_ms(self._policy.process_cutoff_ms(worker_id))

    def is_process_known(self, worker_id: int, connected_at_ms: float) -> bool:
        """Return whether a connection that was established at this time leads to the worker for certain."""
        return self._policy.is_process_known(worker_id, self._clock.from_monotonic_ms(connected_at_ms))

    def describe_lease(self, worker_id: int) -> str:
        """Return by which lease new work may go to a worker now, for the log."""
        return self._policy.describe_lease(worker_id, self._clock.from_monotonic_ms(monotonic_ms()))

    def record_sent(self, worker_id: int) -> SentLease:
        """Record that the first byte of new work was written to a worker now, and return by which lease."""
        return self._policy.record_sent(worker_id, self._clock.from_monotonic_ms(monotonic_ms()))

    def conditions_of_send(
        self, worker_id: int, state: WorkerState, written_at_ms: float, connected_at_ms: float
    ) -> SendConditions:
        """Return what is known of a first byte that was written on a connection to a worker.

        Args:
            worker_id: The worker.
            state: The state of the worker.
            written_at_ms: When the byte was written, on the monotonic clock.
            connected_at_ms: When the connection was established, on the monotonic clock.
        """
        return SendConditions(
            state,
            written_at_ms,
            is_in_drain_grace=self._policy.is_within_drain_grace(
                self._clock.from_monotonic_ms(written_at_ms)
            ),
            is_process_known=self.is_process_known(worker_id, connected_at_ms),
        )
