"""Sends the start orders and probes that the decision module requests, and reports their results."""

from collections.abc import Callable

from function_router.decisions.actions import EnsureInstances
from function_router.decisions.events import InstancesReported
from function_router.net.clock import Clock, monotonic_ms
from function_router.net.close_reason import outcome_without_answer
from function_router.net.event_loop import EventLoop
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pending_requests import PendingRequests
from function_router.net.worker_messages import Result, StartOrder, WorkerAnswer
from function_router.net.worker_pool import WorkerPool

RevalidateStartOrder = Callable[[float, float], float | None]
"""Checks an order against the rate limit of start orders when the order's first byte could be written.

The arguments are the time as of which the order counts towards the limit, and the current time. The result is
the time as of which the order counts if it is sent now, or None if it must not be sent. All times are on the
decision module's clock.
"""


class _StartOrderCheck:
    """Decides whether a start order may be sent, each time that its first byte could be written.

    An order may be queued for a long time. It counts towards the rate limit as of when it is sent. Once the
    limit has stopped an order, that order is never sent. Neither is one for which clients waited when it was
    decided on, and none waits any more; an order in advance of requests is sent.
    """

    __slots__ = ("_clock", "_counted_at_ms", "_function", "_is_in_advance", "_requests", "_revalidate")

    def __init__(
        self,
        function: str,
        decided_at_ms: float,
        revalidate: RevalidateStartOrder,
        requests: PendingRequests,
        clock: Clock,
    ) -> None:
        """Create the check of an order that was decided on, and counted, at `decided_at_ms`."""
        self._function = function
        self._counted_at_ms: float | None = decided_at_ms
        self._revalidate = revalidate
        self._requests = requests
        self._is_in_advance = not requests.has_requests(function)
        self._clock = clock

    def __call__(self) -> NotSentReason | None:
        if not self._is_in_advance and not self._requests.has_waiting_client(self._function):
            return NotSentReason.CLIENT_GONE
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
        requests: PendingRequests,
    ) -> None:
        """Create a sender of orders to the workers of `pool`.

        Args:
            loop: The event loop, which has the clock of the decision module and takes the results.
            pool: The workers.
            revalidate_start_order: Checks an order against the rate limit.
            requests: The pending requests, whose traces name each order and each result.
        """
        self._loop = loop
        self._pool = pool
        self._revalidate_start_order = revalidate_start_order
        self._requests = requests

    def send(self, action: EnsureInstances, decided_at_ms: float) -> None:
        """Send a start order, or a probe if the action asks for no instances.

        Args:
            action: The action of the decision module.
            decided_at_ms: The time of the batch of events that led to the action, on the decision module's
                clock.
        """
        text = f"ensure {action.instances} instances at {action.worker_id}"
        if action.instances:
            text += f" by {self._pool.describe_lease(action.worker_id)}"
        self._requests.add_trace_step(action.function, text)
        order = StartOrder(
            worker_id=action.worker_id,
            on_done=self._on_done,
            function=action.function,
            instances=action.instances,
        )
        if action.instances:
            order.reason_not_to_send = _StartOrderCheck(
                action.function,
                decided_at_ms,
                self._revalidate_start_order,
                self._requests,
                self._loop.clock,
            )
        self._pool.ensure_instances(order)

    def _on_done(self, order: StartOrder, result: Result) -> None:
        if isinstance(result, WorkerAnswer):
            outcome = result.outcome
            instances = result.instances
        else:
            outcome = outcome_without_answer(result, is_started=order.is_started)
            instances = 0
        self._requests.add_trace_step(
            order.function, f"{order.worker_id}: {outcome.name} instances {instances}"
        )
        duration_ms = monotonic_ms() - order.created_at_ms
        transmission = self._loop.clock.convert_transmission(order.transmission)
        self._loop.submit(
            InstancesReported(order.worker_id, order.function, outcome, instances, duration_ms, transmission)
        )
