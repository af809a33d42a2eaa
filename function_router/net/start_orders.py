"""Start orders and probes: from the decision to ask a worker for instances to the report of its answer."""

from collections.abc import Callable

from function_router.decisions.actions import EnsureInstances
from function_router.decisions.events import InstancesReported
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import outcome_of
from function_router.net.event_loop import EventLoop
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.worker_messages import Answer, Result, StartOrder
from function_router.net.worker_pool import WorkerPool

RevalidateStartOrder = Callable[[float, float], float | None]
"""Given the time from which a start order counts and the time now, the time from which it counts if its first
byte leaves now; None if it must not leave. Both are times of the decision module's clock."""


class StartOrderSender:
    """Sends start orders and probes, and reports the results to the decision module.

    `add_trace_step` takes a function and a text, and is called for every order and every result.
    """

    def __init__(
        self,
        loop: EventLoop,
        pool: WorkerPool,
        revalidate_start_order: RevalidateStartOrder,
        add_trace_step: Callable[[str, str], None],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._revalidate_start_order = revalidate_start_order
        self._add_trace_step = add_trace_step

    def send(self, action: EnsureInstances, decided_at_ms: float) -> None:
        """Send a start order, or a probe where no instances are wanted.

        `decided_at_ms` is the time of the batch of events that led to it.
        """
        self._add_trace_step(action.function, f"ensure {action.instances} instances at {action.worker_id}")
        reason_not_to_send = self._budget_check(decided_at_ms) if action.instances else lambda: None
        self._pool.ensure_instances(
            StartOrder(
                worker_id=action.worker_id,
                on_done=self._on_done,
                function=action.function,
                instances=action.instances,
                reason_not_to_send=reason_not_to_send,
            )
        )

    def _budget_check(self, decided_at_ms: float) -> Callable[[], NotSentReason | None]:
        """Return a check for each time that the first byte of an order could leave.

        An order may wait long for its connection. It then counts against the budget of instance starts from
        when it leaves, and an order that the budget once forbade stays forbidden.
        """
        counted_ms: float | None = decided_at_ms

        def reason_not_to_send() -> NotSentReason | None:
            nonlocal counted_ms
            if counted_ms is not None:
                counted_ms = self._revalidate_start_order(counted_ms, self._loop.clock.now_ms())
            return None if counted_ms is not None else NotSentReason.START_ORDER_LIMIT_REACHED

        return reason_not_to_send

    def _on_done(self, order: StartOrder, result: Result) -> None:
        if isinstance(result, Answer):
            outcome = result.outcome
            instances = result.instances
        else:
            outcome = outcome_of(result, order.is_started)
            instances = 0
        self._add_trace_step(order.function, f"{order.worker_id}: {outcome.name} instances {instances}")
        duration_ms = monotonic_ms() - order.created_at_ms
        self._loop.submit(InstancesReported(order.worker_id, order.function, outcome, instances, duration_ms))
