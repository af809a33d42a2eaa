"""Faults of endpoint logs, an outage or late lines, while workers and routers are replaced."""

import asyncio
import time
from collections.abc import Awaitable, Sequence

from soak.cluster import Cluster
from soak.endpoint_log import EndpointLogFailure
from soak.late_lines import LatenessCourse
from soak.plan import Fault
from soak.router_changes import KILL_DETECTION_S, ROUTER_DOWNTIME_S, kill_and_restart
from soak.router_slot import RouterSlot
from soak.run_record import EndpointLogOutage
from soak.worker_changes import drain_and_replace
from soak.worker_slot import WorkerSlot

LOG_OUTAGE_FACTOR = 4.0  # ratio of the duration of an outage to that of its fault
FIRST_DRAIN_DELAY_S = 0.5  # from the start of the outage
DRAIN_INTERVAL_S = 1.5  # from the replacement of a worker to the next drain
DRAIN_SHARE = 0.4  # share of the outage for which each worker drains
MAX_DRAINED_AT_ONCE = 2


# From the start of the outage to the kill of routers. Events that are published when these have started again
# count as notified at once.
KILL_DELAY_S = 3.2
RESTART_DELAY_S = KILL_DETECTION_S + ROUTER_DOWNTIME_S  # from the kill to the start of the next process
CONFIGURATION_S = 0.1  # from the start of a process until its configuration has been written
MIN_OUTAGE_WITH_RESTARTS_S = 6.0


async def inject_endpoint_log_outage(
    cluster: Cluster, slots: list[WorkerSlot], routers: list[RouterSlot], fault: Fault
) -> None:
    """Fail all endpoint logs in the same way, and meanwhile replace workers and restart routers."""
    failures = list(EndpointLogFailure)
    failure = failures[int(fault.intensity * len(failures))]
    outage_s = cluster.plan.log_outage_s or LOG_OUTAGE_FACTOR * fault.duration_s
    faults = [server.fail(failure, outage_s) for server in cluster.endpoints.servers]
    await _change_fleet_during(cluster, slots, routers, failure.name, outage_s, faults)


async def inject_late_endpoint_logs(
    cluster: Cluster, slots: list[WorkerSlot], routers: list[RouterSlot], fault: Fault
) -> None:
    """Let the lines of all endpoint logs be late, and meanwhile replace workers and restart routers."""
    course = LatenessCourse.of_fault(fault)
    faults = [server.be_late(course) for server in cluster.endpoints.servers]
    duration_s = course.ends_at - course.began_at
    await _change_fleet_during(cluster, slots, routers, f"LATE {course.shape.name}", duration_s, faults)


async def inject_endpoint_log_jump(
    cluster: Cluster, slots: list[WorkerSlot], routers: list[RouterSlot], fault: Fault
) -> None:
    """Let all lines of one router's endpoint log be late, and meanwhile replace workers."""
    course = LatenessCourse.jump_of_fault(fault)
    duration_s = course.ends_at - course.began_at
    servers = [cluster.endpoints.servers[router.number] for router in routers[:1]]
    await asyncio.gather(
        *(server.be_late(course) for server in servers), _replace_workers(cluster, slots, duration_s)
    )


async def _change_fleet_during(
    cluster: Cluster,
    slots: list[WorkerSlot],
    routers: list[RouterSlot],
    name: str,
    outage_s: float,
    faults: Sequence[Awaitable[None]],
) -> None:
    """Replace workers and restart routers while the endpoint logs have faults, and record the outage."""
    began = time.monotonic()
    last_slots: list[WorkerSlot] = []
    if outage_s >= MIN_OUTAGE_WITH_RESTARTS_S:
        last_slots = slots[-1:]
        slots = slots[:-1]
    else:
        routers = []
    await asyncio.gather(
        *faults,
        _replace_workers(cluster, slots, outage_s),
        _restart_routers(cluster, routers, last_slots, outage_s),
    )
    cluster.endpoint_log_outages.append(EndpointLogOutage(name, began, time.monotonic()))


async def _restart_routers(
    cluster: Cluster, routers: list[RouterSlot], slots: list[WorkerSlot], outage_s: float
) -> None:
    """Kill and restart the routers; drain and replace the workers while the new processes start.

    The configuration of the new processes shows the workers as ready, and so do their endpoint logs.
    """
    await asyncio.sleep(KILL_DELAY_S)
    restarts = [asyncio.create_task(kill_and_restart(cluster, router)) for router in routers]
    await asyncio.sleep(RESTART_DELAY_S + CONFIGURATION_S)
    drain_s = DRAIN_SHARE * outage_s
    replacements = [
        drain_and_replace(cluster, slot, drain_s, new_name=f"{slot.incarnation.name}x") for slot in slots
    ]
    await asyncio.gather(*restarts, *replacements)


async def _replace_workers(cluster: Cluster, slots: list[WorkerSlot], outage_s: float) -> None:
    """Drain and replace the workers, a few at a time; every other one keeps its name."""
    end = time.monotonic() + outage_s
    await asyncio.sleep(FIRST_DRAIN_DELAY_S)
    drain_limit = asyncio.Semaphore(MAX_DRAINED_AT_ONCE)

    async def replace(number: int, slot: WorkerSlot) -> None:
        async with drain_limit:
            if time.monotonic() < end:
                name = slot.incarnation.name
                await drain_and_replace(
                    cluster, slot, DRAIN_SHARE * outage_s, new_name=name if number % 2 else f"{name}x"
                )
                await asyncio.sleep(DRAIN_INTERVAL_S)

    await asyncio.gather(*(replace(number, slot) for number, slot in enumerate(slots)))
