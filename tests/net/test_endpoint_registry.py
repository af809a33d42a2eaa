"""Tests of `endpoint_registry`."""

import pytest
from helpers.configuration import endpoint_event
from helpers.fake_worker import FakeWorker

from function_router.config import ConfigurationError, EndpointList, EndpointRecord
from function_router.decisions.types import WorkerState
from function_router.net import clock
from function_router.net.endpoint_registry import AddressedEndpoint, EndpointRegistry, worker_id_of
from function_router.net.start_times import StartTimes

ADDRESS = ("127.0.0.1", 4000)
HOST_PORT = "127.0.0.1:4000"


class FakePool:
    """A worker pool that records its updates and the address of each worker that is not removed."""

    def __init__(self):
        self.updates = []
        self.kept = None  # the ids in the last complete list
        self.addresses = {}

    def update_endpoint(self, worker_id, address, state, started_at_ms):
        """Record the update."""
        self.updates.append((worker_id, address, state, started_at_ms))
        if state is WorkerState.REMOVED:
            self.addresses.pop(worker_id, None)
        elif address is not None:
            self.addresses[worker_id] = address

    def has_other_address(self, worker_id, address):
        """Return whether the worker is at another address; None stands for any address."""
        return address is not None and self.addresses.get(worker_id, address) != address

    def workers_at(self, address):
        """Return the ids of the workers at an address."""
        return [worker_id for worker_id, at in self.addresses.items() if at == address]

    def remove_all_except(self, worker_ids):
        """Record the ids and remove all other workers."""
        self.kept = worker_ids
        self.addresses = {key: at for key, at in self.addresses.items() if key in worker_ids}


class RegistryHarness:
    """A registry with a fake pool, and the changes that the registry passes on."""

    def __init__(self):
        self.pool = FakePool()
        self.changes = []
        self.log_lines = []
        start_times = StartTimes(clock.Clock())
        self.registry = EndpointRegistry(self.pool, self.changes.append, start_times, self._log)

    def _log(self, text, _source):
        self.log_lines.append(text)

    def apply(self, *records, complete=False):
        """Apply a list, and return the changed workers and their states in order."""
        self.registry.apply(EndpointList(list(records), complete=complete))
        return [(endpoint.worker_id, endpoint.state) for endpoint in self.changes[-1].endpoints]


@pytest.fixture
def registry_harness():
    """A registry without endpoints."""
    return RegistryHarness()


def record(name, phase="in_service", host_port=HOST_PORT, **fields):
    return EndpointRecord(id=name, phase=phase, host_port=host_port, **fields)


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        ("in_service", WorkerState.READY),
        ("terminating", WorkerState.DRAINING),
        ("terminated", WorkerState.REMOVED),
    ],
)
def test_record_is_converted_to_an_endpoint_and_its_address(phase, state):
    fields = {"locality": "east", "flavor": "large", "cell": 3, "size": 2.5, "up_since_ms": 7.0}

    converted = AddressedEndpoint.from_record(record("s-1", phase, **fields))

    endpoint = converted.endpoint
    assert converted.address == ADDRESS
    assert endpoint.worker_id == worker_id_of("s-1")
    assert endpoint.state is state
    assert (endpoint.zone, endpoint.machine_kind, endpoint.cell, endpoint.size) == ("east", "large", 3, 2.5)
    assert endpoint.started_at_ms == 7.0


def test_record_without_address_and_start_time_leaves_both_unset():
    converted = AddressedEndpoint.from_record(record("s-1", host_port=""))

    assert converted.address is None
    assert converted.endpoint.started_at_ms is None


def test_list_with_an_invalid_address_changes_nothing(registry_harness):
    with pytest.raises(ConfigurationError, match="host_port"):
        registry_harness.apply(record("s-1"), record("s-2", host_port="here"), complete=True)

    assert registry_harness.pool.updates == []
    assert registry_harness.pool.kept is None
    assert registry_harness.changes == []


def test_complete_list_removes_the_workers_that_it_leaves_out(registry_harness):
    registry_harness.apply(record("s-1"))

    changed = registry_harness.apply(record("s-2", host_port="127.0.0.1:4001"), complete=True)

    assert registry_harness.pool.kept == {worker_id_of("s-2")}
    assert changed == [(worker_id_of("s-2"), WorkerState.READY)]
    assert registry_harness.changes[-1].is_complete


def test_later_worker_displaces_the_earlier_one_at_its_address(registry_harness):
    old = worker_id_of("s-1")
    new = worker_id_of("s-2")
    registry_harness.apply(record("s-1", up_since_ms=1.0))

    changed = registry_harness.apply(record("s-2", up_since_ms=2.0))

    assert changed == [(old, WorkerState.REMOVED), (new, WorkerState.READY)]
    assert registry_harness.pool.updates[-2:] == [
        (old, None, WorkerState.REMOVED, 0.0),
        (new, ADDRESS, WorkerState.READY, 2.0),
    ]


def test_earlier_worker_at_the_address_of_a_later_one_counts_as_removed(registry_harness):
    registry_harness.apply(record("s-2", up_since_ms=2.0))

    changed = registry_harness.apply(record("s-1", up_since_ms=1.0))

    assert changed == [(worker_id_of("s-1"), WorkerState.REMOVED)]
    assert registry_harness.pool.workers_at(ADDRESS) == [worker_id_of("s-2")]


def test_draining_worker_displaces_no_other_worker(registry_harness):
    registry_harness.apply(record("s-1"))

    changed = registry_harness.apply(record("s-2", "terminating", up_since_ms=2.0))

    assert changed == [(worker_id_of("s-2"), WorkerState.DRAINING)]


def test_new_worker_replaces_the_one_at_its_address_that_is_not_reported_as_removed_yet(start_router):
    old = FakeWorker("s-1")
    old_id = worker_id_of("s-1")
    new_id = worker_id_of("s-2")
    harness = start_router(old)
    workers = harness.router_process.router.fleet.workers.by_id
    watch = harness.router_process.endpoint_watch
    harness.run_until(lambda: old_id in workers, "the old worker is known")
    started_30_s_ago = clock.unix_ms() - 30_000.0
    member = old.record(up_since_ms=started_30_s_ago) | {"id": "s-2", "locality": "east"}

    harness.endpoint_log.send_line(endpoint_event(2, member))
    harness.run_until(lambda: new_id in workers, "the new worker is known")

    for sequence, phase in ((3, "in_service"), (4, "terminated")):  # late events of the old worker
        states = [workers[worker_id].endpoint.state for worker_id in (old_id, new_id)]
        assert states == [WorkerState.REMOVED, WorkerState.READY]
        assert list(harness.pool.workers) == [new_id]
        harness.endpoint_log.send_line(endpoint_event(sequence, old.record(phase)))
        harness.run_until(lambda awaited=sequence: watch.last_sequence == awaited, "the event is applied")
        harness.router_process.loop.run_once(0)
    harness.connect_client().send_request()
    harness.run_until(lambda: old.requests, "the request reaches the worker")
    assert all(attempt.worker_id == new_id for attempt in harness.table.attempts.by_key.values())
    assert workers[new_id].started_ms == pytest.approx(started_30_s_ago, abs=50.0)


@pytest.mark.parametrize("is_later_one_last", [True, False])
def test_complete_list_with_two_at_one_address_keeps_the_one_started_last(
    exit_stack, start_router, is_later_one_last
):
    worker = FakeWorker("s-2")
    exit_stack.callback(worker.close)
    harness = start_router()
    members = [worker.record() | {"id": "s-1"}, worker.record(up_since_ms=9.0)]
    if not is_later_one_last:
        members.reverse()

    harness.endpoint_log.send_line(endpoint_event(2, *members, complete=True))
    harness.run_until(lambda: harness.router_process.router.fleet.workers.ready, "the list is applied")

    ready_ids = [ready.id for ready in harness.router_process.router.fleet.workers.ready]
    assert ready_ids == [worker_id_of("s-2")]
    assert list(harness.pool.workers) == ready_ids


def test_changes_of_state_and_process_are_logged_after_the_first_list(registry_harness):
    worker_id = worker_id_of("s-1")
    registry_harness.apply(record("s-1"), complete=True)
    registry_harness.apply(record("s-1"))

    registry_harness.apply(record("s-1", up_since_ms=2.0))
    registry_harness.apply(record("s-1", "terminating", up_since_ms=2.0))

    assert registry_harness.log_lines == [
        f"worker {worker_id} is READY, started at 2",
        f"worker {worker_id} is DRAINING, started at 2",
    ]


@pytest.mark.parametrize("change", [{"cell": 2}, {"locality": "west"}], ids=["cell", "zone"])
def test_worker_with_another_cell_or_zone_is_another_process(registry_harness, change):
    # Guards against a repeat in the new cell of a request that ran in the old one.
    worker_id = worker_id_of("s-1")
    registry_harness.apply(record("s-1", cell=1), complete=True)
    registry_harness.pool.updates.clear()

    changed = registry_harness.apply(record("s-1", **({"cell": 1} | change)))

    assert changed == [(worker_id, WorkerState.REMOVED), (worker_id, WorkerState.READY)]
    assert [update[2] for update in registry_harness.pool.updates] == [WorkerState.REMOVED, WorkerState.READY]


def test_worker_with_another_address_is_another_process_and_keeps_its_queued_exchanges(registry_harness):
    worker_id = worker_id_of("s-1")
    registry_harness.apply(record("s-1"), complete=True)
    registry_harness.pool.updates.clear()

    changed = registry_harness.apply(record("s-1", host_port="10.1.0.9:4199"))

    assert changed == [(worker_id, WorkerState.REMOVED), (worker_id, WorkerState.READY)]
    assert [update[2] for update in registry_harness.pool.updates] == [WorkerState.READY]


def test_repeated_or_removed_record_is_no_other_process(registry_harness):
    worker_id = worker_id_of("s-1")
    registry_harness.apply(record("s-1", cell=1), complete=True)

    assert registry_harness.apply(record("s-1", cell=1)) == [(worker_id, WorkerState.READY)]
    assert registry_harness.apply(record("s-1", "terminated")) == [(worker_id, WorkerState.REMOVED)]


# --- start times and a wall clock that may be wrong


def age_after_start_event(harness, worker, started_ago_ms):
    """Return the age of a start that a new event reports, on the decision module's clock."""
    up_since_ms = clock.unix_ms() - started_ago_ms
    harness.endpoint_log.send_line(endpoint_event(2, worker.record(up_since_ms=up_since_ms)))
    fleet_worker = harness.router_process.router.fleet.workers.by_id[worker.worker_id]
    harness.run_until(lambda: fleet_worker.started_ms is not None, "the start time is known")
    return harness.router_process.loop.clock.now_ms() - fleet_worker.started_ms


def test_start_in_the_future_counts_from_now(harness, worker):
    assert 0.0 <= age_after_start_event(harness, worker, -3_600_000.0) < 1_000.0


def test_implausibly_old_start_in_a_live_update_counts_from_now(harness, worker):
    assert 0.0 <= age_after_start_event(harness, worker, 3_600_000.0) < 1_000.0


def test_start_some_seconds_ago_counts_from_then(harness, worker):
    assert 4_900.0 <= age_after_start_event(harness, worker, 5_000.0) < 6_000.0
