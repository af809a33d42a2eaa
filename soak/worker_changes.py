"""Changes of worker slots that are published as endpoint events: drains, removals and starts of workers.

An event is published when it enters the endpoint logs. Either the worker reports its drain some tenths of a
second later, or the connections and heartbeats of the logs show all events some seconds later. Routers count
as notified all the same. A process that returns is ready some time before the logs have it.
"""

import asyncio
import time

from soak.cluster import Cluster
from soak.endpoint_events import EndpointPhase
from soak.worker_slot import WorkerSlot

MAX_RETURN_BEFORE_READY_S = 0.75  # from the start of a process to the publication that it is ready


async def drain_and_replace(cluster: Cluster, slot: WorkerSlot, drain_s: float, new_name: str) -> None:
    """Drain a worker, kill it, and start another process in its slot, under its name or a new one."""
    old = slot.incarnation
    worker_lag_s = cluster.drain_lags_rng.uniform(0.0, cluster.drain_lags.max_worker_s)
    old.drain_notified_at = await cluster.endpoints.publish(slot.endpoint(EndpointPhase.DRAINING))
    await asyncio.sleep(worker_lag_s)
    slot.process.request_drain()
    await asyncio.sleep(drain_s - worker_lag_s)
    await slot.kill()
    await cluster.endpoints.publish(slot.endpoint(EndpointPhase.REMOVED))
    await slot.start(new_name, is_in_slow_start=True)
    await asyncio.sleep(cluster.drain_lags_rng.uniform(0.0, MAX_RETURN_BEFORE_READY_S))
    await publish_ready(cluster, slot)


async def publish_ready(cluster: Cluster, slot: WorkerSlot) -> None:
    """Publish that a worker is ready, and record when, and from when on each router counts as notified."""
    slot.incarnation.ready_published_at = time.monotonic()
    slot.incarnation.ready_notified_at = await cluster.endpoints.publish(slot.endpoint(EndpointPhase.READY))
