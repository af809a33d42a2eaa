"""One run: starts all processes, carries out the faults of the plan, ends all, and collects the records."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from soak.commands import ClientsCommand, ProxyCommand
from soak.endpoint_events import Endpoint, EndpointEvent, EndpointPhase
from soak.endpoint_log import EndpointLogServer
from soak.plan import Fault, FaultKind, Plan
from soak.ports import OTHER_PORTS, PortRange
from soak.processes import ModuleProcess, RouterProcessHandle
from soak.router_config import RouterConfig, make_settings
from soak.shim import ShimControl, build

FINISH_S = 8.0
CLOCK_STEPS_S = (5.0, -5.0, 3600.0, -3600.0, 60.0)
LATE_CONNECTIONS_S = 0.3  # after SIGTERM, new connections come for so long
ROUTER_DOWN_S = 0.3
CLIENTS_NOTICE_S = 0.8  # until clients keep away from a router that was killed
SETTLE_S = 0.2  # for pipes and tasks to end
BURST_FACTOR = 2.5
BAD_CLIENTS_PER_S = 20.0

RouterFault = Callable[[RouterProcessHandle, Fault], Awaitable[None]]
WorkerFault = Callable[[int, Fault], Awaitable[None]]


@dataclass
class WorkerIncarnation:
    """One process of a worker slot; times are monotonic seconds."""

    worker: int
    name: str
    started_at: float
    is_cold: bool
    ready_notified_at: dict[int, float] = field(default_factory=dict)  # by router: as READY, at the latest
    drain_notified_at: dict[int, float] = field(default_factory=dict)  # by router: as draining or removed
    process: ModuleProcess | None = None
    port: int = 0
    up_since_ms: float = 0.0


@dataclass
class RunRecord:
    """What the run itself knows, for the judge."""

    plan: Plan
    routers: list[RouterProcessHandle]
    worker_incarnations: list[WorkerIncarnation]
    folder: Path


class Run:
    """The processes of one run, and the faults that hit them."""

    def __init__(self, plan: Plan, folder: Path, *, uses_shim: bool) -> None:
        self._plan = plan
        self._folder = folder
        self._rng = random.Random(plan.seed + 1)
        self._shim = build(folder) if uses_shim else None
        self._ports = PortRange(OTHER_PORTS)
        self._events: list[EndpointEvent] = []
        self._logs = [
            EndpointLogServer(self._events, partial(self._to_wire, router=number), self._ports)
            for number in range(plan.router_count)
        ]
        self._routers: list[RouterProcessHandle] = []
        self._workers: list[WorkerIncarnation] = []  # the present incarnation of each slot
        self._worker_incarnations: list[WorkerIncarnation] = []
        self._proxy_ports: list[list[int]] = []
        self._clients_command = ClientsCommand([0] * plan.router_count, 0.0)
        self._proxy: ModuleProcess
        self._clients: ModuleProcess
        self._faulted_workers: set[int] = set()
        self._faulted_routers: set[int] = set()

    async def play(self) -> RunRecord:
        """Play the plan from start to end."""
        try:
            await self._start()
            await self._play_faults()
            await self._end()
        finally:
            await self._kill_all()
        return RunRecord(self._plan, self._routers, self._worker_incarnations, self._folder)

    # --- start and end ----------------------------------------------------------------------------

    async def _start(self) -> None:
        plan = self._plan
        counts = (str(plan.router_count), str(plan.worker_count))
        self._proxy = await ModuleProcess.start("soak.proxy", *counts, str(self._folder / "proxy.jsonl"))
        self._proxy_ports = msgspec.json.decode(await self._proxy.read_line())
        self._workers = [
            await self._start_worker(slot, f"s-{slot}", is_cold=False) for slot in range(plan.worker_count)
        ]
        self._add_event(
            [self._endpoint(incarnation, EndpointPhase.READY) for incarnation in self._workers],
            is_complete=True,
        )
        for log in self._logs:
            await log.start()
        self._routers = [self._make_router(number) for number in range(plan.router_count)]
        await asyncio.gather(*(self._start_router(router) for router in self._routers))
        self._clients = await ModuleProcess.start(
            "soak.clients", str(plan.function_count), str(plan.seed), str(self._folder / "clients.jsonl")
        )
        ports = [router.port if router.incarnation.ready_at else 0 for router in self._routers]
        await self._command_clients(ports=ports, requests_per_s=plan.requests_per_s)

    def _make_router(self, number: int) -> RouterProcessHandle:
        port = self._ports.take()
        seed = f"{self._rng.getrandbits(64):016x}"
        settings = make_settings(self._plan.router_count, self._plan.worker_count)
        config = RouterConfig(f"n{number}", port, seed, settings)
        return RouterProcessHandle(number, self._folder, port, config, self._shim)

    async def _start_router(self, router: RouterProcessHandle) -> None:
        number = router.router
        events = [self._to_wire(event, router=number) for event in self._events]
        router.config.endpoint_log_port = self._logs[number].port
        router.config.known_sequence = self._events[-1].sequence
        router.config.known_events = events
        if self._shim:  # whatever fails for a moment at the start must not end it
            router.control.socket_failures = router.control.open_failures = 0.3
        starting = asyncio.create_task(router.start())
        await asyncio.sleep(1.0)
        router.control.socket_failures = router.control.open_failures = 0.0
        router.write_control()
        await starting

    async def _end(self) -> None:
        await self._command_clients(requests_per_s=0.0, bad_clients_per_s=0.0)
        await self._clients.finish(FINISH_S)
        for router in self._routers:
            router.note_unplanned_exit()
        await asyncio.gather(
            *(router.terminate() for router in self._routers if router.incarnation.exited_at is None)
        )
        await self._proxy.finish(FINISH_S)

    async def _kill_all(self) -> None:
        """End all processes of this run, and wait until they have ended."""
        children: list[asyncio.subprocess.Process] = []
        for router in self._routers:
            router.reads_log = True
            router.signal(signal.SIGKILL)
            children += [router.process] if router.process else []
        for incarnation in self._worker_incarnations:
            if incarnation.process:
                incarnation.process.kill()
                children.append(incarnation.process.process)
        for name in ("_proxy", "_clients"):
            if process := getattr(self, name, None):
                process.kill()
                children.append(process.process)
        await asyncio.gather(*(child.wait() for child in children))
        for log in self._logs:
            await log.close()
        await asyncio.sleep(SETTLE_S)

    # --- workers and their events -------------------------------------------------------------------

    async def _start_worker(self, slot: int, name: str, *, is_cold: bool) -> WorkerIncarnation:
        process = await ModuleProcess.start("soak.worker")
        port = int(await process.read_line())
        now = time.monotonic()
        incarnation = WorkerIncarnation(slot, name, now, is_cold, process=process, port=port)
        incarnation.up_since_ms = time.time() * 1000 if is_cold else 0.0
        self._worker_incarnations.append(incarnation)
        await self._proxy.command(ProxyCommand(slot, port))
        return incarnation

    @staticmethod
    def _endpoint(incarnation: WorkerIncarnation, phase: EndpointPhase) -> Endpoint:
        return Endpoint(incarnation.name, incarnation.worker, phase, incarnation.up_since_ms)

    def _to_wire(self, event: EndpointEvent, *, router: int) -> dict[str, Any]:
        """The event as one router gets it: with the addresses that are its own."""
        return event.to_wire(self._proxy_ports[router])

    def _add_event(self, endpoints: list[Endpoint], *, is_complete: bool = False) -> None:
        sequence = len(self._events) + 1
        self._events.append(EndpointEvent(sequence, tuple(endpoints), is_complete=is_complete))

    async def _publish(self, endpoints: list[Endpoint]) -> dict[int, float]:
        """Publish an event; by router, from when on it counts as notified."""
        self._add_event(endpoints)
        now = time.monotonic()
        for log in self._logs:
            await log.publish()
        return {number: max(now, log.impaired_until) for number, log in enumerate(self._logs)}

    # --- clients ------------------------------------------------------------------------------------

    async def _command_clients(self, **changes: float | list[int]) -> None:
        """Change some fields of the command that the clients follow."""
        self._clients_command = msgspec.structs.replace(self._clients_command, **changes)
        await self._clients.command(self._clients_command)

    async def _set_port(self, router: int, port: int) -> None:
        ports = list(self._clients_command.ports)
        ports[router] = port
        await self._command_clients(ports=ports)

    # --- faults -----------------------------------------------------------------------------------

    async def _play_faults(self) -> None:
        started = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        for fault in self._plan.faults:
            await asyncio.sleep(max(0.0, started + fault.start_s - time.monotonic()))
            tasks.append(asyncio.create_task(self._play(fault)))
        await asyncio.sleep(max(0.0, started + self._plan.duration_s - time.monotonic()))
        await asyncio.gather(*tasks)

    async def _play(self, fault: Fault) -> None:
        """Play a fault, but not on routers and workers that have one which excludes it."""
        if fault.kind in self._router_faults():
            await self._with_routers(fault)
        elif fault.kind in self._worker_faults():
            await self._with_workers(fault)
        elif fault.kind is FaultKind.BURST:
            await self._burst(fault)
        elif fault.kind is FaultKind.BAD_CLIENTS:
            await self._bad_clients(fault)
        else:
            play = self._shared_faults()[fault.kind]
            await asyncio.gather(*(play(self._routers[number], fault) for number in fault.routers))

    def _router_faults(self) -> dict[FaultKind, RouterFault]:
        """Those that exclude each other on a router."""
        return {
            FaultKind.ROUTER_ROLL: self._roll_router,
            FaultKind.ROUTER_KILL: self._kill_router,
            FaultKind.ROUTER_PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
            FaultKind.LOG_READER_STALLS: self._stall_log,
            FaultKind.ENDPOINT_LOG_BREAKS: self._break_log,
        }

    def _shared_faults(self) -> dict[FaultKind, RouterFault]:
        """Those that may come on top of any other one of a router."""
        return {
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.CALLS_FAIL: self._fail_calls,
            FaultKind.ENDPOINT_LOG_SILENT: self._silence_log,
        }

    def _worker_faults(self) -> dict[FaultKind, WorkerFault]:
        """Those that exclude each other on a worker."""
        return {
            FaultKind.WORKER_RESTART: self._restart_worker,
            FaultKind.WORKER_REPLACE: self._replace_worker,
            FaultKind.WORKER_HANG: self._hang_worker,
            FaultKind.CONNECTIONS_RESET: self._reset_connections,
            FaultKind.ANSWERS_SPOILED: self._corrupt_answers,
            FaultKind.WORKER_REFUSES: self._refuse_connections,
        }

    async def _with_routers(self, fault: Fault) -> None:
        routers = [number for number in fault.routers if number not in self._faulted_routers]
        self._faulted_routers.update(routers)
        play = self._router_faults()[fault.kind]
        await asyncio.gather(*(play(self._routers[number], fault) for number in routers))
        self._faulted_routers.difference_update(routers)

    async def _with_workers(self, fault: Fault) -> None:
        workers = [slot for slot in fault.workers if slot not in self._faulted_workers]
        self._faulted_workers.update(workers)
        play = self._worker_faults()[fault.kind]
        await asyncio.gather(*(play(slot, fault) for slot in workers))
        self._faulted_workers.difference_update(workers)

    async def _burst(self, fault: Fault) -> None:
        rate = self._plan.requests_per_s
        await self._command_clients(requests_per_s=rate * BURST_FACTOR)
        await asyncio.sleep(fault.duration_s)
        await self._command_clients(requests_per_s=rate)

    async def _bad_clients(self, fault: Fault) -> None:
        await self._command_clients(bad_clients_per_s=BAD_CLIENTS_PER_S)
        await asyncio.sleep(fault.duration_s)
        await self._command_clients(bad_clients_per_s=0.0)

    async def _roll_router(self, router: RouterProcessHandle, _fault: Fault) -> None:
        """SIGTERM; clients go on coming for a while; then a start from nothing."""
        ending = asyncio.create_task(router.terminate())
        await asyncio.sleep(LATE_CONNECTIONS_S)
        await self._set_port(router.router, 0)
        await ending
        await self._start_again(router)

    async def _kill_router(self, router: RouterProcessHandle, _fault: Fault) -> None:
        """SIGKILL; clients notice later."""
        killing = asyncio.create_task(router.kill())
        await asyncio.sleep(CLIENTS_NOTICE_S)
        await self._set_port(router.router, 0)
        await killing
        await self._start_again(router)

    async def _start_again(self, router: RouterProcessHandle) -> None:
        await asyncio.sleep(ROUTER_DOWN_S)
        await self._start_router(router)
        if router.incarnation.ready_at:
            await self._set_port(router.router, router.port)

    async def _pause(self, router: RouterProcessHandle, fault: Fault) -> None:
        end = time.monotonic() + fault.duration_s
        while time.monotonic() < end:
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(0.1 + 0.15 * fault.intensity)
            router.signal(signal.SIGCONT)
            await asyncio.sleep(0.4)

    async def _reload(self, router: RouterProcessHandle, _fault: Fault) -> None:
        log = self._logs[router.router]
        await log.move()
        router.config.endpoint_log_port = log.port
        router.write_config()
        router.signal(signal.SIGHUP)

    async def _stall_log(self, router: RouterProcessHandle, fault: Fault) -> None:
        router.reads_log = False
        await asyncio.sleep(fault.duration_s)
        router.reads_log = True

    async def _break_log(self, router: RouterProcessHandle, fault: Fault) -> None:
        await self._logs[router.router].be_broken(fault.duration_s)

    async def _silence_log(self, router: RouterProcessHandle, fault: Fault) -> None:
        await self._logs[router.router].be_silent(fault.duration_s)

    async def _step_clock(self, router: RouterProcessHandle, fault: Fault) -> None:
        control = router.control
        step_s = CLOCK_STEPS_S[int(fault.intensity * len(CLOCK_STEPS_S))]
        control.offset_before_s = control.offset_after_s
        control.step_at_unix_s = time.time()
        control.offset_after_s += step_s
        router.write_control()

    async def _fail_calls(self, router: RouterProcessHandle, fault: Fault) -> None:
        control = router.control
        for name, share in CALL_FAILURES.items():
            setattr(control, name, share * fault.intensity)
        router.write_control()
        await asyncio.sleep(fault.duration_s)
        for name in CALL_FAILURES:
            setattr(control, name, 0.0)
        router.write_control()

    async def _restart_worker(self, slot: int, _fault: Fault) -> None:
        """Kill a worker and start it again under its name; the list says so a moment later."""
        old = self._workers[slot]
        assert old.process
        old.process.kill()
        await self._proxy.command(ProxyCommand(slot, None))
        await asyncio.sleep(self._rng.uniform(0.1, 0.8))
        incarnation = await self._start_worker(slot, old.name, is_cold=True)
        self._workers[slot] = incarnation
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        ready = self._endpoint(incarnation, EndpointPhase.READY)
        incarnation.ready_notified_at = await self._publish([ready])

    async def _replace_worker(self, slot: int, _fault: Fault) -> None:
        """Drain a worker, then put another one, under another name, at its address."""
        old = self._workers[slot]
        assert old.process
        old.drain_notified_at = await self._publish([self._endpoint(old, EndpointPhase.DRAINING)])
        await asyncio.sleep(1.5)
        old.process.kill()
        await self._proxy.command(ProxyCommand(slot, None))
        await self._publish([self._endpoint(old, EndpointPhase.REMOVED)])
        incarnation = await self._start_worker(slot, f"{old.name}x", is_cold=True)
        self._workers[slot] = incarnation
        ready = self._endpoint(incarnation, EndpointPhase.READY)
        incarnation.ready_notified_at = await self._publish([ready])

    async def _hang_worker(self, slot: int, fault: Fault) -> None:
        incarnation = self._workers[slot]
        assert incarnation.process
        incarnation.process.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        with contextlib.suppress(ProcessLookupError):
            incarnation.process.process.send_signal(signal.SIGCONT)

    async def _reset_connections(self, slot: int, _fault: Fault) -> None:
        for _ in range(3):
            await self._proxy.command(ProxyCommand(slot, self._workers[slot].port, reset_connections=True))
            await asyncio.sleep(0.3)

    async def _corrupt_answers(self, slot: int, fault: Fault) -> None:
        port = self._workers[slot].port
        await self._proxy.command(ProxyCommand(slot, port, corrupted_share=0.05 + 0.1 * fault.intensity))
        await asyncio.sleep(fault.duration_s)
        await self._proxy.command(ProxyCommand(slot, port))

    async def _refuse_connections(self, slot: int, fault: Fault) -> None:
        await self._proxy.command(ProxyCommand(slot, None))
        await asyncio.sleep(fault.duration_s)
        await self._proxy.command(ProxyCommand(slot, self._workers[slot].port))


CALL_FAILURES = {
    "accept_failures": 0.3,
    "socket_failures": 0.4,
    "connect_failures": 0.4,
    "interrupted_calls": 0.2,
    "short_transfers": 0.4,
    "buffer_failures": 0.05,
    "broken_connections": 0.01,
    "register_failures": 0.1,
    "open_failures": 0.5,
}
"""The shares of calls that fail at the largest size of the fault; fields of `ShimControl`."""
assert set(CALL_FAILURES) <= set(ShimControl.__dataclass_fields__)
