"""The resources that the workers of one pool share."""

from msgspec import Struct

from function_router.config import TransportSettings
from function_router.net.connection_budget import ConnectionBudget
from function_router.net.event_loop import EventLoop
from function_router.net.idle_limit import IdleLimit
from function_router.net.memory_budget import MemoryBudget
from function_router.net.readiness import ReadinessAdapter
from function_router.net.telemetry import Telemetry


class PoolResources(Struct):
    """The resources that all workers of a pool share for their connections.

    Attributes:
        loop: The event loop that serves the connections.
        transport: Timeouts and limits of the transport.
        telemetry: Counts dispatched exchanges and closed connections; logs protocol errors of workers.
        budget: The limit on the connections to all workers together.
        idle_limit: The limit on the idle time after which a connection is not used again.
        readiness: Decides which connections may carry new work.
        memory: The memory that workers can fill.
    """

    loop: EventLoop
    transport: TransportSettings
    telemetry: Telemetry
    budget: ConnectionBudget
    idle_limit: IdleLimit
    readiness: ReadinessAdapter
    memory: MemoryBudget
