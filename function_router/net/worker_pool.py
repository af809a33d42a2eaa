"""The pool of workers that the endpoint list names, through which all exchanges with workers are sent."""

import itertools
import random

from function_router.config import Address, TransportSettings
from function_router.decisions.types import WorkerState
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.connection_budget import ConnectionBudget
from function_router.net.event_loop import EventLoop
from function_router.net.idle_limit import IdleLimit
from function_router.net.memory_budget import MemoryBudget
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pool_resources import PoolResources
from function_router.net.pooled_worker import PooledWorker
from function_router.net.readiness import ReadinessAdapter, ReadinessPolicy
from function_router.net.telemetry import ATTEMPTS, PROBES, START_ORDERS, Telemetry
from function_router.net.worker_connection import WorkerConnection
from function_router.net.worker_messages import Attempt, Exchange, HealthCheck, StartOrder

EXCHANGE_ID_BYTES = 8
# Size of the first id of start orders and health checks. The id is random, so that routers don't use the same
# ids. It leaves two bits of EXCHANGE_ID_BYTES free, so that the ids that follow it fit, too.
FIRST_EXCHANGE_ID_BITS = 62
# Timeout of a health check. Workers answer health checks at once, whatever functions they run.
HEALTH_CHECK_TIMEOUT_MS = 1_000.0
# Source of the log lines about rejected attempts. The log limits the rate of its lines per source.
REJECTIONS_LOG_SOURCE = "rejected attempts"
# Maximum timeout of a probe. Workers answer probes at once, as they start nothing for them.
PROBE_TIMEOUT_MS = 2_000.0


class WorkerPool:
    """Owns the workers; all exchanges with workers are sent through the pool.

    Each worker owns its connections and dispatches its exchanges; see `PooledWorker`.

    Args:
        loop: The event loop that serves the connections.
        transport: Timeouts and limits of the transport.
        max_connections: The maximum number of connections to all workers together.
        seed: The seed of the first id of start orders and health checks.
        telemetry: Counts dispatched exchanges and closed connections; logs protocol errors of workers.
        readiness: Decides which connections may carry new work.
        memory: The memory that workers can fill.

    Attributes:
        workers: The workers by id: those in the endpoint list, and removed ones that are still in use.
    """

    def __init__(
        self,
        loop: EventLoop,
        transport: TransportSettings,
        max_connections: int,
        seed: int,
        telemetry: Telemetry,
        readiness: ReadinessPolicy,
        memory: MemoryBudget,
    ) -> None:
        """Create a pool without workers."""
        self.workers: dict[int, PooledWorker] = {}
        self._resources = PoolResources(
            loop=loop,
            transport=transport,
            telemetry=telemetry,
            budget=ConnectionBudget(max_connections, self._all_connections),
            idle_limit=IdleLimit(transport.connection_keepalive_ms),
            readiness=ReadinessAdapter(loop.clock, readiness),
            memory=memory,
        )
        self._exchange_ids = itertools.count(random.Random(seed).getrandbits(FIRST_EXCHANGE_ID_BITS))

    # --- endpoints ----------------------------------------------------------------------------

    def update_endpoint(
        self, worker_id: int, address: Address | None, state: WorkerState, started_at_unix_ms: float
    ) -> None:
        """Apply a record of the endpoint list, and add the worker if it is new.

        Args:
            worker_id: The id of the worker.
            address: The address on which the worker listens; None leaves it unchanged.
            state: The state of the worker.
            started_at_unix_ms: When the worker's process started, in Unix time; 0 if unknown.
        """
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.update(address, state, started_at_unix_ms)
        elif address is not None and state is not WorkerState.REMOVED:
            self.workers[worker_id] = PooledWorker(
                worker_id, address, state, started_at_unix_ms, self._resources, on_unused=self._remove_worker
            )

    def has_other_address(self, worker_id: int, address: Address | None) -> bool:
        """Return whether the pool has a worker at another address; None stands for any address."""
        worker = self.workers.get(worker_id)
        return worker is not None and address is not None and worker.address != address

    def workers_at(self, address: Address) -> list[int]:
        """Return the ids of the workers at an address, without removed workers."""
        return [
            worker.worker_id
            for worker in self.workers.values()
            if worker.address == address and worker.state is not WorkerState.REMOVED
        ]

    def is_process_known(self, worker_id: int, connected_at_ms: float) -> bool:
        """Return whether a connection that was established at this time leads to a worker for certain."""
        return self._resources.readiness.is_process_known(worker_id, connected_at_ms)

    def describe_lease(self, worker_id: int) -> str:
        """Return by which lease new work may go to a worker now, for the log."""
        return self._resources.readiness.describe_lease(worker_id)

    def log_rejected(self, attempt: Attempt) -> None:
        """Log that a worker, which is full or draining, rejected an attempt, and what had allowed it."""
        text = f"worker {attempt.worker_id} rejected {attempt.exchange_id.hex()}"
        if attempt.lease is not None:
            text += f", sent by {attempt.lease.description}"
        self._resources.telemetry.log(text, REJECTIONS_LOG_SOURCE)

    def connection_lost_at_ms(self, worker_id: int) -> float | None:
        """Return `ConnectionSet.last_lost_ms` of a worker; None if the pool does not have the worker."""
        worker = self.workers.get(worker_id)
        return None if worker is None else worker.connections.last_lost_ms

    def remove_all_except(self, worker_ids: set[int]) -> None:
        """Remove the workers that a complete endpoint list does not name."""
        absent = [worker_id for worker_id in self.workers if worker_id not in worker_ids]
        for worker_id in absent:
            self.update_endpoint(worker_id, None, WorkerState.REMOVED, 0.0)

    def _remove_worker(self, worker_id: int) -> None:
        self.workers.pop(worker_id, None)

    # --- exchanges ----------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, which finishes at its deadline at the latest."""
        telemetry = self._resources.telemetry
        left_ms = attempt.deadline_ms - monotonic_ms()
        if left_ms <= 0:
            attempt.finish_unsent(NotSentReason.DEADLINE_PASSED, telemetry)
            return
        telemetry.count(ATTEMPTS)
        self._dispatch(attempt, left_ms)

    def ensure_instances(self, order: StartOrder) -> None:
        """Assign an id to a start order or a probe, and send it."""
        self._resources.telemetry.count(START_ORDERS if order.instances else PROBES)
        order.exchange_id = self._next_exchange_id()
        timeout_ms = self._resources.transport.start_order_timeout_ms
        if not order.instances:
            timeout_ms = min(PROBE_TIMEOUT_MS, timeout_ms)
        self._dispatch(order, timeout_ms)

    def check_health(self, check: HealthCheck) -> None:
        """Assign an id to a health check, and send it."""
        check.exchange_id = self._next_exchange_id()
        self._dispatch(check, HEALTH_CHECK_TIMEOUT_MS)

    def _next_exchange_id(self) -> bytes:
        return next(self._exchange_ids).to_bytes(EXCHANGE_ID_BYTES, "big")

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange unless it is done.

        If the exchange is an attempt that the worker may have received, the worker is notified.
        """
        exchange.abort(CloseReason.CANCELLED)

    def cancel_if_unsent(self, exchange: Exchange) -> None:
        """Cancel an exchange of a finished request, unless the worker may have received some bytes of it."""
        if not exchange.is_started:
            exchange.finish_unsent(NotSentReason.REQUEST_FINISHED, self._resources.telemetry)

    def _dispatch(self, exchange: Exchange, timeout_ms: float) -> None:
        """Pass an exchange to its worker, and set a timer that finishes the exchange after the timeout."""
        resources = self._resources
        exchange.timeout_timer = resources.loop.timers.call_later(timeout_ms, exchange.time_out)
        worker = self.workers.get(exchange.worker_id)
        if worker is None:
            exchange.finish_unsent(NotSentReason.WORKER_UNKNOWN, resources.telemetry)
        else:
            worker.dispatch(exchange)

    # --- connections --------------------------------------------------------------------------

    def check_timeouts(self) -> None:
        """Close connections that have been idle for too long; the router calls this periodically."""
        idle_limit = self._resources.idle_limit
        idle_limit.grow()
        for connection in self._all_connections():
            connection.close_if_idle(idle_limit.limit_ms)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._all_connections():
            connection.close(CloseReason.SHUTDOWN)

    def _all_connections(self) -> list[WorkerConnection]:
        return [connection for worker in self.workers.values() for connection in worker.connections]
