"""Injects faults into a cluster, with at most one exclusive fault on a target at a time."""

import asyncio
import contextlib
from collections.abc import Iterator

from soak.cluster import Cluster
from soak.faults import FAULTS, ClientFault, EndpointLogFault, RouterFault, WorkerFault
from soak.plan import Fault


class FaultInjector:
    """Tracks the targets of exclusive faults, and injects no other exclusive fault into them."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._busy_routers: set[int] = set()
        self._busy_workers: set[int] = set()
        self._is_endpoint_log_outage_active = False

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, and wait until it is over; an exclusive fault skips reserved targets."""
        match FAULTS[fault.kind]:
            case RouterFault(is_exclusive=True) as router_fault:
                with _reserve(fault.routers, self._busy_routers) as routers:
                    await self._inject_into_routers(router_fault, fault, routers)
            case RouterFault() as router_fault:
                await self._inject_into_routers(router_fault, fault, fault.routers)
            case WorkerFault() as worker_fault:
                with _reserve(fault.workers, self._busy_workers) as workers:
                    slots = [self._cluster.workers[number] for number in workers]
                    await asyncio.gather(*(worker_fault.inject(self._cluster, slot, fault) for slot in slots))
            case EndpointLogFault() as endpoint_log_fault:
                await self._inject_into_endpoint_logs(endpoint_log_fault, fault)
            case ClientFault() as client_fault:
                await client_fault.inject(self._cluster, fault)

    async def _inject_into_endpoint_logs(self, endpoint_log_fault: EndpointLogFault, fault: Fault) -> None:
        """Inject a fault of endpoint logs; one of all logs is skipped while another one is active."""
        if not endpoint_log_fault.is_of_all_logs:
            await self._inject_with_reservations(endpoint_log_fault, fault)
        elif not self._is_endpoint_log_outage_active:
            self._is_endpoint_log_outage_active = True
            await self._inject_with_reservations(endpoint_log_fault, fault)
            self._is_endpoint_log_outage_active = False

    async def _inject_with_reservations(self, endpoint_log_fault: EndpointLogFault, fault: Fault) -> None:
        """Inject a fault of endpoint logs; reserve the workers and the routers."""
        with (
            _reserve(fault.workers, self._busy_workers) as workers,
            _reserve(fault.routers, self._busy_routers) as routers,
        ):
            await endpoint_log_fault.inject(
                self._cluster,
                [self._cluster.workers[number] for number in workers],
                [self._cluster.routers[number] for number in routers],
                fault,
            )

    async def _inject_into_routers(self, router_fault: RouterFault, fault: Fault, numbers: list[int]) -> None:
        routers = [self._cluster.routers[number] for number in numbers]
        await asyncio.gather(*(router_fault.inject(self._cluster, router, fault) for router in routers))


@contextlib.contextmanager
def _reserve(targets: list[int], busy: set[int]) -> Iterator[list[int]]:
    """Reserve the targets that are not busy, and yield them; release them at the end of the block."""
    free = [target for target in targets if target not in busy]
    busy.update(free)
    try:
        yield free
    finally:
        busy.difference_update(free)
