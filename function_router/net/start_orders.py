"""Start orders and probes: from the decision to ask a worker for instances to the report of its answer."""

from collections.abc import Callable

from function_router.decisions.actions import EnsureInstances
from function_router.decisions.events import InstancesReported
from function_router.net.clock import Clock, monotonic_ms
from function_router.net.close_reason import outcome_of
from function_router.net.event_loop import EventLoop
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.worker_messages import Answer, Result, StartOrder
from function_router.net.worker_pool import WorkerPool

RevalidateStartOrder = Callable[[float, float], float | None]
"""Checks an order against the start order rate limit when its first byte could leave.

Takes the time as of which the order counts towards the limit, and the time now; returns the time as of which
it counts if it leaves now, or None if it must not leave. All are times of the decision module's clock.
"""


class _RateLimitCheck:
    """Says whether one start order may leave, each time that its first byte could.

    An order may be queued for long. It counts towards the rate limit as of when it leaves, and one that the
    limit has once stopped may never leave.
    """

    __slots__ = ("_clock", "_counted_at_ms", "_revalidate")

    def __init__(self, decided_at_ms: float, revalidate: RevalidateStartOrder, clock: Clock) -> None:
        """Check an order that was decided on, and counted, at `decided_at_ms`."""
        self._counted_at_ms: float | None = decided_at_ms
        self._revalidate = revalidate
        self._clock = clock

    def __call__(self) -> NotSentReason | None:
        if self._counted_at_ms is not None:
            self._counted_at_ms = self._revalidate(self._counted_at_ms, self._clock.now_ms())
        return None if self._counted_at_ms is not None else NotSentReason.START_ORDER_LIMIT_REACHED


class StartOrderSender:
    """Sends start orders and probes, and reports the results to the decision module."""

    def __init__(
        self,
        loop: EventLoop,
        pool: WorkerPool,
        revalidate_start_order: RevalidateStartOrder,
        add_trace_step: Callable[[str, str], None],
    ) -> None:
        """Send orders to the workers of `pool`.

        Args:
            loop: Its clock is the one of the decision module; results are submitted to it.
            pool: The workers.
            revalidate_start_order: Checks an order against the rate limit.
            add_trace_step: Called with a function and a text for each order and each result.
        """
        self._loop = loop
        self._pool = pool
        self._revalidate_start_order = revalidate_start_order
        self._add_trace_step = add_trace_step

    def send(self, action: EnsureInstances, decided_at_ms: float) -> None:
        """Send a start order, or a probe if the action asks for no instances.

        Args:
            action: What the decision module wants.
            decided_at_ms: The time of the batch of events that led to it, on the decision module's clock.
        """
        self._add_trace_step(action.function, f"ensure {action.instances} instances at {action.worker_id}")
        order = StartOrder(
            worker_id=action.worker_id,
            on_done=self._on_done,
            function=action.function,
            instances=action.instances,
        )
        if action.instances:
            order.reason_not_to_send = _RateLimitCheck(
                decided_at_ms, self._revalidate_start_order, self._loop.clock
            )
        self._pool.ensure_instances(order)

    def _on_done(self, order: StartOrder, result: Result) -> None:
        if isinstance(result, Answer):
            outcome = result.outcome
            instances = result.instances
        else:
            outcome = outcome_of(result, is_started=order.is_started)
            instances = 0
        self._add_trace_step(order.function, f"{order.worker_id}: {outcome.name} instances {instances}")
        duration_ms = monotonic_ms() - order.created_at_ms
        self._loop.submit(InstancesReported(order.worker_id, order.function, outcome, instances, duration_ms))
