"""Changes of worker slots that are published as endpoint events: drains, removals and starts of workers.

An event is published when it enters the endpoint logs. The worker may learn of its drain some tenths of a
second later, and so may the connections and heartbeats of the logs. Routers count as notified all the same.
"""

import asyncio
import random
from dataclasses import dataclass
from typing import Self

from soak.cluster import Cluster
from soak.endpoint_events import EndpointPhase
from soak.worker_slot import WorkerSlot

MAX_WORKER_LAG_S = 0.45
MAX_LOG_LAG_S = 0.4


@dataclass(frozen=True, slots=True)
class DrainLags:
    """How long after its publication a drain is known, in seconds.

    Attributes:
        worker_s: How long the worker serves new work, and answers health checks as ready.
        log_s: How long neither events nor heartbeats of the endpoint logs show it.
    """

    worker_s: float
    log_s: float

    @classmethod
    def draw(cls, rng: random.Random) -> Self:
        """Draw both lags independently."""
        return cls(rng.uniform(0.0, MAX_WORKER_LAG_S), rng.uniform(0.0, MAX_LOG_LAG_S))


async def drain_and_replace(cluster: Cluster, slot: WorkerSlot, drain_s: float, new_name: str) -> None:
    """Drain a worker, kill it, and start another process in its slot, under its name or a new one."""
    old = slot.incarnation
    lags = DrainLags.draw(cluster.drain_lags_rng)
    old.drain_notified_at = await cluster.endpoints.publish(
        slot.endpoint(EndpointPhase.DRAINING), shown_after_s=lags.log_s
    )
    await asyncio.sleep(lags.worker_s)
    slot.process.request_drain()
    await asyncio.sleep(drain_s - lags.worker_s)
    await slot.kill()
    await cluster.endpoints.publish(slot.endpoint(EndpointPhase.REMOVED))
    await slot.start(new_name, is_in_slow_start=True)
    await publish_ready(cluster, slot)


async def publish_ready(cluster: Cluster, slot: WorkerSlot) -> None:
    """Publish that a worker is ready, and record the time from which each router counts as notified of it."""
    slot.incarnation.ready_notified_at = await cluster.endpoints.publish(slot.endpoint(EndpointPhase.READY))
