"""Asks the decisions which connections to a worker may carry new work at this moment."""

import math
from typing import Protocol

from function_router.net.clock import Clock, monotonic_ms


class ReadinessPolicy(Protocol):
    """Decides which workers may get new work, and when; all times are of the decisions' clock."""

    def latest_connection_ms(self, worker_id: int, now_ms: float) -> float:
        """Until when a connection to a worker must have been established to carry new work now.

        Infinite if any connection may, and negative infinite if none may.
        """

    def is_within_drain_grace(self, worker_id: int, at_ms: float) -> bool:
        """Whether new work that left at some time was within the operator's grace."""


class AlwaysReady:
    """The policy of a pool without a decision module."""

    def latest_connection_ms(self, worker_id: int, now_ms: float) -> float:  # noqa: ARG002 (of the protocol)
        """Any connection may carry new work."""
        return math.inf

    def is_within_drain_grace(self, worker_id: int, at_ms: float) -> bool:  # noqa: ARG002 (of the protocol)
        """Nothing is ever too late."""
        return True


class ReadinessAdapter:
    """Translates between the clock of the policy and the monotonic one of the connections."""

    __slots__ = ("_clock", "_policy")

    def __init__(self, clock: Clock, policy: ReadinessPolicy) -> None:
        """Ask a policy whose times are those of `clock`."""
        self._clock = clock
        self._policy = policy

    def latest_connection_ms(self, worker_id: int) -> float:
        """Until when a connection to a worker must have been established to carry new work now."""
        now_ms = self._clock.from_monotonic_ms(monotonic_ms())
        return self._clock.to_monotonic_ms(self._policy.latest_connection_ms(worker_id, now_ms))

    def is_within_drain_grace(self, worker_id: int, written_at_ms: float) -> bool:
        """Whether new work that was written at some time was within the operator's grace."""
        return self._policy.is_within_drain_grace(worker_id, self._clock.from_monotonic_ms(written_at_ms))
