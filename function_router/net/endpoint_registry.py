"""The registry of the endpoints that the router has received, with ids, addresses and states of workers."""

from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace

from function_router.config import Address, EndpointList, EndpointRecord, parse_address
from function_router.decisions.events import Endpoint, EndpointsChanged
from function_router.decisions.types import WorkerState
from function_router.hashing import hash_name
from function_router.net.start_times import StartTimes
from function_router.net.worker_pool import WorkerPool

# Size of a worker id, which is sufficient for the ids in one list to differ.
WORKER_ID_BYTES = 4
# Source of the log lines about endpoints. The log limits the rate of its lines per source.
LOG_SOURCE = "endpoints"
# Key of the address in an endpoint record, for error messages.
ADDRESS_FIELD = "host_port"

_STATES_BY_PHASE = {
    "in_service": WorkerState.READY,
    "terminating": WorkerState.DRAINING,
    "terminated": WorkerState.REMOVED,
}


def worker_id_of(name: str) -> int:
    """Return the id of the worker with this name; rendezvous hashing needs the same id in all routers."""
    return hash_name(name, WORKER_ID_BYTES)


class AddressedEndpoint(Struct, frozen=True):
    """An endpoint of the list with its address, which only the network code needs.

    The start time of the endpoint is in Unix time. The decision module gets a copy with the time on its own
    clock.
    """

    endpoint: Endpoint
    address: Address | None  # None if the record has no address; an earlier address then stays valid

    @classmethod
    def from_record(cls, record: EndpointRecord) -> "AddressedEndpoint":
        """Convert a record of the endpoint list.

        Raises:
            ConfigurationError: The record's address is not a numeric address with a port.
        """
        address = parse_address(record.host_port, ADDRESS_FIELD) if record.host_port else None
        endpoint = Endpoint(
            worker_id=worker_id_of(record.id),
            state=_STATES_BY_PHASE[record.phase],
            machine_kind=record.flavor,
            zone=record.locality,
            cell=record.cell,
            size=record.size,
            started_at_ms=record.up_since_ms or None,
        )
        return cls(endpoint, address)


def _started_at_ms(endpoint: Endpoint) -> float:
    return endpoint.started_at_ms or 0.0


class EndpointRegistry:
    """Keeps the endpoint list, and passes its changes on to the worker pool and the decision module."""

    def __init__(
        self,
        pool: WorkerPool,
        on_changed: Callable[[EndpointsChanged], None],
        start_times: StartTimes,
        log: Callable[[str, str], None],
    ) -> None:
        """Create a registry with an empty list.

        Args:
            pool: The worker pool, which is updated directly.
            on_changed: Called with the changes for the decision module.
            start_times: Converts start times to the clock of the decision module.
            log: Called with the text of a log line and its source.
        """
        self._pool = pool
        self._on_changed = on_changed
        self._start_times = start_times
        self._log = log
        self._has_received_list = False  # the first list is not logged
        self._endpoints: dict[int, Endpoint] = {}  # by worker id, without removed workers

    def apply(self, endpoint_list: EndpointList) -> None:
        """Apply a complete list or a list of changed endpoints.

        Raises:
            ConfigurationError: The list has an invalid address; no part of the list is applied.
        """
        received = [AddressedEndpoint.from_record(record) for record in endpoint_list.members]
        if endpoint_list.complete:
            self._remove_all_except({item.endpoint.worker_id for item in received})
        changed: list[Endpoint] = []
        for item in received:
            changed += self._update(item)
        self._endpoints = {
            worker_id: endpoint
            for worker_id, endpoint in self._endpoints.items()
            if endpoint.state is not WorkerState.REMOVED
        }
        is_live_update = self._has_received_list and not endpoint_list.complete
        self._has_received_list = True
        converted = [
            self._convert_start_time(endpoint, is_live_update=is_live_update) for endpoint in changed
        ]
        self._on_changed(EndpointsChanged(converted, endpoint_list.complete))

    def _convert_start_time(self, endpoint: Endpoint, *, is_live_update: bool) -> Endpoint:
        """Return a copy of the endpoint with its start time on the clock of the decision module."""
        worker_id = endpoint.worker_id
        started_at_ms = self._start_times.convert(
            worker_id, endpoint.started_at_ms, is_live_update=is_live_update
        )
        if endpoint.state is WorkerState.REMOVED:
            self._start_times.remove_worker(worker_id)
        return replace(endpoint, started_at_ms=started_at_ms)

    def _remove_all_except(self, worker_ids: set[int]) -> None:
        self._pool.remove_all_except(worker_ids)
        self._endpoints = {
            worker_id: endpoint for worker_id, endpoint in self._endpoints.items() if worker_id in worker_ids
        }

    def _update(self, item: AddressedEndpoint) -> list[Endpoint]:
        """Store an endpoint, and return the changed endpoints; removed ones come first.

        Of several workers at one address, only the worker that started last still runs; the list may report
        the removal of the others later. Requests for an earlier process must not reach the new one, which has
        no warm instances.

        A worker with another address, zone or cell is another process, so the earlier record is removed.
        """
        endpoint = item.endpoint
        moved = self._remove_if_moved(item)
        displaced = self._others_at_address(item)
        if any(_started_at_ms(other) > _started_at_ms(endpoint) for other in displaced):
            endpoint = replace(endpoint, state=WorkerState.REMOVED)
            displaced = []
        removed = [replace(other, state=WorkerState.REMOVED) for other in displaced]
        for other in removed:
            self._pool.update_endpoint(other.worker_id, None, other.state, 0.0)
        started_at_ms = _started_at_ms(endpoint)
        self._pool.update_endpoint(endpoint.worker_id, item.address, endpoint.state, started_at_ms)
        for changed in [*removed, endpoint]:
            self._store(changed)
        return [*moved, *removed, endpoint]

    def _remove_if_moved(self, item: AddressedEndpoint) -> list[Endpoint]:
        """Return the earlier record of a worker as removed if it had another address, zone or cell.

        After a change of its zone or cell alone, the connections to it are no longer used. After a change of
        its address, the pool replaces them by itself.
        """
        endpoint = item.endpoint
        previous = self._endpoints.get(endpoint.worker_id)
        if previous is None or endpoint.state is WorkerState.REMOVED:
            return []
        has_other_place = (previous.zone, previous.cell) != (endpoint.zone, endpoint.cell)
        if has_other_place:
            self._pool.update_endpoint(endpoint.worker_id, None, WorkerState.REMOVED, 0.0)
        elif not self._pool.has_other_address(endpoint.worker_id, item.address):
            return []
        return [replace(previous, state=WorkerState.REMOVED)]

    def _store(self, endpoint: Endpoint) -> None:
        """Store an endpoint, and log a change of its state or its process."""
        previous = self._endpoints.get(endpoint.worker_id)
        self._endpoints[endpoint.worker_id] = endpoint
        is_unchanged = (
            previous is not None
            and previous.state is endpoint.state
            and previous.started_at_ms == endpoint.started_at_ms
        )
        if self._has_received_list and not is_unchanged:
            started = f", started at {endpoint.started_at_ms:.0f}" if endpoint.started_at_ms else ""
            self._log(f"worker {endpoint.worker_id} is {endpoint.state.name}{started}", LOG_SOURCE)

    def _others_at_address(self, item: AddressedEndpoint) -> list[Endpoint]:
        """Return the other workers at the endpoint's address; none if the endpoint is not ready."""
        if item.endpoint.state is not WorkerState.READY or item.address is None:
            return []
        return [
            self._endpoints[worker_id]
            for worker_id in self._pool.workers_at(item.address)
            if worker_id != item.endpoint.worker_id and worker_id in self._endpoints
        ]
