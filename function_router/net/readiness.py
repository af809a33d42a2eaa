"""Queries to the decision module: which connections to a worker may carry new work now."""

import math
from typing import Protocol

from function_router.net.clock import Clock, monotonic_ms


class ReadinessPolicy(Protocol):
    """Decides which workers may get new work, and when; all times are on the decision module's clock."""

    def connection_cutoff_ms(self, worker_id: int, now_ms: float) -> float:
        """Return the time by which a connection must have been established to carry new work to a worker now.

        The time is infinite if any connection to the worker may carry new work, and negative infinite if none
        may.
        """

    def is_within_drain_grace(self, worker_id: int, at_ms: float) -> bool:
        """Return whether new work that was sent at `at_ms` was within the operator's drain grace."""


class AlwaysReady:
    """The policy of a pool without a decision module."""

    def connection_cutoff_ms(self, worker_id: int, now_ms: float) -> float:  # noqa: ARG002 (of the protocol)
        """Return infinity, as any connection may carry new work."""
        return math.inf

    def is_within_drain_grace(self, worker_id: int, at_ms: float) -> bool:  # noqa: ARG002 (of the protocol)
        """Return True, as new work may be sent at any time."""
        return True


class ReadinessAdapter:
    """Converts times between the policy's clock and the monotonic clock of the connections."""

    __slots__ = ("_clock", "_policy")

    def __init__(self, clock: Clock, policy: ReadinessPolicy) -> None:
        """Wrap a policy whose times are on `clock`."""
        self._clock = clock
        self._policy = policy

    def connection_cutoff_ms(self, worker_id: int) -> float:
        """Return the time, on the monotonic clock, by which a connection must have been established.

        A connection that was established later must not carry new work to the worker now.
        """
        now_ms = self._clock.from_monotonic_ms(monotonic_ms())
        return self._clock.to_monotonic_ms(self._policy.connection_cutoff_ms(worker_id, now_ms))

    def is_within_drain_grace(self, worker_id: int, written_at_ms: float) -> bool:
        """Return whether new work that was written at `written_at_ms` was within the drain grace."""
        return self._policy.is_within_drain_grace(worker_id, self._clock.from_monotonic_ms(written_at_ms))
