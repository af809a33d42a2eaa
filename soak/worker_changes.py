"""Changes of worker slots that are published as endpoint events: drains, removals and starts of workers."""

import asyncio

from soak.cluster import Cluster
from soak.endpoint_events import EndpointPhase
from soak.worker_slot import WorkerSlot


async def drain_and_replace(cluster: Cluster, slot: WorkerSlot, drain_s: float, new_name: str) -> None:
    """Drain a worker, kill it, and start another process in its slot, under its name or a new one."""
    old = slot.incarnation
    slot.process.request_drain()
    old.drain_notified_at = await cluster.endpoints.publish(slot.endpoint(EndpointPhase.DRAINING))
    await asyncio.sleep(drain_s)
    await slot.kill()
    await cluster.endpoints.publish(slot.endpoint(EndpointPhase.REMOVED))
    await slot.start(new_name, is_in_slow_start=True)
    await publish_ready(cluster, slot)


async def publish_ready(cluster: Cluster, slot: WorkerSlot) -> None:
    """Publish that a worker is ready, and record the time from which each router counts as notified of it."""
    slot.incarnation.ready_notified_at = await cluster.endpoints.publish(slot.endpoint(EndpointPhase.READY))
