"""The processes and servers of a run: proxy, workers, endpoint logs, routers and clients."""

import asyncio
import contextlib
import random
from pathlib import Path
from types import TracebackType

import msgspec

from soak.drain_lags import DrainLags
from soak.endpoint_events import EndpointPhase
from soak.endpoint_feed import EndpointFeed
from soak.module_process import ModuleProcess
from soak.plan import Plan
from soak.ports import OTHER_PORTS, PortAllocator
from soak.router_config import RouterConfig, make_settings
from soak.router_slot import RouterSlot
from soak.run_folder import RunFolder
from soak.run_record import EndpointLogOutage, RouterIncarnation, WorkerIncarnation
from soak.traffic import Traffic
from soak.worker_slot import WorkerSlot

FINISH_TIMEOUT_S = 8.0  # for the clients, and then for the proxy, to exit
CLEANUP_DELAY_S = 0.2  # for pipes and tasks to close
START_FAILURE_SHARE = 0.3  # share of the calls of socket and open that fail while a router starts
START_FAILURE_DURATION_S = 1.0  # from the start of a router


class Cluster:
    """An async context manager that starts all processes on entry, and ends them on exit.

    Attributes:
        plan: The plan of the run, with the size of the cluster.
        rng: The random generator for seeds and delays that aren't part of the plan.
        drain_lags_rng: The random generator for the lags of drains.
        drain_lags: How long after their publication drains are known in this run.
        routers: The routers; the index is the router's number.
        workers: The worker slots; the index is the slot's number.
        endpoints: The endpoint events, and the endpoint log of each router.
        traffic: The control of the clients.
        endpoint_log_outages: The outages of all endpoint logs that have ended.
    """

    endpoints: EndpointFeed
    traffic: Traffic

    def __init__(self, plan: Plan, folder: RunFolder, shim: Path | None) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed + 1)
        self.drain_lags_rng = random.Random(f"drain lags of {plan.seed}")
        self.drain_lags = DrainLags.draw(self.drain_lags_rng)
        self.routers: list[RouterSlot] = []
        self.workers: list[WorkerSlot] = []
        self.endpoint_log_outages: list[EndpointLogOutage] = []
        self._folder = folder
        self._shim = shim
        self._flood_count = 0
        self._ports = PortAllocator(OTHER_PORTS)
        self._proxy: ModuleProcess
        self._clients: ModuleProcess
        self._resources = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Cluster":
        async with self._resources:  # stops what has started if the rest can't start
            self._resources.callback(self._ports.close)
            self._resources.push_async_callback(asyncio.sleep, CLEANUP_DELAY_S)
            proxy_ports = await self._start_proxy()
            await self._start_workers()
            await self._start_endpoint_logs(proxy_ports)
            await self._start_routers()
            await self._start_clients()
            self._resources = self._resources.pop_all()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        await self._resources.aclose()

    @property
    def router_incarnations(self) -> list[RouterIncarnation]:
        """The incarnations of all routers, ordered by router and then by start time."""
        return [incarnation for router in self.routers for incarnation in router.incarnations]

    @property
    def worker_incarnations(self) -> list[WorkerIncarnation]:
        """The incarnations of all worker slots, ordered by start time."""
        incarnations = [incarnation for slot in self.workers for incarnation in slot.incarnations]
        return sorted(incarnations, key=lambda incarnation: incarnation.started_at)

    async def start_router(self, router: RouterSlot) -> None:
        """Start an incarnation of a router, configured with the current endpoint list.

        With a shim, some system calls fail during the first second, as a transient failure must not end a
        router that starts.
        """
        router.config.endpoint_log_port = self.endpoints.servers[router.number].port
        router.config.known_sequence = self.endpoints.last_sequence
        router.config.known_events = self.endpoints.events_for(router.number)
        if self._shim:
            router.shim_control.socket_failures = START_FAILURE_SHARE
            router.shim_control.open_failures = START_FAILURE_SHARE
        starting = asyncio.create_task(router.start())
        await asyncio.sleep(START_FAILURE_DURATION_S)
        router.shim_control.socket_failures = 0.0
        router.shim_control.open_failures = 0.0
        router.write_shim_control()
        await starting

    async def run_flood(self, kind: str, router: RouterSlot, client_count: int, seconds: float) -> None:
        """Run a flood of clients at a router, and wait for its end."""
        self._flood_count += 1
        flood = await ModuleProcess.start(
            "soak.floods",
            kind,
            str(router.number),
            str(router.config.port),
            str(client_count),
            str(seconds),
            str(self.plan.seed + self._flood_count),
            str(self._folder.flood_record(self._flood_count)),
        )
        await flood.finish(seconds + FINISH_TIMEOUT_S)

    async def finish(self) -> None:
        """Stop the traffic, terminate the routers as a deployment would, and complete all records."""
        await self.traffic.stop()
        await self._clients.finish(FINISH_TIMEOUT_S)
        for router in self.routers:
            router.record_unplanned_exit()
        running = [router for router in self.routers if router.incarnation.exited_at is None]
        await asyncio.gather(*(router.terminate() for router in running))
        await self._proxy.finish(FINISH_TIMEOUT_S)

    async def _start_proxy(self) -> list[list[int]]:
        """Start the proxy; return its ports by router and worker slot."""
        counts = (str(self.plan.router_count), str(self.plan.worker_count))
        self._proxy = await ModuleProcess.start("soak.proxy", *counts, str(self._folder.proxy_records))
        self._resources.push_async_callback(self._proxy.clean_up)
        return msgspec.json.decode(await self._proxy.read_line(), type=list[list[int]])

    async def _start_workers(self) -> None:
        for number in range(self.plan.worker_count):
            slot = WorkerSlot(number, self._proxy)
            self.workers.append(slot)
            self._resources.push_async_callback(slot.clean_up)
            await slot.start(f"s-{number}", is_in_slow_start=False)

    async def _start_endpoint_logs(self, proxy_ports: list[list[int]]) -> None:
        self.endpoints = EndpointFeed(proxy_ports, self._ports, self.drain_lags.log_s)
        self._resources.push_async_callback(self.endpoints.close)
        await self.endpoints.start([slot.endpoint(EndpointPhase.READY) for slot in self.workers])

    async def _start_routers(self) -> None:
        settings = make_settings(self.plan.router_count, self.plan.worker_count)
        for number in range(self.plan.router_count):
            port = self._ports.allocate()
            seed = f"{self.rng.getrandbits(64):016x}"
            plan = self.plan
            config = RouterConfig(f"n{number}", port, seed, settings, plan.memory_mb, plan.max_sockets)
            router = RouterSlot(number, self._folder, config, self._shim)
            self.routers.append(router)
            self._resources.push_async_callback(router.clean_up)
        await asyncio.gather(*(self.start_router(router) for router in self.routers))

    async def _start_clients(self) -> None:
        plan = self.plan
        counts = (str(plan.function_count), str(plan.seed), str(plan.connections_per_router))
        self._clients = await ModuleProcess.start("soak.clients", *counts, str(self._folder.client_records))
        self._resources.push_async_callback(self._clients.clean_up)
        self.traffic = Traffic(self._clients, self.plan.router_count)
        ports = [router.config.port if router.incarnation.ready_at else 0 for router in self.routers]
        await self.traffic.start(ports, self.plan.requests_per_s)
