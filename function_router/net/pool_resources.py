"""What the workers of one pool share."""

from msgspec import Struct

from function_router.config import TransportSettings
from function_router.net.connection_budget import ConnectionBudget
from function_router.net.event_loop import EventLoop
from function_router.net.idle_limit import IdleLimit
from function_router.net.readiness import ReadinessAdapter
from function_router.net.telemetry import Telemetry


class PoolResources(Struct):
    """What each worker of a pool needs for its connections, shared by all of them.

    Attributes:
        loop: The event loop that serves the connections.
        transport: Timeouts and limits of the transport.
        telemetry: For what was sent, how connections closed and what workers did wrong.
        budget: The connections that there are and may be, to all workers together.
        idle_limit: After which idle time a connection is not used any more.
        readiness: Says which connections may carry new work.
    """

    loop: EventLoop
    transport: TransportSettings
    telemetry: Telemetry
    budget: ConnectionBudget
    idle_limit: IdleLimit
    readiness: ReadinessAdapter
