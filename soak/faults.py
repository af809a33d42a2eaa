"""The faults: a function for each kind, and a registry of their targets and mutual exclusion.

Each function injects its fault, and returns when the fault is over. Most faults last for their planned
duration. Restarts and kills of processes, replacements of workers, reloads, series of signals, resets, loads
and clock steps ignore that duration, and a clock step is never undone. An outage of all endpoint logs lasts
for a multiple of it, or for the plan's `log_outage_s`; late lines of all logs last for a multiple of it.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from soak.cluster import Cluster
from soak.log_outage import (
    inject_endpoint_log_jump,
    inject_endpoint_log_outage,
    inject_late_endpoint_logs,
)
from soak.plan import FLOOD_KINDS, Fault, FaultKind
from soak.router_changes import kill_and_restart, terminate_and_restart
from soak.router_slot import RouterSlot
from soak.worker_changes import drain_and_replace, publish_ready
from soak.worker_slot import WorkerSlot

BURST_FACTOR = 2.5  # factor on the plan's request rate
BAD_CLIENTS_PER_S = 20.0
MIN_BULK_CLIENTS = 20  # clients that withdraw in bulk at one router
MAX_EXTRA_BULK_CLIENTS = 20  # added to MIN_BULK_CLIENTS at full intensity
# Clients of a flood at full intensity, as a share of the descriptors; other floods have a single client.
FLOOD_CLIENT_SHARES = {
    FaultKind.LARGE_REQUESTS: 0.15,
    FaultKind.HALF_REQUESTS: 0.15,
    FaultKind.RECONNECTS: 0.01,
    FaultKind.REPEATED_IDS: 0.02,
}
SIGHUP_COUNT = 4
MAX_SIGNAL_INTERVAL_S = 0.2
MAX_INTENSITY_WITHOUT_ROLL = 0.5  # above this, a series of signals includes a rolling restart
MIN_PAUSE_S = 0.1
MAX_EXTRA_PAUSE_S = 0.15  # added to MIN_PAUSE_S at full intensity
PAUSE_INTERVAL_S = 0.4  # from the end of a pause to the next one
CLOCK_STEPS_S = (5.0, -5.0, 3600.0, -3600.0, 60.0)  # the intensity selects one
MIN_WORKER_DOWNTIME_S = 0.1  # from the kill of a worker to the start of its next process
MAX_WORKER_DOWNTIME_S = 0.8
MAX_PUBLISH_DELAY_S = 0.5  # from a worker's start to its endpoint event
DRAIN_DURATION_S = 1.5  # from the start of a worker's drain to its kill
RESET_COUNT = 3
RESET_INTERVAL_S = 0.3
MIN_CORRUPTED_SHARE = 0.05
MAX_EXTRA_CORRUPTED_SHARE = 0.1  # added to MIN_CORRUPTED_SHARE at full intensity

CALL_FAILURES: Final = {
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
"""The share of calls that fail at full intensity, by field of `ShimControl`."""

# --- router faults


async def roll_router(cluster: Cluster, router: RouterSlot, _fault: Fault) -> None:
    """Restart a router with SIGTERM."""
    await terminate_and_restart(cluster, router)


async def kill_router(cluster: Cluster, router: RouterSlot, _fault: Fault) -> None:
    """Kill a router, and start a new process."""
    await kill_and_restart(cluster, router)


async def pause_router(_cluster: Cluster, router: RouterSlot, fault: Fault) -> None:
    """Suspend the process repeatedly for a short time, as an overloaded machine would."""
    end = time.monotonic() + fault.duration_s
    while time.monotonic() < end:
        router.pause()
        await asyncio.sleep(MIN_PAUSE_S + MAX_EXTRA_PAUSE_S * fault.intensity)
        router.resume()
        await asyncio.sleep(PAUSE_INTERVAL_S)


async def reload_router(cluster: Cluster, router: RouterSlot, _fault: Fault) -> None:
    """Move the endpoint log to another port, and make the router reload its configuration."""
    server = cluster.endpoints.servers[router.number]
    await server.move()
    router.config.endpoint_log_port = server.port
    router.reload()


async def send_signal_series(cluster: Cluster, router: RouterSlot, fault: Fault) -> None:
    """Move the endpoint log and send SIGHUP several times in a row.

    At high intensity, then restart the router with SIGTERM; while it drains, send SIGHUP and another SIGTERM.
    """
    for _ in range(SIGHUP_COUNT):
        await reload_router(cluster, router, fault)
        await asyncio.sleep(MAX_SIGNAL_INTERVAL_S * fault.intensity)
    if fault.intensity > MAX_INTENSITY_WITHOUT_ROLL:
        rolling = asyncio.create_task(roll_router(cluster, router, fault))
        await asyncio.sleep(MAX_SIGNAL_INTERVAL_S)
        router.reload()
        router.repeat_sigterm()
        await rolling


async def stall_log_reader(_cluster: Cluster, router: RouterSlot, fault: Fault) -> None:
    """Stop reading the log that the router writes, so that its pipe fills up."""
    router.is_log_read = False
    await asyncio.sleep(fault.duration_s)
    router.is_log_read = True


async def break_endpoint_log(cluster: Cluster, router: RouterSlot, fault: Fault) -> None:
    """Close the connections of the endpoint log, and refuse new ones."""
    await cluster.endpoints.servers[router.number].refuse_connections(fault.duration_s)


async def silence_endpoint_log(cluster: Cluster, router: RouterSlot, fault: Fault) -> None:
    """Keep the connections of the endpoint log open, but send nothing on them."""
    await cluster.endpoints.servers[router.number].stay_silent(fault.duration_s)


async def step_clock(_cluster: Cluster, router: RouterSlot, fault: Fault) -> None:
    """Step the router's wall clock permanently; its monotonic clock is unaffected."""
    control = router.shim_control
    control.offset_before_s = control.offset_after_s
    control.step_at_unix_s = time.time()
    control.offset_after_s += CLOCK_STEPS_S[int(fault.intensity * len(CLOCK_STEPS_S))]
    router.write_shim_control()


async def fail_calls(_cluster: Cluster, router: RouterSlot, fault: Fault) -> None:
    """Make a share of the router's system calls fail, only in ways that Linux documents."""
    for name, share in CALL_FAILURES.items():
        setattr(router.shim_control, name, share * fault.intensity)
    router.write_shim_control()
    await asyncio.sleep(fault.duration_s)
    for name in CALL_FAILURES:
        setattr(router.shim_control, name, 0.0)
    router.write_shim_control()


# --- worker faults


async def restart_worker(cluster: Cluster, slot: WorkerSlot, _fault: Fault) -> None:
    """Kill a worker and restart it under the same name, and publish its endpoint event after a delay."""
    name = slot.incarnation.name
    await slot.kill()
    await asyncio.sleep(cluster.rng.uniform(MIN_WORKER_DOWNTIME_S, MAX_WORKER_DOWNTIME_S))
    await slot.start(name, is_in_slow_start=True)
    await asyncio.sleep(cluster.rng.uniform(0.0, MAX_PUBLISH_DELAY_S))
    await publish_ready(cluster, slot)


async def replace_worker(cluster: Cluster, slot: WorkerSlot, _fault: Fault) -> None:
    """Drain a worker, then start one with another name in its slot."""
    await drain_and_replace(cluster, slot, DRAIN_DURATION_S, new_name=f"{slot.incarnation.name}x")


async def hang_worker(_cluster: Cluster, slot: WorkerSlot, fault: Fault) -> None:
    """Suspend the worker's process, whose connections stay open."""
    slot.process.pause()
    await asyncio.sleep(fault.duration_s)
    slot.process.resume()


async def reset_connections(_cluster: Cluster, slot: WorkerSlot, _fault: Fault) -> None:
    """Reset all connections to the worker several times."""
    for _ in range(RESET_COUNT):
        await slot.forward(reset_connections=True)
        await asyncio.sleep(RESET_INTERVAL_S)


async def corrupt_answers(_cluster: Cluster, slot: WorkerSlot, fault: Fault) -> None:
    """Corrupt a share of what the worker sends: replace it by noise, duplicate it, or truncate it."""
    share = MIN_CORRUPTED_SHARE + MAX_EXTRA_CORRUPTED_SHARE * fault.intensity
    await slot.forward(corrupted_share=share)
    await asyncio.sleep(fault.duration_s)
    await slot.forward()


async def refuse_connections(_cluster: Cluster, slot: WorkerSlot, fault: Fault) -> None:
    """Reset all connections to the worker, and refuse new ones."""
    await slot.refuse_connections()
    await asyncio.sleep(fault.duration_s)
    await slot.forward()


# --- client faults


async def raise_request_rate(cluster: Cluster, fault: Fault) -> None:
    """Multiply the request rate of the clients."""
    await cluster.traffic.set_request_rate(cluster.plan.requests_per_s * BURST_FACTOR)
    await asyncio.sleep(fault.duration_s)
    await cluster.traffic.set_request_rate(cluster.plan.requests_per_s)


async def add_bad_clients(cluster: Cluster, fault: Fault) -> None:
    """Start clients that violate the protocol."""
    await cluster.traffic.set_bad_client_rate(BAD_CLIENTS_PER_S)
    await asyncio.sleep(fault.duration_s)
    await cluster.traffic.set_bad_client_rate(0.0)


async def withdraw_in_bulk(cluster: Cluster, fault: Fault) -> None:
    """Start clients at one router that each withdraw hundreds of requests at once."""
    count = MIN_BULK_CLIENTS + round(MAX_EXTRA_BULK_CLIENTS * fault.intensity)
    await cluster.traffic.withdraw_in_bulk(fault.routers[:1] * count)


async def overload_router(cluster: Cluster, fault: Fault) -> None:
    """Send one router hundreds of requests at once, more than the workers can serve in time."""
    await cluster.traffic.send_burst(fault.routers[0])


async def flood_router(cluster: Cluster, fault: Fault) -> None:
    """Let clients fill the memory of one router, or take its time, at full speed."""
    share = FLOOD_CLIENT_SHARES.get(fault.kind, 0.0) * fault.intensity
    count = max(1, round(share * cluster.plan.max_sockets))
    router = cluster.routers[fault.routers[0]]
    await cluster.run_flood(fault.kind, router, count, fault.duration_s)


# --- the registry


@dataclass(frozen=True, slots=True)
class RouterFault:
    """A fault of individual routers.

    A router has at most one exclusive fault at a time; any others may be active together with it.
    """

    inject: Callable[[Cluster, RouterSlot, Fault], Awaitable[None]]
    is_exclusive: bool = True


@dataclass(frozen=True, slots=True)
class WorkerFault:
    """A fault of individual worker slots; a slot has at most one fault at a time."""

    inject: Callable[[Cluster, WorkerSlot, Fault], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class ClientFault:
    """A fault of the clients, which excludes no other fault."""

    inject: Callable[[Cluster, Fault], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class EndpointLogFault:
    """A fault of endpoint logs. It also replaces workers, and one of all logs restarts routers.

    It excludes worker faults of their slots, and exclusive faults of the routers. Only one fault of all logs
    is active at a time.
    """

    inject: Callable[[Cluster, list[WorkerSlot], list[RouterSlot], Fault], Awaitable[None]]
    is_of_all_logs: bool = True


FAULTS: Final[dict[FaultKind, RouterFault | WorkerFault | ClientFault | EndpointLogFault]] = {
    FaultKind.ROUTER_ROLL: RouterFault(roll_router),
    FaultKind.ROUTER_KILL: RouterFault(kill_router),
    FaultKind.ROUTER_PAUSE: RouterFault(pause_router),
    FaultKind.RELOAD: RouterFault(reload_router),
    FaultKind.LOG_READER_STALLS: RouterFault(stall_log_reader),
    FaultKind.ENDPOINT_LOG_BREAKS: RouterFault(break_endpoint_log),
    FaultKind.ENDPOINT_LOG_SILENT: RouterFault(silence_endpoint_log, is_exclusive=False),
    FaultKind.CLOCK_STEP: RouterFault(step_clock, is_exclusive=False),
    FaultKind.CALLS_FAIL: RouterFault(fail_calls, is_exclusive=False),
    FaultKind.WORKER_RESTART: WorkerFault(restart_worker),
    FaultKind.WORKER_REPLACE: WorkerFault(replace_worker),
    FaultKind.WORKER_HANG: WorkerFault(hang_worker),
    FaultKind.CONNECTIONS_RESET: WorkerFault(reset_connections),
    FaultKind.ANSWERS_SPOILED: WorkerFault(corrupt_answers),
    FaultKind.WORKER_REFUSES: WorkerFault(refuse_connections),
    FaultKind.BURST: ClientFault(raise_request_rate),
    FaultKind.BAD_CLIENTS: ClientFault(add_bad_clients),
    FaultKind.ENDPOINT_LOGS_OUT: EndpointLogFault(inject_endpoint_log_outage),
    FaultKind.ENDPOINT_LOGS_LATE: EndpointLogFault(inject_late_endpoint_logs),
    FaultKind.ENDPOINT_LOG_JUMPS: EndpointLogFault(inject_endpoint_log_jump, is_of_all_logs=False),
    FaultKind.SIGNAL_SERIES: RouterFault(send_signal_series),
    FaultKind.BULK_WITHDRAWALS: ClientFault(withdraw_in_bulk),
    FaultKind.OVERLOAD: ClientFault(overload_router),
    **dict.fromkeys(FLOOD_KINDS, ClientFault(flood_router)),
}
