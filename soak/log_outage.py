"""A long outage of all endpoint logs, in which workers drain and restart cold."""

import asyncio
import time

from soak.cluster import Cluster
from soak.endpoint_log import LogFailure
from soak.plan import Fault
from soak.run_record import LogOutage
from soak.worker_changes import drain_and_replace
from soak.worker_slot import WorkerSlot

LOG_OUTAGE_FACTOR = 4.0  # by which a long outage exceeds the duration of other faults
FIRST_DRAIN_DELAY_S = 0.5  # after the logs have failed
DRAIN_INTERVAL_S = 1.5
DRAIN_SHARE = 0.4  # of the outage, for which each worker drains
MAX_DRAINED_AT_ONCE = 2


async def inject_log_outage(cluster: Cluster, slots: list[WorkerSlot], fault: Fault) -> None:
    """Take all logs out of reach in one way; meanwhile some workers drain and are replaced."""
    failures = list(LogFailure)
    failure = failures[int(fault.intensity * len(failures))]
    outage_s = cluster.plan.log_outage_s or LOG_OUTAGE_FACTOR * fault.duration_s
    began = time.monotonic()
    outages = [server.fail(failure, outage_s) for server in cluster.endpoints.servers]
    await asyncio.gather(*outages, _replace_workers(cluster, slots, outage_s))
    cluster.log_outages.append(LogOutage(failure.name, began, time.monotonic()))


async def _replace_workers(cluster: Cluster, slots: list[WorkerSlot], outage_s: float) -> None:
    """Drain the slots in turn, a few at once; every other worker comes back under its own name."""
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
