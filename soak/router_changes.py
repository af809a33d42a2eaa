"""Restarts of routers, as a rolling deployment and a crash cause them."""

import asyncio

from soak.cluster import Cluster
from soak.router_slot import RouterSlot

ROUTER_DOWNTIME_S = 0.3  # from the exit of a router to the start of its next process
SIGTERM_DETECTION_S = 0.3  # from SIGTERM until clients open no more connections to the router
# From a kill until clients avoid the router; has to be below MAX_KILL_DETECTION_S of soak/request_rules.py.
KILL_DETECTION_S = 0.8


async def terminate_and_restart(cluster: Cluster, router: RouterSlot) -> None:
    """Restart a router with SIGTERM, as a rolling deployment does.

    Clients open connections for a short time after SIGTERM, and use open ones until the process has exited.
    """
    ending = asyncio.create_task(router.terminate())
    await asyncio.sleep(SIGTERM_DETECTION_S)
    await cluster.traffic.stop_connecting_to(router.number)
    await ending
    await cluster.traffic.avoid_router(router.number)
    await _restart(cluster, router)


async def kill_and_restart(cluster: Cluster, router: RouterSlot) -> None:
    """Kill a router with SIGKILL, which clients notice only later, then start a new process."""
    ending = asyncio.create_task(router.kill())
    await asyncio.sleep(KILL_DETECTION_S)
    await cluster.traffic.avoid_router(router.number)
    await ending
    await _restart(cluster, router)


async def _restart(cluster: Cluster, router: RouterSlot) -> None:
    await asyncio.sleep(ROUTER_DOWNTIME_S)
    await cluster.start_router(router)
    if router.incarnation.ready_at:
        await cluster.traffic.use_router(router.number, router.config.port)
