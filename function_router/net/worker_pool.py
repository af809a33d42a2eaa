"""The workers that the endpoint list names, and the sending of attempts and start orders to them."""

import itertools
import random

from function_router.config import Address, TransportSettings
from function_router.decisions.types import WorkerState
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.connection_budget import ConnectionBudget
from function_router.net.event_loop import EventLoop
from function_router.net.idle_limit import IdleLimit
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.pool_resources import PoolResources
from function_router.net.pooled_worker import PooledWorker
from function_router.net.readiness import AlwaysReady, ReadinessAdapter, ReadinessPolicy
from function_router.net.telemetry import ATTEMPTS, PROBES, START_ORDERS, Telemetry
from function_router.net.worker_connection import WorkerConnection
from function_router.net.worker_messages import Attempt, Exchange, HealthCheck, StartOrder

EXCHANGE_ID_BYTES = 8
# The first id of start orders is random, so that routers don't use the same ones.
FIRST_EXCHANGE_ID_BITS = 62
# A health check without an answer ends after this time. Workers answer it at once, whatever they run.
HEALTH_CHECK_TIMEOUT_MS = 1_000.0


class WorkerPool:
    """Owns the workers by their ids; all exchanges with workers go through it.

    Each worker owns its connections and dispatches its exchanges, see `PooledWorker`.

    Attributes:
        workers: The workers by id: those that the endpoint list names, and removed ones with exchanges left.
    """

    def __init__(
        self,
        loop: EventLoop,
        transport: TransportSettings,
        max_connections: int,
        seed: int,
        telemetry: Telemetry,
        readiness: ReadinessPolicy | None = None,
    ) -> None:
        """A pool without workers.

        Args:
            loop: The event loop that serves the connections.
            transport: Timeouts and limits of the transport.
            max_connections: To all workers together.
            seed: For the ids of start orders.
            telemetry: For what was sent, how connections closed and what workers did wrong.
            readiness: Decides which workers may get new work; None: all.
        """
        self.workers: dict[int, PooledWorker] = {}
        self._resources = PoolResources(
            loop=loop,
            transport=transport,
            telemetry=telemetry,
            budget=ConnectionBudget(max_connections, self._all_connections),
            idle_limit=IdleLimit(transport.keepalive_ms),
            readiness=ReadinessAdapter(loop.clock, readiness or AlwaysReady()),
        )
        self._exchange_ids = itertools.count(random.Random(seed).getrandbits(FIRST_EXCHANGE_ID_BITS))

    # --- endpoints ----------------------------------------------------------------------------

    def update_endpoint(
        self, worker_id: int, address: Address | None, state: WorkerState, started_at_ms: float
    ) -> None:
        """Adopt what the endpoint list says of a worker.

        Args:
            worker_id: Its id.
            address: Where it listens; None leaves that unchanged.
            state: Its state.
            started_at_ms: When its process started, in Unix time; 0 if unknown.
        """
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.update(address, state, started_at_ms)
        elif address is not None and state is not WorkerState.REMOVED:
            self.workers[worker_id] = PooledWorker(
                worker_id, address, state, started_at_ms, self._resources, on_unused=self._remove_worker
            )

    def workers_at(self, address: Address) -> list[int]:
        """The ids of the workers at an address that are not removed."""
        return [
            worker.worker_id
            for worker in self.workers.values()
            if worker.address == address and worker.state is not WorkerState.REMOVED
        ]

    def connection_lost_at_ms(self, worker_id: int) -> float | None:
        """When a connection to a worker last ended without this router's doing, on the monotonic clock."""
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
        """Send an attempt; it finishes at its deadline at the latest."""
        telemetry = self._resources.telemetry
        left_ms = attempt.deadline_ms - monotonic_ms()
        if left_ms <= 0:
            attempt.finish_unsent(NotSentReason.DEADLINE_PASSED, telemetry)
            return
        telemetry.count(ATTEMPTS)
        self._dispatch(attempt, left_ms)

    def ensure_instances(self, order: StartOrder) -> None:
        """Send a start order or a probe, which gets its id here."""
        self._resources.telemetry.count(START_ORDERS if order.instances else PROBES)
        order.exchange_id = self._next_exchange_id()
        self._dispatch(order, self._resources.transport.start_order_timeout_ms)

    def check_health(self, check: HealthCheck) -> None:
        """Send a health check, which gets its id here."""
        check.exchange_id = self._next_exchange_id()
        self._dispatch(check, HEALTH_CHECK_TIMEOUT_MS)

    def _next_exchange_id(self) -> bytes:
        return next(self._exchange_ids).to_bytes(EXCHANGE_ID_BYTES, "big")

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange unless it is done; a worker that may have received an attempt is notified."""
        exchange.abort(CloseReason.CANCELLED)

    def cancel_if_unsent(self, exchange: Exchange) -> None:
        """Cancel an exchange whose request is finished, unless the worker may have received some of it."""
        if not exchange.is_started:
            exchange.finish_unsent(NotSentReason.REQUEST_FINISHED, self._resources.telemetry)

    def _dispatch(self, exchange: Exchange, timeout_ms: float) -> None:
        """Pass an exchange to its worker, and finish it after the timeout if nothing else does."""
        resources = self._resources
        exchange.timeout_timer = resources.loop.timers.call_later(timeout_ms, exchange.time_out)
        worker = self.workers.get(exchange.worker_id)
        if worker is None:
            exchange.finish_unsent(NotSentReason.WORKER_UNKNOWN, resources.telemetry)
        else:
            worker.dispatch(exchange)

    # --- connections --------------------------------------------------------------------------

    def check_timeouts(self) -> None:
        """Close connections that have been idle for too long; called periodically."""
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
