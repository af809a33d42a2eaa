"""Tests of `connection_budget`."""

import pytest
from helpers.exchanges import attempt, start_order
from helpers.fake_worker import FakeWorker

from function_router.decisions.types import Outcome
from function_router.net import router_process
from function_router.net.close_reason import CloseReason
from function_router.net.connection_budget import ConnectionBudget

MAX_CONNECTIONS = 10


class FakeConnection:
    """A connection that has been idle for `idle` ms, unless it has an exchange in flight."""

    def __init__(self, idle, *, is_connected=True, is_in_use=False):
        self.is_connected = is_connected
        self.exchanges = {b"12345678": None} if is_in_use else {}
        self.close_reasons = []
        self._idle = idle

    def idle_ms(self):
        """Return how long the connection has been idle."""
        return self._idle

    def close(self, reason):
        """Record the reason."""
        self.close_reasons.append(reason)


def budget_with(count, connections=()):
    """Return a budget that has counted `count` open connections."""
    budget = ConnectionBudget(MAX_CONNECTIONS, lambda: list(connections))
    for _ in range(count):
        budget.on_opened()
    return budget


# --- unit tests


@pytest.mark.parametrize(("count", "is_allowed"), [(0, True), (6, True), (7, False), (10, False)])
def test_spare_connections_use_only_a_share_of_the_budget(count, is_allowed):
    assert budget_with(count).allows_spare_connection() == is_allowed


def test_no_connection_is_closed_while_the_budget_has_capacity():
    idle = FakeConnection(idle=9.0)
    budget = budget_with(MAX_CONNECTIONS - 1, [idle])

    has_capacity = budget.ensure_capacity()

    assert has_capacity
    assert idle.close_reasons == []


def test_longest_idle_connection_is_closed_once_the_budget_is_used_up():
    shorter, longest = FakeConnection(idle=5.0), FakeConnection(idle=6.0)
    unusable = [FakeConnection(idle=8.0, is_in_use=True), FakeConnection(idle=9.0, is_connected=False)]
    budget = budget_with(MAX_CONNECTIONS, [shorter, longest, *unusable])

    has_capacity = budget.ensure_capacity()

    assert has_capacity
    assert longest.close_reasons == [CloseReason.IDLE]
    assert all(connection.close_reasons == [] for connection in [shorter, *unusable])


def test_budget_without_idle_connections_has_no_capacity_until_one_closes():
    budget = budget_with(MAX_CONNECTIONS, [FakeConnection(idle=8.0, is_in_use=True)])

    assert not budget.ensure_capacity()

    budget.on_closed()

    assert budget.ensure_capacity()


# --- tests in a router


def test_connections_stay_within_their_share_of_descriptors(start_router):
    worker = FakeWorker(instances=None)
    harness = start_router(worker, limits={"sockets": 32}, settings={"bounds": {"streams_per_conn": 1}})
    results = []

    for number in range(40):
        harness.pool.send(attempt(worker.worker_id, results, exchange_id=b"%08d" % number))
    harness.run_until(
        lambda: len(worker.requests) + len(results) == 40, "all attempts reach the worker or finish"
    )

    assert set(results) == {(CloseReason.CONNECTION_LIMIT, False)}
    assert len(worker.connections) <= 32 * router_process.WORKER_SHARE


def test_idle_connections_are_closed_to_connect_to_other_workers(start_router):
    harness = start_router(limits={"sockets": 32})
    pool = harness.pool
    workers = [FakeWorker(f"s-{number}") for number in range(20)]
    results = []

    for number, worker in enumerate(workers):
        harness.add_unlisted_worker(worker, number)
        pool.ensure_instances(start_order(number, results, instances=0))
        harness.run_until(lambda number=number: len(results) > number, "the probe is answered")

    assert {result for result, _ in results} == {Outcome.OK}
    assert pool._resources.budget.connection_count <= 32 * router_process.WORKER_SHARE
