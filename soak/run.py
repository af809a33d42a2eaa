"""Executes a plan: starts the cluster, injects the faults on schedule, and returns the record of the run."""

import asyncio
import time

from soak.cluster import Cluster
from soak.injector import FaultInjector
from soak.plan import Plan
from soak.run_folder import RunFolder
from soak.run_record import RunRecord
from soak.shim import build_shim


async def run_plan(plan: Plan, folder: RunFolder, *, uses_shim: bool) -> RunRecord:
    """Execute a plan.

    Args:
        plan: The plan of the run.
        folder: An existing folder for records, logs and configuration files.
        uses_shim: Whether routers run with the shim; without it, no clock steps and no system call fails.

    Raises:
        subprocess.CalledProcessError: The shim could not be compiled.
        SoakTestError: A process could not be started.
    """
    shim = build_shim(folder.path) if uses_shim else None
    async with Cluster(plan, folder, shim) as cluster:
        await _inject_on_schedule(plan, FaultInjector(cluster))
        await cluster.finish()
    return RunRecord(
        plan, folder, cluster.router_incarnations, cluster.worker_incarnations, cluster.endpoint_log_outages
    )


async def _inject_on_schedule(plan: Plan, injector: FaultInjector) -> None:
    """Inject each fault at its start time, then wait for the end of the traffic and of all faults."""
    started = time.monotonic()
    tasks: list[asyncio.Task[None]] = []
    for fault in plan.faults_and_loads:
        await asyncio.sleep(max(0.0, started + fault.start_s - time.monotonic()))
        tasks.append(asyncio.create_task(injector.inject(fault)))
    await asyncio.sleep(max(0.0, started + plan.duration_s - time.monotonic()))
    await asyncio.gather(*tasks)
